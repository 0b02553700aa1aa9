/// Placement: chooses an endpoint for a tunnel, at random by weights that fall steeply with marginal cost.
#pragma once
#include <vector>

#include "balance/endpoint.h"

namespace lemonstair {

class EndpointTable;
class GossipBudget;
class GroupAffinity;
class LoadCost;
class LoadEstimator;
class NodeContext;
class SlowStart;
class SlowStartQuota;

class Placement {
  public:
    Placement(NodeContext& node, EndpointTable& endpoint_table, SlowStart& slow_start,
              GossipBudget& gossip_budget, LoadEstimator& load, LoadCost& load_cost_model,
              GroupAffinity& affinity, SlowStartQuota& slow_start_quota);
    Placement(const Placement&) = delete;
    Placement& operator=(const Placement&) = delete;

    std::uint32_t choose(const TrackedTunnel& tunnel);
    /// The endpoint that would best take the tunnel is short of nothing but a unit that another node may
    /// have.
    bool waits_for_lease(const TrackedTunnel& tunnel) const;
    /// The marginal cost of a load of this group on an endpoint.
    double marginal_cost(std::uint32_t index, double load, std::uint32_t group) const;
    /// What all place that is not heard of here, spread as this node would spread it.
    void estimate_unseen_load();
    std::uint32_t quota_short_endpoint() const { return quota_short_endpoint_; }
    bool too_costly() const { return too_costly_; }

  private:
    friend class StateCodec;

    double weight(const Endpoint& endpoint, double price) const;
    // Where nodes may not talk, no record reaches who meets a tunnel mid-flow. Then the chance in the draw is
    // the key's own (rendezvous hashing), the same at all nodes: by like weights they find the endpoint
    // that it was placed on. A client that comes back from a break is drawn for anew.
    bool uses_key_hash(const TrackedTunnel& tunnel) const;
    std::uint32_t draw_by_key(std::uint64_t key) const;
    bool in_deduplication_scope(const TrackedTunnel& tunnel, const Endpoint& endpoint) const;

    NodeContext& node_;
    EndpointTable& endpoint_table_;
    SlowStart& slow_start_;
    GossipBudget& gossip_budget_;
    LoadEstimator& load_;
    LoadCost& load_cost_model_;
    GroupAffinity& affinity_;
    SlowStartQuota& slow_start_quota_;
    std::vector<double> weights_;                // by endpoint index, of the last choice
    std::uint32_t quota_short_endpoint_ = none;  // in slow start, passed over for want of a unit of quota
    double quota_short_cost_ = 0;                // what the tunnel would cost there
    bool too_costly_ = false;                    // the last choice cost more than the tunnel may
};

}  // namespace lemonstair
