/// RecordReplicator: chain replication of placement records (key -> endpoint) over the consistent hash ring.
/// The node that carries a tunnel publishes its record to the head of the key's chain; each member of the
/// chain forwards it towards the tail, which answers lookups.
#pragma once

#include "balance/endpoint.h"
#include "balance/record_table.h"

namespace lemonstair {

class EndpointTable;
class GossipBudget;
class GossipSender;
class GroupAffinity;
class LoadEstimator;
class NodeContext;
class PeerTable;
class TunnelTable;

class RecordReplicator {
  public:
    RecordReplicator(NodeContext& node, EndpointTable& endpoint_table, PeerTable& peer_table,
                     GossipSender& gossip, GossipBudget& gossip_budget, LoadEstimator& load,
                     TunnelTable& tunnel_table, GroupAffinity& affinity, RecordTable& records);
    RecordReplicator(const RecordReplicator&) = delete;
    RecordReplicator& operator=(const RecordReplicator&) = delete;

    /// In each tick; once a second it publishes the records that are due and drops those that were not
    /// refreshed.
    void refresh();
    /// Publishes the record of a tunnel that this node carries. `first`: the tunnel has just been placed.
    void publish(TrackedTunnel& tunnel, bool first = false);
    /// A node has come up or gone down: publishes again the records that have it on their chain. To publish
    /// all records would take too much gossip.
    void rereplicate_records(std::uint32_t node, bool alive);
    /// The stamp for a new placement, from a hybrid logical clock: the node's clock if it is ahead of all
    /// stamps observed, otherwise one tick more than the highest of them. Without this, the placements of a
    /// node whose clock is behind would lose to older ones.
    Ticks next_stamp();
    /// Advances that clock to a stamp in a record. A stamp too far ahead of this node's clock is ignored.
    void observe_stamp(Ticks stamp);
    /// Whether the tunnel was placed in an earlier incarnation of the endpoint. The stamp must be earlier by
    /// half a second, because clocks differ. They may differ by hours, so a record that was refreshed long
    /// after the incarnation began belongs to it, whatever its stamp.
    bool predates_incarnation(std::uint64_t key, const Endpoint& endpoint) const;
    /// A record from another node: stored and forwarded along the chain if it is the newest.
    void on_record(std::uint64_t key, std::uint32_t endpoint_id, std::int64_t stamp, std::uint32_t group,
                   double load);
    /// Answers another node's lookup, also if there is no record.
    void on_lookup(std::uint32_t sender, std::uint64_t key);

  private:
    // Sends a record to the next member of its chain: to the head if this node publishes it from outside the
    // chain, else to the next member towards the tail. `first`: this node publishes it.
    void forward_record(std::uint64_t key, std::uint32_t endpoint_id, Ticks stamp, std::uint32_t group,
                        double load, bool first);

    NodeContext& node_;
    EndpointTable& endpoint_table_;
    PeerTable& peer_table_;
    GossipSender& gossip_;
    GossipBudget& gossip_budget_;
    LoadEstimator& load_;
    TunnelTable& tunnel_table_;
    GroupAffinity& affinity_;
    RecordTable& records_;
    Ticks highest_stamp_ = 0;
    Ticks records_scanned_at_ = 0;
};

}  // namespace lemonstair
