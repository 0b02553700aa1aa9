/// PeerMonitor detects nodes that go down, by heartbeats, and tells the other nodes of starts and failures.
#pragma once

#include "balance/endpoint.h"
#include "balance/peer_state.h"

namespace lemonstair {

class EndpointTable;
class GossipBudget;
class GossipSender;
class LoadEstimator;
class NodeContext;
class PeerTable;
class RecordReplicator;

class PeerMonitor {
  public:
    PeerMonitor(NodeContext& node, EndpointTable& endpoint_table, PeerTable& peer_table, GossipSender& gossip,
                GossipBudget& gossip_budget, LoadEstimator& load, RecordReplicator& replicator);
    PeerMonitor(const PeerMonitor&) = delete;
    PeerMonitor& operator=(const PeerMonitor&) = delete;

    /// Called in each tick, but only the first call has an effect: it announces this node to the others,
    /// which send it the records that it should hold.
    void announce_start();
    /// Sends heartbeats to the next two live nodes and monitors the previous two; one that is silent for too
    /// long is marked and broadcast as down. Heartbeats between all nodes would grow with the square of their
    /// number.
    void check_heartbeats();
    /// Another node reports that `node` is down. If that is this node, it announces itself instead.
    void on_peer_down(std::uint32_t node);
    /// The sender has started: its earlier loads are void, and it is sent the records that it should hold.
    void on_node_started(std::uint32_t sender);

  private:
    friend class StateCodec;

    void send_hello();
    void mark_peer_down(std::uint32_t node);

    NodeContext& node_;
    EndpointTable& endpoint_table_;
    PeerTable& peer_table_;
    GossipSender& gossip_;
    GossipBudget& gossip_budget_;
    LoadEstimator& load_;
    RecordReplicator& replicator_;
    NodePair monitored_peers_{none, none};  // as of the last check
    Ticks heartbeat_sent_at_ = 0;
    Ticks hello_sent_at_ = -never;
    bool hello_sent_ = false;  // true also if the announcement was left out because of its cost
};

}  // namespace lemonstair
