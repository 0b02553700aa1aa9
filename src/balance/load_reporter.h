/// Publishes by gossip the load totals of this node's tunnels and, without load totals, the load reports of
/// the endpoints that this node is a report owner of. Report owners follow from the ring and the endpoint
/// list, so that nodes with the same list agree on them.
#pragma once

#include "balance/endpoint.h"

namespace lemonstair {

class EndpointTable;
class GossipBudget;
class GossipSender;
class LoadEstimator;
class NodeContext;
class OutlierDetector;
class PeerTable;

class LoadReporter {
  public:
    LoadReporter(NodeContext& node, EndpointTable& endpoint_table, PeerTable& peer_table,
                 GossipSender& gossip, GossipBudget& gossip_budget, LoadEstimator& load,
                 OutlierDetector& outliers);
    LoadReporter(const LoadReporter&) = delete;
    LoadReporter& operator=(const LoadReporter&) = delete;

    /// Schedules the first publication, at a random delay so that nodes that start together do not publish
    /// together.
    void start_publishing();
    /// Publishes the load totals at the interval that the gossip budget allows. Where load totals are not
    /// known, it publishes them every report_period if that interval is below four report periods, and not at
    /// all otherwise, as they would be too old to be of use.
    void publish_load_totals_when_due();
    /// Elects the report owners of each endpoint: the chain of three live nodes at the ring point of the
    /// endpoint's block. The endpoints of a block have the same owners, so that one message covers them. The
    /// second and the third owner stand in, in this order, when the first publishes nothing.
    void elect_report_owners();
    /// Broadcasts the load reports that are due, with those of other owned endpoints that have changed a
    /// little.
    void publish_reports();
    /// A report owner published the utilization of an endpoint. The report readmits the endpoint if
    /// `healthy`.
    void on_load_report(std::uint32_t endpoint_id, bool healthy, double load);
    /// Node `sender` published the load of its tunnels on an endpoint. `healthy`: it has had a success there
    /// since its last publication.
    void on_load_total(std::uint32_t sender, std::uint32_t endpoint_id, bool healthy, double load);

  private:
    friend class StateCodec;

    // The first report owner publishes at once that an endpoint has recovered, the second and third no sooner
    // than 1 s and 2 s after its ejection. Otherwise the first publishes at the interval that the gossip
    // budget allows, and sooner the more the utilization has changed; the others wait 3 and 5 times as long.
    bool report_is_due(const Endpoint& endpoint) const;
    // Broadcasts the load totals that have changed, and all of them every fourth time.
    void publish_load_totals();

    NodeContext& node_;
    EndpointTable& endpoint_table_;
    PeerTable& peer_table_;
    GossipSender& gossip_;
    GossipBudget& gossip_budget_;
    LoadEstimator& load_;
    OutlierDetector& outliers_;
    Ticks last_published_at_ = 0;
    std::uint32_t publish_count_ = 0;
};

}  // namespace lemonstair
