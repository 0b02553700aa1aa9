/// What a node publishes periodically: its own load totals, and the reports of the endpoints that it owns.
/// Report owners are elected by the ring from the list alone, so nodes with the same list agree.
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

    /// Spreads the first publication of nodes that start together.
    void start_publishing();
    void publish_load_totals_when_due();
    /// Endpoints of one block have the same report owners, so that one message covers them; the next two on
    /// the ring stand in, in order of rank, where the first publishes nothing. Blocks follow from the list
    /// alone, so nodes with the same list agree on them.
    void elect_report_owners();
    void publish_reports();
    void on_load_report(std::uint32_t endpoint_id, bool healthy, double load);
    void on_load_total(std::uint32_t sender, std::uint32_t endpoint_id, bool healthy, double load);

  private:
    friend class StateCodec;

    // A report owner publishes at once where an endpoint failed or recovered, otherwise as its cost allows,
    // and the sooner the more the utilization has changed.
    bool report_is_due(const Endpoint& endpoint) const;
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
