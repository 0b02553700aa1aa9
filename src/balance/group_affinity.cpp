#include "balance/group_affinity.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "balance/constants.h"
#include "balance/endpoint_table.h"
#include "balance/gossip_sender.h"
#include "balance/load_cost.h"
#include "balance/load_estimator.h"
#include "balance/node_context.h"
#include "balance/peer_table.h"
#include "balance/record_table.h"
#include "balance/slow_start.h"
#include "balance/slow_start_quota.h"

namespace lemonstair {

GroupAffinity::GroupAffinity(NodeContext& node, EndpointTable& endpoint_table, PeerTable& peer_table,
                             GossipSender& gossip, SlowStart& slow_start, LoadEstimator& load,
                             LoadCost& load_cost_model, SlowStartQuota& slow_start_quota,
                             RecordTable& records)
    : node_(node),
      endpoint_table_(endpoint_table),
      peer_table_(peer_table),
      gossip_(gossip),
      slow_start_(slow_start),
      load_(load),
      load_cost_model_(load_cost_model),
      slow_start_quota_(slow_start_quota),
      records_(records) {}

void GroupAffinity::mark_affinity_targets(const TrackedTunnel& tunnel) {
    holds_group_.assign(endpoint_table_.endpoints().size(), 0);
    bool headroom_left = false;
    for (const auto& place : records_.groups().places_of(tunnel.group)) {
        const std::uint32_t index = endpoint_table_.endpoint_by_id().find(place.endpoint_id);
        // Without gossip, other nodes do not know where this node's tunnels of the group are, and a tunnel
        // may reach any of them mid-flow. Only the order that all nodes share is used then.
        if (index == none || load_.has_no_load_data(endpoint_table_.endpoints()[index]) ||
            (place.members == 0 && !is_affinity_target(place)))
            continue;
        holds_group_[index] = 1;
        headroom_left = headroom_left || (slow_start_quota_.slow_start_allows(index) &&
                                          has_affinity_headroom(endpoint_table_.endpoints()[index]));
    }
    if (load_.load_totals_known() || tunnel.group == 0 || headroom_left) return;
    // Without load data it is unknown whether a target is full. A group then has several targets from the
    // start, the same at all nodes, and one more among the endpoints in slow start that this node has quota
    // for; these mostly differ between nodes.
    for (int i = 0; i < default_affinity_targets; ++i) {
        const std::uint32_t index = rendezvous_endpoint(tunnel, false);
        if (index == none) break;
        holds_group_[index] = 1;
        if (!load_.has_no_load_data(endpoint_table_.endpoints()[index])) return;
    }
    const std::uint32_t index = rendezvous_endpoint(tunnel, true);
    if (index != none && load_.has_no_load_data(endpoint_table_.endpoints()[index])) holds_group_[index] = 1;
}

void GroupAffinity::on_affinity_target(std::uint32_t group, std::uint32_t endpoint_id) {
    if (endpoint_table_.find_endpoint(endpoint_id) == nullptr || group == 0) return;
    mark_targets_full(group, endpoint_id);
    records_.groups().set_affinity_target(group, endpoint_id, node_.now());
    endpoint_table_.find_endpoint(endpoint_id)->affinity_target_at = node_.now();
    load_.add_pending_load(endpoint_table_.endpoint_by_id().find(endpoint_id),
                           group_copy_tunnels * load_.mean_load());
}

void GroupAffinity::maintain_affinity_targets(std::uint32_t group) {
    if (load_.load_totals_known() || group_leader(group) != node_.config().own_node) return;
    for (const auto& place : records_.groups().places_of(group))
        if (is_affinity_target(place) && endpoint_table_.find_endpoint(place.endpoint_id) != nullptr &&
            load_.has_headroom(*endpoint_table_.find_endpoint(place.endpoint_id),
                               affinity_utilization_limit()))
            return;
    add_affinity_target(
        group, new_affinity_target(group, std::clamp(load_.fleet_utilization(), affinity_max_utilization / 2,
                                                     affinity_max_utilization)));
}

void GroupAffinity::on_cross_zone(std::uint32_t group, std::uint32_t zone) {
    // Most groups with notices have ended long ago. To lose those of the others delays a further target.
    if (cross_zone_notices_.size() >= max_cross_zone_notices) cross_zone_notices_ = {};
    const std::uint64_t id = std::uint64_t{group} << 32 | zone;
    const std::uint32_t notices = cross_zone_notices_.find(id) == none ? 1 : cross_zone_notices_.find(id) + 1;
    cross_zone_notices_.put(id, notices);
    if (notices * node_.config().costs.cross_zone <
        load_cost_model_.late_cost(load_cost_model_.group_copy_utilization(), group_copy_tunnels))
        return;
    cross_zone_notices_.put(id, 0);
    add_affinity_target(group, new_affinity_target(group, affinity_utilization_limit(), zone));
}

std::uint32_t GroupAffinity::group_leader(std::uint32_t group) const {
    return peer_table_.first_alive(mix(group));
}

std::uint32_t GroupAffinity::new_affinity_target(std::uint32_t group, double limit,
                                                 std::uint32_t zone) const {
    return first_by_rendezvous(group, true, [&](std::uint32_t i) {
        return load_.has_headroom(endpoint_table_.endpoints()[i], limit) &&
               (zone == none || endpoint_table_.endpoints()[i].zone == zone);
    });
}

std::uint32_t GroupAffinity::rendezvous_endpoint(const TrackedTunnel& tunnel, bool warming_up_only) const {
    return first_by_rendezvous(tunnel.group, false, [&](std::uint32_t i) {
        if (holds_group_[i] != 0 ||
            (warming_up_only && !slow_start_.is_warming_up(endpoint_table_.endpoints()[i])))
            return false;
        const bool tried = std::find(tunnel.tried_endpoints.begin(), tunnel.tried_endpoints.end(), i) !=
                           tunnel.tried_endpoints.end();
        return !tried && has_affinity_headroom(endpoint_table_.endpoints()[i]) &&
               slow_start_quota_.slow_start_allows(i);
    });
}

bool GroupAffinity::is_affinity_target(const GroupTable::Place& place) const {
    return place.affinity_target_at >= 0 && node_.now() - place.affinity_target_at < affinity_target_lifetime;
}

void GroupAffinity::mark_targets_full(std::uint32_t group, std::uint32_t except) {
    for (const auto& place : records_.groups().places_of(group)) {
        const std::uint32_t index = endpoint_table_.endpoint_by_id().find(place.endpoint_id);
        if (load_.load_totals_known() || index == none || place.endpoint_id == except ||
            !is_affinity_target(place))
            continue;
        const double headroom =
            affinity_utilization_limit() * load_.capacity(endpoint_table_.endpoints()[index]) -
            load_.total_load(endpoint_table_.endpoints()[index]);
        if (headroom > 0) load_.add_pending_load(index, headroom);
    }
}

double GroupAffinity::affinity_utilization_limit() const {
    return std::max(node_.now() - node_.started_at() < inherited_tunnels_settle ? affinity_max_utilization / 2
                                                                                : affinity_max_utilization,
                    load_.fleet_utilization() + 0.1);
}

bool GroupAffinity::has_affinity_headroom(const Endpoint& endpoint) const {
    return load_.has_no_load_data(endpoint)
               ? load_.has_headroom(endpoint, max_utilization) &&
                     load_.utilization_after_loss(endpoint) < affinity_max_utilization
               : load_.has_headroom(endpoint, affinity_utilization_limit());
}

void GroupAffinity::add_affinity_target(std::uint32_t group, std::uint32_t index) {
    if (index == none) return;
    // What the group's tunnels allow to spend on gossip about its targets, minus what was spent.
    double budget = 0;
    for (const auto& place : records_.groups().places_of(group)) {
        if (place.endpoint_id == endpoint_table_.endpoints()[index].id && is_affinity_target(place)) return;
        budget += gossip_share * place.members -
                  (is_affinity_target(place) ? node_.broadcast_cost(peer::affinity_target_bytes) : 0);
    }
    if (budget < node_.broadcast_cost(peer::affinity_target_bytes)) return;
    on_affinity_target(group, endpoint_table_.endpoints()[index].id);
    if (!node_.gossip_enabled()) return;
    gossip_.outbox().broadcast(
        [&](peer::Message& m) { m.affinity_target(group, endpoint_table_.endpoints()[index].id); });
}

}  // namespace lemonstair
