/// Rebalancer migrates open tunnels away from endpoints that are overloaded or do not respond. The client of
/// a migrated tunnel reconnects, and placement then chooses an endpoint anew.
#pragma once

#include "balance/endpoint.h"

namespace lemonstair {

class AdmissionControl;
class EndpointTable;
class GroupAffinity;
class LoadCost;
class LoadEstimator;
class NodeContext;
class Placement;
class RecordTable;
class SlowStartQuota;
class TunnelTable;
class TunnelTurnover;

class Rebalancer {
  public:
    Rebalancer(NodeContext& node, EndpointTable& endpoint_table, TunnelTurnover& turnover,
               LoadEstimator& load, LoadCost& load_cost_model, TunnelTable& tunnel_table,
               AdmissionControl& admission, GroupAffinity& affinity, SlowStartQuota& slow_start_quota,
               Placement& placement, RecordTable& records);
    Rebalancer(const Rebalancer&) = delete;
    Rebalancer& operator=(const Rebalancer&) = delete;

    /// In each tick: adds to the tokens that bound the rate of migrations.
    void refill_tokens();
    /// Migrates this node's share of an endpoint's excess load, those tunnels first whose migration gains
    /// most. If the excess that is left is less than the load of the next tunnel, chance decides, so that not
    /// all nodes migrate a tunnel at the same time.
    void migrate_excess(std::uint32_t index);

  private:
    friend class StateCodec;

    // The tunnel on `source` whose migration reduces the cost most; `none` if no gain is large enough.
    std::uint32_t best_migration(const Endpoint& source, double utilization, bool unresponsive);

    NodeContext& node_;
    EndpointTable& endpoint_table_;
    TunnelTurnover& turnover_;
    LoadEstimator& load_;
    LoadCost& load_cost_model_;
    TunnelTable& tunnel_table_;
    AdmissionControl& admission_;
    GroupAffinity& affinity_;
    SlowStartQuota& slow_start_quota_;
    Placement& placement_;
    RecordTable& records_;
    double migration_tokens_ = 2;  // migrations that may be made now
};

}  // namespace lemonstair
