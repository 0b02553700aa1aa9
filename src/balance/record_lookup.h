/// RecordLookup finds the endpoint of a tunnel that arrives mid-flow: in this node's records, at the tail of
/// the key's chain, then at the nodes near the tail.
#pragma once

#include "balance/endpoint.h"

namespace lemonstair {

class GossipSender;
class NodeContext;
class PeerTable;
class RecordReplicator;
class RecordTable;
class TunnelLifecycle;
class TunnelTable;

class RecordLookup {
  public:
    RecordLookup(NodeContext& node, PeerTable& peer_table, GossipSender& gossip, TunnelTable& tunnel_table,
                 RecordReplicator& replicator, TunnelLifecycle& lifecycle, RecordTable& records);
    RecordLookup(const RecordLookup&) = delete;
    RecordLookup& operator=(const RecordLookup&) = delete;

    /// The reply of another node; ignored if no tunnel with this key is being looked up.
    void on_lookup_reply(std::uint64_t key, bool known, std::uint32_t endpoint_id, std::int64_t stamp);
    /// The second stage of a lookup. A tail that has restarted or replaced a failed node has no record, so a
    /// copy is used: this node's own, or one from a node near the tail that was on the chain before. A copy
    /// does not name an endpoint that the tunnel has left, because the record with the newest stamp wins on
    /// every node.
    void query_neighbours(std::uint32_t index);
    /// Sets the timeout of a stage: at most a quarter of the tunnel's remaining time.
    void wait_for_answer(std::uint32_t index);

  private:
    NodeContext& node_;
    PeerTable& peer_table_;
    GossipSender& gossip_;
    TunnelTable& tunnel_table_;
    RecordReplicator& replicator_;
    TunnelLifecycle& lifecycle_;
    RecordTable& records_;
};

}  // namespace lemonstair
