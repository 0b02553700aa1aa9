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
    /// A tail that lost its records (it restarted, or took over from one that died) cannot answer: then a
    /// copy names the endpoint, the node's own first, else that of a node near the tail on the ring, which
    /// was on the chain before. Newest-stamp records never name an endpoint that was left before.
    void query_neighbours(std::uint32_t index);
    void wait_for_answer(std::uint32_t index);

  private:
    friend class StateCodec;

    NodeContext& node_;
    PeerTable& peer_table_;
    GossipSender& gossip_;
    TunnelTable& tunnel_table_;
    RecordReplicator& replicator_;
    TunnelLifecycle& lifecycle_;
    RecordTable& records_;
};

}  // namespace lemonstair
