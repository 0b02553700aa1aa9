/// Chain replication of placement records (key -> endpoint) over the ring. A record's carrier publishes it to
/// the head of its chain; each member forwards it towards the tail, which answers lookups.
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

    /// Once a second: publishes the records that are due and drops those not refreshed.
    void refresh();
    void publish(TrackedTunnel& tunnel, bool first = false);
    /// Publishes again the records whose chains hold the node; all records would be too much gossip.
    void rereplicate_records(std::uint32_t node, bool alive);
    /// A hybrid logical clock: the wall clock, but never behind a stamp seen. A node whose clock is behind
    /// would otherwise lose its placements to older ones.
    Ticks next_stamp();
    void observe_stamp(Ticks stamp);
    /// The tunnel was placed in an earlier incarnation of the endpoint, by at least half a second: clocks
    /// differ. They may differ by hours: a record refreshed long after the incarnation began belongs to it,
    /// whatever its stamp.
    bool predates_incarnation(std::uint64_t key, const Endpoint& endpoint) const;
    void on_record(std::uint64_t key, std::uint32_t endpoint_id, std::int64_t stamp, std::uint32_t group,
                   double load);
    void on_lookup(std::uint32_t sender, std::uint64_t key);

  private:
    // Down the chain from its head, each member towards the tail.
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
