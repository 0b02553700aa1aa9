/// Group affinity: places the tunnels of a group on few endpoints, since each endpoint that has tunnels of
/// the group holds a copy of it. Without load totals, hardly any node knows which endpoints hold a group. Its
/// leader, a node that follows from the group's place on the ring, therefore receives all records of the
/// group and publishes its affinity targets, and a further one when these have no headroom. Where no target
/// has headroom, nodes use the first endpoint with headroom in an order that is the same at all nodes.
#pragma once
#include <vector>

#include "balance/constants.h"
#include "balance/endpoint.h"
#include "balance/endpoint_table.h"
#include "balance/group_table.h"
#include "balance/node_context.h"

namespace lemonstair {

class GossipSender;
class LoadCost;
class LoadEstimator;
class PeerTable;
class RecordTable;
class SlowStart;
class SlowStartQuota;

class GroupAffinity {
  public:
    GroupAffinity(NodeContext& node, EndpointTable& endpoint_table, PeerTable& peer_table,
                  GossipSender& gossip, SlowStart& slow_start, LoadEstimator& load, LoadCost& load_cost_model,
                  SlowStartQuota& slow_start_quota, RecordTable& records);
    GroupAffinity(const GroupAffinity&) = delete;
    GroupAffinity& operator=(const GroupAffinity&) = delete;

    /// Marks, for holds_group(), the endpoints that hold the tunnel's group or are its affinity targets.
    /// Without load totals, if none of these has headroom, also the endpoints that follow from the group's
    /// order.
    void mark_affinity_targets(const TrackedTunnel& tunnel);
    /// The leader of a group, this node or another, has chosen an affinity target.
    void on_affinity_target(std::uint32_t group, std::uint32_t endpoint_id);
    /// Adds an affinity target if this node is the group's leader and no current target has headroom.
    void maintain_affinity_targets(std::uint32_t group);
    /// A tunnel of a node in `zone` was placed in another zone. Once such tunnels have cost more than another
    /// copy of the group would, the group gets an affinity target in that zone.
    void on_cross_zone(std::uint32_t group, std::uint32_t zone);
    /// The first live node at the group's place on the ring.
    std::uint32_t group_leader(std::uint32_t group) const;
    /// By endpoint index, 1 for those marked by the last call of mark_affinity_targets().
    const std::vector<char>& holds_group() const { return holds_group_; }

  private:
    // The first eligible endpoint in the group's order by rendezvous hashing, which is the same at all nodes;
    // `none` if there is none. With `avoid_recent_targets`, endpoints that have just become an affinity
    // target come last, as the tunnels of that other group are about to arrive there.
    template <class IsEligible>
    std::uint32_t first_by_rendezvous(std::uint32_t group, bool avoid_recent_targets,
                                      IsEligible&& is_eligible) const {
        std::uint32_t best = none;
        std::uint64_t best_rank = 0;
        for (std::uint32_t i = 0; i < endpoint_table_.endpoints().size(); ++i) {
            const std::uint64_t recent_target =
                avoid_recent_targets && node_.now() - endpoint_table_.endpoints()[i].affinity_target_at <
                                            placement_visible_after
                    ? 1
                    : 0;
            const std::uint64_t rank =
                recent_target << 63 |
                mix(std::uint64_t{group} << 32 | endpoint_table_.endpoint_ids()[i]) >> 1;
            if (best != none && rank >= best_rank) continue;  // eligibility is more expensive to check
            if (!is_eligible(i)) continue;
            best = i;
            best_rank = rank;
        }
        return best;
    }
    // The endpoint for another affinity target of the group, with a utilization below `limit`; in `zone` if
    // one is given.
    std::uint32_t new_affinity_target(std::uint32_t group, double limit, std::uint32_t zone = none) const;
    // The first endpoint in the group's order that the tunnel can be placed on and that is not marked yet.
    std::uint32_t rendezvous_endpoint(const TrackedTunnel& tunnel, bool warming_up_only) const;
    bool is_affinity_target(const GroupTable::Place& place) const;
    // Counts the affinity targets of the group, apart from `except`, as full. A group gets a further target
    // when its earlier ones have no headroom. The leader knows this from the records. Other nodes see it only
    // seconds later, in load reports, and would go on placing tunnels on the earlier targets until then.
    void mark_targets_full(std::uint32_t group, std::uint32_t except);
    // The utilization above which an endpoint has no headroom for another group. Lower shortly after this
    // node's start, while tunnels that were open before are still becoming known.
    double affinity_utilization_limit() const;
    // Whether the endpoint has headroom for the group. Without load data the limit is max_utilization: the
    // assumed utilization is the same for all endpoints, so it must not change the group's order. Endpoints
    // that have just cut off a tunnel have no headroom.
    bool has_affinity_headroom(const Endpoint& endpoint) const;
    // Makes the endpoint a target of the group and broadcasts this, unless it is one already or the gossip
    // would cost more than the group's tunnels allow.
    void add_affinity_target(std::uint32_t group, std::uint32_t index);

    NodeContext& node_;
    EndpointTable& endpoint_table_;
    PeerTable& peer_table_;
    GossipSender& gossip_;
    SlowStart& slow_start_;
    LoadEstimator& load_;
    LoadCost& load_cost_model_;
    SlowStartQuota& slow_start_quota_;
    RecordTable& records_;
    std::vector<char> holds_group_;  // by endpoint index, for the group last marked
    IdIndex cross_zone_notices_;     // their number by group and zone
};

}  // namespace lemonstair
