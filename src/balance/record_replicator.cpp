#include "balance/record_replicator.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "balance/constants.h"
#include "balance/endpoint_table.h"
#include "balance/gossip_budget.h"
#include "balance/gossip_sender.h"
#include "balance/group_affinity.h"
#include "balance/load_estimator.h"
#include "balance/node_context.h"
#include "balance/peer_table.h"
#include "balance/record_table.h"
#include "balance/tunnel_table.h"

namespace lemonstair {

RecordReplicator::RecordReplicator(NodeContext& node, EndpointTable& endpoint_table, PeerTable& peer_table,
                                   GossipSender& gossip, GossipBudget& gossip_budget, LoadEstimator& load,
                                   TunnelTable& tunnel_table, GroupAffinity& affinity, RecordTable& records)
    : node_(node),
      endpoint_table_(endpoint_table),
      peer_table_(peer_table),
      gossip_(gossip),
      gossip_budget_(gossip_budget),
      load_(load),
      tunnel_table_(tunnel_table),
      affinity_(affinity),
      records_(records) {}

void RecordReplicator::publish(TrackedTunnel& tunnel, bool first) {
    if (!tunnel.has_key) return;
    const std::uint32_t endpoint_id = endpoint_table_.endpoints()[tunnel.endpoint_index].id;
    records_.put({tunnel.key, tunnel.stamp, node_.now(), endpoint_id, tunnel.group, tunnel.load, true});
    tunnel.refresh_records_at = node_.now() + refresh_period;
    forward_record(tunnel.key, endpoint_id, tunnel.stamp, tunnel.group, tunnel.load, true);
    if (load_.load_totals_known() || tunnel.group == 0) return;
    const bool crosses_zone =
        first && endpoint_table_.endpoints()[tunnel.endpoint_index].zone != node_.config().zone;
    const std::uint32_t leader = affinity_.group_leader(tunnel.group);
    if (crosses_zone && leader == node_.config().own_node)
        affinity_.on_cross_zone(tunnel.group, node_.config().zone);
    if (crosses_zone)
        gossip_.post(leader, [&](peer::Message& message) {
            return message.cross_zone(tunnel.group, node_.config().zone);
        });
    if (leader == node_.config().own_node || peer_table_.on_chain(tunnel.key, leader))
        return affinity_.maintain_affinity_targets(tunnel.group);
    gossip_.post(leader, [&](peer::Message& message) {
        return message.record(tunnel.key, endpoint_id, tunnel.stamp, tunnel.group, tunnel.load);
    });
}

void RecordReplicator::rereplicate_records(std::uint32_t node, bool alive) {
    // The chains are computed as if the node were alive: these are the ones that it joins now or has just
    // left.
    peer_table_.peers()[node].alive = true;
    std::vector<std::uint32_t> affected;
    for (std::uint32_t i = 0; i < tunnel_table_.tunnels().slot_count(); ++i)
        if (tunnel_table_.tunnels().in_use(i) && tunnel_table_.tunnels()[i].state == TunnelState::open &&
            peer_table_.on_chain(tunnel_table_.tunnels()[i].key, node))
            affected.push_back(i);
    peer_table_.peers()[node].alive = alive;
    peer_table_.mark_ring_changed();
    for (const auto i : affected) publish(tunnel_table_.tunnels()[i]);
}

Ticks RecordReplicator::next_stamp() {
    return highest_stamp_ >= node_.now() ? ++highest_stamp_ : node_.now();
}

void RecordReplicator::observe_stamp(Ticks stamp) {
    if (stamp - node_.now() < max_stamp_lead) highest_stamp_ = std::max(highest_stamp_, stamp);
}

bool RecordReplicator::predates_incarnation(std::uint64_t key, const Endpoint& endpoint) const {
    const Record* record = records_.find(key);
    if (record == nullptr || record->endpoint_id != endpoint.id ||
        record->heard_at > endpoint.listed_start + refresh_grace)
        return false;
    return record->stamp + second / 2 < endpoint.listed_start;
}

void RecordReplicator::on_record(std::uint64_t key, std::uint32_t endpoint_id, std::int64_t stamp,
                                 std::uint32_t group, double load) {
    observe_stamp(stamp);
    const Record* known = records_.find(key);
    const bool fresh = known == nullptr || known->stamp != stamp;
    const bool on_own_chain = peer_table_.on_chain(key, node_.config().own_node);
    if (!records_.put({key, stamp, node_.now(), endpoint_id, group, load, on_own_chain}))
        return;  // the newest stamp wins
    forward_record(key, endpoint_id, stamp, group, load, false);
    const std::uint32_t index = endpoint_table_.endpoint_by_id().find(endpoint_id);
    // A placement by another node is in no load total yet. It is counted as pending load, so that nodes do
    // not all choose the same endpoint at once.
    if (index == none || !fresh || node_.now() - stamp > second) return;
    load_.add_pending_load(index, load);
    if (on_own_chain && known == nullptr)
        gossip_budget_.count_placement();  // a known record was counted before
    affinity_.maintain_affinity_targets(group);
}

void RecordReplicator::on_lookup(std::uint32_t sender, std::uint64_t key) {
    const Record* record = records_.find(key);
    const Record known = record != nullptr ? *record : Record{};
    gossip_.post(sender, [&](peer::Message& message) {
        return message.lookup_reply(key, record != nullptr, known.endpoint_id, known.stamp);
    });
}

void RecordReplicator::forward_record(std::uint64_t key, std::uint32_t endpoint_id, Ticks stamp,
                                      std::uint32_t group, double load, bool first) {
    Ring::Chain nodes{};
    const std::size_t length = peer_table_.chain(key, nodes);
    const std::size_t own_position = static_cast<std::size_t>(
        std::find(nodes.begin(), nodes.begin() + length, node_.config().own_node) - nodes.begin());
    if (!first && own_position == length) return;
    const std::size_t next_position = first && own_position + 1 != length ? length : own_position;
    if (next_position == 0) return;
    gossip_.post(nodes[next_position - 1], [&](peer::Message& message) {
        return message.record(key, endpoint_id, stamp, group, load);
    });
}

void RecordReplicator::refresh() {
    if (node_.now() - records_scanned_at_ < second) return;
    records_scanned_at_ = node_.now();
    for (std::uint32_t i = 0; i < tunnel_table_.tunnels().slot_count(); ++i)
        if (tunnel_table_.tunnels().in_use(i) && tunnel_table_.tunnels()[i].state == TunnelState::open &&
            tunnel_table_.tunnels()[i].has_key &&
            node_.now() >= tunnel_table_.tunnels()[i].refresh_records_at)
            publish(tunnel_table_.tunnels()[i]);
    records_.erase_older_than(node_.now() - record_lifetime);
    records_.groups().erase_affinity_targets_before(node_.now() - affinity_target_lifetime);
    load_.set_record_sample(records_.sampled(node_.now() - refresh_period - 2 * second, node_.started_at()));
}

}  // namespace lemonstair
