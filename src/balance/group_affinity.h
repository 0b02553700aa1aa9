/// Group affinity: which endpoints the tunnels of a group are placed on, so that few hold a copy of the
/// group. Without load totals a group's leader, a node chosen by rendezvous, names the group's affinity
/// targets.
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

    void mark_affinity_targets(const TrackedTunnel& tunnel);
    void on_affinity_target(std::uint32_t group, std::uint32_t endpoint_id);
    void maintain_affinity_targets(std::uint32_t group);
    /// Tunnels that cross zones for a group are accepted for as long as they cost less than another copy of
    /// it; then the group gets a target in that zone.
    void on_cross_zone(std::uint32_t group, std::uint32_t zone);
    std::uint32_t group_leader(std::uint32_t group) const;
    const std::vector<char>& holds_group() const { return holds_group_; }

  private:
    // The first fitting endpoint in the group's own order, the same at all nodes (rendezvous hashing).
    // Without load totals hardly a node knows which endpoints hold a group: its leader, at the group's
    // place on the ring, receives all its records and publishes its affinity targets, one more when those
    // have no headroom. Where no target has headroom, the group's tunnels meet on the first endpoint of
    // this order that has. This avoids a copy of each group on each endpoint. `avoid_recent_targets`:
    // endpoints that just became a target of another group come last.
    template <class IsEligible>
    std::uint32_t first_by_rendezvous(std::uint32_t group, bool avoid_recent_targets,
                                      IsEligible&& is_eligible) const {
        std::uint32_t best = none;
        std::uint64_t least = 0;
        for (std::uint32_t i = 0; i < endpoint_table_.endpoints().size(); ++i) {
            // Rather not where another group is just coming.
            const std::uint64_t taken =
                avoid_recent_targets && node_.now() - endpoint_table_.endpoints()[i].affinity_target_at <
                                            placement_visible_after
                    ? 1
                    : 0;
            const std::uint64_t place =
                taken << 63 | mix(std::uint64_t{group} << 32 | endpoint_table_.endpoint_ids()[i]) >> 1;
            if (best != none && place >= least) continue;  // most endpoints need not be examined
            if (!is_eligible(i)) continue;
            best = i;
            least = place;
        }
        return best;
    }
    std::uint32_t new_affinity_target(std::uint32_t group, double limit, std::uint32_t zone = none) const;
    std::uint32_t rendezvous_endpoint(const TrackedTunnel& tunnel, bool warming_up_only) const;
    bool is_affinity_target(const GroupTable::Place& p) const;
    // A group gets a further target when its earlier ones have no headroom, which its leader knows from the
    // records and others only from reports, seconds later. Counting the earlier ones as full keeps nodes
    // from filling them further.
    void mark_targets_full(std::uint32_t group, std::uint32_t except);
    // Lower while tunnels that were open before this node's start are still becoming known.
    double affinity_utilization_limit() const;
    // An assumption that holds for all endpoints alike leaves a group's order unchanged.
    bool has_affinity_headroom(const Endpoint& endpoint) const;
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
    IdIndex cross_zone_notices_;     // by group and zone: how many
};

}  // namespace lemonstair
