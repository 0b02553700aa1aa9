#include "balance/record_lookup.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "balance/constants.h"
#include "balance/gossip_sender.h"
#include "balance/node_context.h"
#include "balance/peer_table.h"
#include "balance/record_replicator.h"
#include "balance/record_table.h"
#include "balance/tunnel_lifecycle.h"
#include "balance/tunnel_table.h"

namespace lemonstair {

RecordLookup::RecordLookup(NodeContext& node, PeerTable& peer_table, GossipSender& gossip,
                           TunnelTable& tunnel_table, RecordReplicator& replicator,
                           TunnelLifecycle& lifecycle, RecordTable& records)
    : node_(node),
      peer_table_(peer_table),
      gossip_(gossip),
      tunnel_table_(tunnel_table),
      replicator_(replicator),
      lifecycle_(lifecycle),
      records_(records) {}

void RecordLookup::on_lookup_reply(std::uint64_t key, bool known, std::uint32_t endpoint_id,
                                   std::int64_t stamp) {
    const std::uint32_t index = tunnel_table_.lookups().find(key);
    if (index == none) return;
    TrackedTunnel& tunnel = tunnel_table_.tunnels()[index];
    if (known) {
        replicator_.observe_stamp(stamp);
        records_.put({key, stamp, node_.now(), endpoint_id, tunnel.group, tunnel.load, true});
        return lifecycle_.resume(index, endpoint_id);
    }
    if (!tunnel.queried_all) return query_neighbours(index);
    if (++tunnel.negative_answers >= tunnel.queried_nodes) lifecycle_.resume(index, none);
}

void RecordLookup::query_neighbours(std::uint32_t index) {
    TrackedTunnel& tunnel = tunnel_table_.tunnels()[index];
    const Record* record = records_.find(tunnel.key);
    if (record != nullptr) return lifecycle_.resume(index, record->endpoint_id);
    tunnel.queried_all = true;
    tunnel.negative_answers = tunnel.queried_nodes = 0;
    Ring::Chain neighbours{};
    const std::size_t count = peer_table_.ring().chain(
        tunnel.key, lookup_fanout, [this](std::uint32_t node) { return peer_table_.is_alive(node); },
        neighbours);
    for (std::size_t i = 0; i < count; ++i) {
        if (neighbours[i] == node_.config().own_node) continue;
        gossip_.post(neighbours[i], [&](peer::Message& message) { return message.lookup(tunnel.key); });
        ++tunnel.queried_nodes;
    }
    if (tunnel.queried_nodes == 0) return lifecycle_.resume(index, none);
    wait_for_answer(index);
}

void RecordLookup::wait_for_answer(std::uint32_t index) {
    TrackedTunnel& tunnel = tunnel_table_.tunnels()[index];
    tunnel.wait_until =
        node_.now() + std::min(lookup_timeout, std::max<Ticks>((tunnel.deadline - node_.now()) / 4, 0));
    node_.delegate().set_timer(tunnel.wait_until, tunnel_table_.timer_label(index));
}

}  // namespace lemonstair
