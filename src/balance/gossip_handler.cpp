#include "balance/gossip_handler.h"

#include "balance/failure_gossip.h"
#include "balance/gossip_sender.h"
#include "balance/group_affinity.h"
#include "balance/load_reporter.h"
#include "balance/node_context.h"
#include "balance/outlier_detector.h"
#include "balance/peer_monitor.h"
#include "balance/peer_table.h"
#include "balance/record_lookup.h"
#include "balance/record_replicator.h"
#include "balance/slow_start_quota.h"
#include "balance/tunnel_lifecycle.h"

namespace lemonstair {

GossipHandler::GossipHandler(NodeContext& node, PeerTable& peer_table, GossipSender& gossip,
                             PeerMonitor& peer_monitor, RecordReplicator& replicator, RecordLookup& lookup,
                             LoadReporter& reporter, OutlierDetector& outliers, FailureGossip& failure_gossip,
                             GroupAffinity& affinity, SlowStartQuota& slow_start_quota,
                             TunnelLifecycle& lifecycle)
    : node_(node),
      peer_table_(peer_table),
      gossip_(gossip),
      peer_monitor_(peer_monitor),
      replicator_(replicator),
      lookup_(lookup),
      reporter_(reporter),
      outliers_(outliers),
      failure_gossip_(failure_gossip),
      affinity_(affinity),
      slow_start_quota_(slow_start_quota),
      lifecycle_(lifecycle) {}

void GossipHandler::receive(std::uint32_t node, std::span<const std::uint8_t> bytes) {
    if (node >= peer_table_.peers().size() || node == node_.config().own_node) return;
    sender_ = node;
    peer_table_.peers()[node].heard_at = node_.now();
    if (!peer_table_.peers()[node].alive) {
        node_.log_line("node %u is up again, publishing the records that it should hold", node);
        replicator_.rereplicate_records(node, true);
        // The node learns that it was taken to be down, and announces itself to all nodes.
        gossip_.post(node, [&](peer::Message& message) { return message.peer_down(node); });
    }
    peer::decode(bytes, *this);
}

void GossipHandler::on_record(std::uint64_t key, std::uint32_t endpoint_id, std::int64_t stamp,
                              std::uint32_t group, double load) {
    replicator_.on_record(key, endpoint_id, stamp, group, load);
}

void GossipHandler::on_lookup(std::uint64_t key) { replicator_.on_lookup(sender_, key); }

void GossipHandler::on_lookup_reply(std::uint64_t key, bool known, std::uint32_t endpoint_id,
                                    std::int64_t stamp) {
    lookup_.on_lookup_reply(key, known, endpoint_id, stamp);
}

void GossipHandler::on_node_started() { peer_monitor_.on_node_started(sender_); }

void GossipHandler::on_peer_down(std::uint32_t node) { peer_monitor_.on_peer_down(node); }

void GossipHandler::on_load_total(std::uint32_t endpoint_id, bool healthy, double load) {
    reporter_.on_load_total(sender_, endpoint_id, healthy, load);
}

void GossipHandler::on_outcome(std::uint32_t endpoint_id, std::uint8_t outcome_code) {
    outliers_.on_outcome(sender_, endpoint_id, outcome_code);
}

void GossipHandler::on_load_report(std::uint32_t endpoint_id, bool healthy, double load) {
    reporter_.on_load_report(endpoint_id, healthy, load);
}

void GossipHandler::on_affinity_target(std::uint32_t group, std::uint32_t endpoint_id) {
    affinity_.on_affinity_target(group, endpoint_id);
}

void GossipHandler::on_cross_zone(std::uint32_t group, std::uint32_t zone) {
    affinity_.on_cross_zone(group, zone);
}

void GossipHandler::on_lease_request(std::uint32_t endpoint_id, std::uint32_t slot) {
    slow_start_quota_.on_lease_request(sender_, endpoint_id, slot);
}

void GossipHandler::on_lease_grant(std::uint32_t endpoint_id, std::uint32_t slot) {
    if (slow_start_quota_.on_lease_grant(sender_, endpoint_id, slot)) lifecycle_.retry_waiting();
}

void GossipHandler::on_endpoint_failure(std::uint32_t endpoint_id, std::uint32_t observed_at,
                                        std::uint32_t observer, std::uint32_t second_observer) {
    failure_gossip_.on_endpoint_failure(endpoint_id, observed_at, observer, second_observer);
}

}  // namespace lemonstair
