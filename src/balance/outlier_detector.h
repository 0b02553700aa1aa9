/// Outlier detection: ejects endpoints whose setups and health checks fail more often than elsewhere, and
/// readmits them on success.
#pragma once

#include "balance/endpoint.h"

namespace lemonstair {

class EndpointTable;
class FailureGossip;
class GossipSender;
class LoadEstimator;
class NodeContext;
class SlowStart;

class OutlierDetector {
  public:
    OutlierDetector(NodeContext& node, EndpointTable& endpoint_table, GossipSender& gossip,
                    SlowStart& slow_start, LoadEstimator& load, FailureGossip& failure_gossip);
    OutlierDetector(const OutlierDetector&) = delete;
    OutlierDetector& operator=(const OutlierDetector&) = delete;

    void decay_outcomes() { recent_outcomes_.fade(failure_detector::outcome_decay); }
    /// Ends the ejections by gossip that no node has renewed.
    void readmit_expired(Endpoint& endpoint);
    /// What fails everywhere (a store that all setups need, a burst past its rate) is no endpoint's fault.
    /// Setting eps aside for it, and moving their tunnels, would feed the very jam: the test asks what an
    /// endpoint does worse than the others. `by`: the node whose setup it was; only one's own say that an
    /// endpoint is out of reach.
    void record_outcome(Endpoint& endpoint, Outcome ending, bool by_probe, std::uint32_t by);
    /// A node with few tunnels of its own learns too little of an endpoint: the endpoint's reporter
    /// judges for all.
    void record_own_outcome(Endpoint& endpoint, Outcome ending);
    /// An endpoint that was silent and answers again may have restarted: the list says so seconds later,
    /// and by then it would have fallen over under what a warm one takes. Until the list is heard it counts
    /// as cold.
    void on_responsive(Endpoint& endpoint);
    void eject(Endpoint& endpoint, const char* why, double figure, bool hearsay = false);
    void readmit(Endpoint& endpoint, const char* why);
    /// What a node finds itself goes before what it hears: one that it found dead has to answer it first.
    void on_reported_healthy(Endpoint& endpoint, const char* who);
    void on_outcome(std::uint32_t sender, std::uint32_t endpoint_id, std::uint8_t ending);
    void on_slow_messages(std::uint32_t endpoint_id, Ticks delay);
    /// A sound endpoint answers a line at once, on each connection. Guards against one that hangs or is cut
    /// off, of which setups and probes tell only seconds later.
    void on_unresponsive(std::uint32_t endpoint_id, Ticks span);
    const failure_detector::OutcomeTotals& recent_outcomes() const { return recent_outcomes_; }

  private:
    friend class StateCodec;

    void eject_unresponsive(Endpoint& endpoint, const char* why, Ticks figure);

    NodeContext& node_;
    EndpointTable& endpoint_table_;
    GossipSender& gossip_;
    SlowStart& slow_start_;
    LoadEstimator& load_;
    FailureGossip& failure_gossip_;
    failure_detector::OutcomeTotals recent_outcomes_;  // of all endpoints
};

}  // namespace lemonstair
