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
    /// Records an outcome observed by node `observer` and ejects or readmits by it. What fails everywhere (a
    /// store that all setups need, a burst past its rate) is no endpoint's fault, and ejecting endpoints
    /// for it would feed the congestion: the test compares an endpoint with the others. Only a node's own
    /// outcomes show that an endpoint is unreachable.
    void record_outcome(Endpoint& endpoint, Outcome outcome, bool by_health_check, std::uint32_t observer);
    /// Records an outcome of this node and passes it to the endpoint's report owner, who judges for all: a
    /// node with few tunnels of its own learns too little.
    void record_own_outcome(Endpoint& endpoint, Outcome outcome);
    /// An unreachable endpoint that responds again may have restarted, which the list says only seconds
    /// later. Until then it counts as warming up, so that it is not overloaded.
    void on_responsive(Endpoint& endpoint);
    void eject(Endpoint& endpoint, const char* reason, double figure, bool by_gossip = false);
    void readmit(Endpoint& endpoint, const char* reason);
    /// Readmits on another node's success, except where this node itself found the endpoint unresponsive:
    /// then it must respond to this node's health check first.
    void on_reported_healthy(Endpoint& endpoint, const char* reason);
    void on_outcome(std::uint32_t sender, std::uint32_t endpoint_id, std::uint8_t outcome);
    void on_slow_messages(std::uint32_t endpoint_id, Ticks delay);
    /// A healthy endpoint answers a line at once, on each connection. This ejects one that hangs or is cut
    /// off seconds before setups and health checks would show it.
    void on_unresponsive(std::uint32_t endpoint_id, Ticks span);
    const failure_detector::OutcomeTotals& recent_outcomes() const { return recent_outcomes_; }

  private:
    friend class StateCodec;

    void eject_unresponsive(Endpoint& endpoint, const char* reason, Ticks figure);

    NodeContext& node_;
    EndpointTable& endpoint_table_;
    GossipSender& gossip_;
    SlowStart& slow_start_;
    LoadEstimator& load_;
    FailureGossip& failure_gossip_;
    failure_detector::OutcomeTotals recent_outcomes_;  // of all endpoints
};

}  // namespace lemonstair
