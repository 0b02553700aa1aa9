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
    /// The cheapest endpoint lacks only a unit of quota that another node may lease.
    bool waits_for_lease(const TrackedTunnel& tunnel) const;
    /// The marginal cost of a load of this group on an endpoint.
    double marginal_cost(std::uint32_t index, double load, std::uint32_t group) const;
    /// Estimates the placements by other nodes that this node sees nothing of, spread as it would spread
    /// them itself.
    void estimate_unseen_load();
    std::uint32_t quota_short_endpoint() const { return quota_short_endpoint_; }
    bool too_costly() const { return too_costly_; }

  private:
    double weight(const Endpoint& endpoint, double cost) const;
    // Without gossip no record reaches the node that meets a tunnel mid-flow. Then the random number of the
    // draw follows from the key (rendezvous hashing) and is the same at all nodes: with similar weights
    // they find the endpoint that the tunnel was placed on. A reconnecting client gets a new draw.
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
