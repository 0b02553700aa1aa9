/// Migrates open tunnels off endpoints that are overloaded or do not respond.
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

    void refill_tokens();
    /// Migrates this node's part of an endpoint's excess load, the tunnels that gain most first; where that
    /// is less than a tunnel, by chance, so that not all nodes migrate at once. Placement chooses anew when
    /// the client reconnects.
    void migrate_excess(std::uint32_t index);

  private:
    friend class StateCodec;

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
    double migration_tokens_ = 2;
};

}  // namespace lemonstair
