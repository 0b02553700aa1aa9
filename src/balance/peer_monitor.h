/// Heartbeats: each node sends them to the next two live nodes and monitors the previous two; announces of
/// nodes that start and of peers that went down.
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

    /// A node that has just started holds no records: the others send those that it should hold.
    void announce_start();
    /// Sends heartbeats to the next two live nodes and monitors the previous two; a node that falls silent
    /// is broadcast as down. Heartbeats between all nodes would grow with the square of their number.
    void check_heartbeats();
    /// A monitoring node found `node` silent. A node that is reported down but runs announces itself.
    void on_peer_down(std::uint32_t node);
    void on_node_started(std::uint32_t sender);

  private:
    friend class StateCodec;

    void send_hello();
    void mark_peer_down(std::uint32_t n);

    NodeContext& node_;
    EndpointTable& endpoint_table_;
    PeerTable& peer_table_;
    GossipSender& gossip_;
    GossipBudget& gossip_budget_;
    LoadEstimator& load_;
    RecordReplicator& replicator_;
    NodePair monitored_peers_{none, none};
    Ticks heartbeat_sent_at_ = 0;
    Ticks hello_sent_at_ = -never;
    bool hello_sent_ = false;
};

}  // namespace lemonstair
