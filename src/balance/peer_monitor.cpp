#include "balance/peer_monitor.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "balance/constants.h"
#include "balance/endpoint_table.h"
#include "balance/gossip_budget.h"
#include "balance/gossip_sender.h"
#include "balance/load_estimator.h"
#include "balance/node_context.h"
#include "balance/peer_table.h"
#include "balance/record_replicator.h"

namespace lemonstair {

PeerMonitor::PeerMonitor(NodeContext& node, EndpointTable& endpoint_table, PeerTable& peer_table,
                         GossipSender& gossip, GossipBudget& gossip_budget, LoadEstimator& load,
                         RecordReplicator& replicator)
    : node_(node),
      endpoint_table_(endpoint_table),
      peer_table_(peer_table),
      gossip_(gossip),
      gossip_budget_(gossip_budget),
      load_(load),
      replicator_(replicator) {}

void PeerMonitor::announce_start() {
    if (hello_sent_) return;
    hello_sent_ = true;
    if (gossip_budget_.gossip_worthwhile()) send_hello();
}

void PeerMonitor::check_heartbeats() {
    if (!node_.gossip_enabled()) return;
    // Heartbeats continue up to four times the cost at which monitoring stops: nodes estimate the cost of
    // gossip slightly differently, and a node that is monitored must still send heartbeats.
    if (node_.now() - heartbeat_sent_at_ >= second && gossip_budget_.gossip_worthwhile(4)) {
        heartbeat_sent_at_ = node_.now();
        for (const auto node : peer_table_.next_alive(1))
            if (node != none) node_.delegate().send_gossip(node, peer::Message().bytes());
    }
    const NodePair previous = peer_table_.next_alive(peer_table_.peers().size() - 1);
    for (const auto node : previous) {
        if (node == none) continue;
        // A peer that was not monitored until now may have sent this node nothing yet.
        if (std::find(monitored_peers_.begin(), monitored_peers_.end(), node) == monitored_peers_.end() ||
            !gossip_budget_.gossip_worthwhile())
            peer_table_.peers()[node].heard_at = node_.now();
        if (node_.now() - peer_table_.peers()[node].heard_at <= peer_timeout) continue;
        gossip_.outbox().broadcast([&](peer::Message& message) { message.peer_down(node); });
        mark_peer_down(node);
    }
    monitored_peers_ = previous;
}

void PeerMonitor::on_peer_down(std::uint32_t node) {
    if (node == node_.config().own_node) return node_.now() - hello_sent_at_ > second ? send_hello() : void();
    if (node < peer_table_.peers().size() && peer_table_.peers()[node].alive) mark_peer_down(node);
}

void PeerMonitor::on_node_started(std::uint32_t sender) {
    for (auto& endpoint : endpoint_table_.endpoints())
        endpoint.set_load_of_node(sender, 0), endpoint.published_load = -1;
    if (load_.load_totals_known()) peer_table_.peers()[sender].load_totals_at = node_.now();
    replicator_.rereplicate_records(sender, true);
}

void PeerMonitor::send_hello() {
    hello_sent_at_ = node_.now();
    if (node_.gossip_enabled())
        gossip_.outbox().broadcast([](peer::Message& message) { message.node_started(); });
}

void PeerMonitor::mark_peer_down(std::uint32_t node) {
    node_.log_line("node %u is down: silent for %lld ms, publishing again the records that it held", node,
                   static_cast<long long>((node_.now() - peer_table_.peers()[node].heard_at) / 10));
    for (auto& endpoint : endpoint_table_.endpoints()) endpoint.set_load_of_node(node, 0);
    replicator_.rereplicate_records(node, false);
}

}  // namespace lemonstair
