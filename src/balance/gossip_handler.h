/// GossipHandler decodes the gossip messages of other nodes and passes each item to the module that handles
/// it.
#pragma once
#include <cstdint>
#include <span>

#include "peer/codec.h"

namespace lemonstair {

class FailureGossip;
class GossipSender;
class GroupAffinity;
class LoadReporter;
class NodeContext;
class OutlierDetector;
class PeerMonitor;
class PeerTable;
class RecordLookup;
class RecordReplicator;
class SlowStartQuota;
class TunnelLifecycle;

class GossipHandler final : peer::MessageHandler {
  public:
    GossipHandler(NodeContext& node, PeerTable& peer_table, GossipSender& gossip, PeerMonitor& peer_monitor,
                  RecordReplicator& replicator, RecordLookup& lookup, LoadReporter& reporter,
                  OutlierDetector& outliers, FailureGossip& failure_gossip, GroupAffinity& affinity,
                  SlowStartQuota& slow_start_quota, TunnelLifecycle& lifecycle);
    GossipHandler(const GossipHandler&) = delete;
    GossipHandler& operator=(const GossipHandler&) = delete;

    /// Handles a message of another node. A malformed message has no effect except that the sender counts as
    /// alive.
    void receive(std::uint32_t node, std::span<const std::uint8_t> bytes);

  private:
    void on_record(std::uint64_t key, std::uint32_t endpoint_id, std::int64_t stamp, std::uint32_t group,
                   double load) override;
    void on_lookup(std::uint64_t key) override;
    void on_lookup_reply(std::uint64_t key, bool known, std::uint32_t endpoint_id,
                         std::int64_t stamp) override;
    void on_node_started() override;
    void on_peer_down(std::uint32_t node) override;
    void on_load_total(std::uint32_t endpoint_id, bool healthy, double load) override;
    void on_outcome(std::uint32_t endpoint_id, std::uint8_t outcome_code) override;
    void on_load_report(std::uint32_t endpoint_id, bool healthy, double load) override;
    void on_affinity_target(std::uint32_t group, std::uint32_t endpoint_id) override;
    void on_cross_zone(std::uint32_t group, std::uint32_t zone) override;
    void on_lease_request(std::uint32_t endpoint_id, std::uint32_t slot) override;
    void on_lease_grant(std::uint32_t endpoint_id, std::uint32_t slot) override;
    void on_endpoint_failure(std::uint32_t endpoint_id, std::uint32_t observed_at, std::uint32_t observer,
                             std::uint32_t second_observer) override;

    NodeContext& node_;
    PeerTable& peer_table_;
    GossipSender& gossip_;
    PeerMonitor& peer_monitor_;
    RecordReplicator& replicator_;
    RecordLookup& lookup_;
    LoadReporter& reporter_;
    OutlierDetector& outliers_;
    FailureGossip& failure_gossip_;
    GroupAffinity& affinity_;
    SlowStartQuota& slow_start_quota_;
    TunnelLifecycle& lifecycle_;
    std::uint32_t sender_ = 0;  // of the message being decoded
};

}  // namespace lemonstair
