/// Looks up the endpoint of a tunnel that arrives mid-flow: here, at the tail of its chain, then at nodes
/// near it.
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

    void on_lookup_reply(std::uint64_t key, bool known, std::uint32_t endpoint_id, std::int64_t stamp);
    /// A tail without the record (it restarted, or replaced a failed node) cannot answer. Then a copy names
    /// the endpoint: this node's, else that of a node near the tail, which was on the chain before. The
    /// newest stamp wins, so a copy does not name an endpoint that the tunnel has left.
    void query_neighbours(std::uint32_t index);
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
