/// Placement: chooses the endpoint for a tunnel at random, by weights that fall steeply with the marginal
/// cost.
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

    /// Returns the index of the chosen endpoint, or `none`: no endpoint may be sent to, the tunnel should
    /// wait for a lease, or it would cost too much (too_costly).
    std::uint32_t choose(const TrackedTunnel& tunnel);
    /// Whether the tunnel of the last choice should wait: all that the cheapest endpoint lacks is a unit of
    /// slow-start quota, which another node may lease to this one.
    bool waits_for_lease(const TrackedTunnel& tunnel) const;
    /// The cost that the load of a tunnel of this group would add on an endpoint, in connections served late.
    double marginal_cost(std::uint32_t index, double load, std::uint32_t group) const;
    /// Estimates the load of placements by other nodes that this node does not see, on the assumption that
    /// they are spread over the endpoints as this node would spread them.
    void estimate_unseen_load();
    /// The cheapest endpoint that the last choice passed over because its slow-start quota was spent, or
    /// `none`.
    std::uint32_t quota_short_endpoint() const { return quota_short_endpoint_; }
    /// Whether the last choice failed because the tunnel would cost more than its limit on every endpoint.
    bool too_costly() const { return too_costly_; }

  private:
    // The weight of an endpoint for the draw, at a marginal cost of `cost`.
    double weight(const Endpoint& endpoint, double cost) const;
    // Without gossip, no record reaches a node that gets a tunnel mid-flow. The draw then uses numbers
    // derived from the key (rendezvous hashing), which are the same on all nodes: with similar weights they
    // choose the endpoint that the tunnel was placed on. A client that reconnects gets an independent draw.
    bool uses_key_hash(const TrackedTunnel& tunnel) const;
    std::uint32_t draw_by_key(std::uint64_t key) const;
    // Whether the endpoint would recognize a repeat of the tunnel's attempt that may have run.
    bool in_deduplication_scope(const TrackedTunnel& tunnel, const Endpoint& endpoint) const;

    NodeContext& node_;
    EndpointTable& endpoint_table_;
    SlowStart& slow_start_;
    GossipBudget& gossip_budget_;
    LoadEstimator& load_;
    LoadCost& load_cost_model_;
    GroupAffinity& affinity_;
    SlowStartQuota& slow_start_quota_;
    // Of the last choice.
    std::vector<double> weights_;  // by endpoint index
    std::uint32_t quota_short_endpoint_ = none;
    double quota_short_cost_ = 0;  // the tunnel's marginal cost on that endpoint
    bool too_costly_ = false;
};

}  // namespace lemonstair
