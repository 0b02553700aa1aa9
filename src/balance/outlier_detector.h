/// Outlier detection: ejects endpoints whose setups and health checks fail more often than those of other
/// endpoints, or that do not respond, and readmits them on success.
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

    /// Decays the outcome counts of all endpoints together. Called each tick.
    void decay_outcomes() { recent_outcomes_.decay(failure_detector::outcome_decay); }
    /// Readmits the endpoint if it was ejected by gossip alone and no node has renewed the gossip in time.
    void readmit_expired(Endpoint& endpoint);
    /// Records an outcome observed by node `observer`, and ejects or readmits the endpoint if the outcomes
    /// call for it. The endpoint is compared with the others: failures that occur everywhere (a shared store
    /// is down or past its rate) are not an endpoint's fault, and ejecting endpoints for them would add to
    /// the congestion. Only this node's own outcomes show that an endpoint is unreachable.
    void record_outcome(Endpoint& endpoint, Outcome outcome, bool by_health_check, std::uint32_t observer);
    /// Records an outcome of this node and, without load totals, sends it to the endpoint's first report
    /// owner, which evaluates the outcomes of all nodes: a node with few tunnels observes too few.
    void record_own_outcome(Endpoint& endpoint, Outcome outcome);
    /// An endpoint that responds again after it was unreachable may have restarted, and the endpoint list
    /// shows a restart only seconds later. It is treated as in slow start from now on, so that it is not
    /// overloaded.
    void on_responsive(Endpoint& endpoint);
    /// Ejects the endpoint. If most endpoints are ejected then, readmits them all. `value` is logged after
    /// `reason`. `by_gossip`: the ejection rests on observations of other nodes alone, and ends unless they
    /// are renewed.
    void eject(Endpoint& endpoint, const char* reason, double value, bool by_gossip = false);
    void readmit(Endpoint& endpoint, const char* reason);
    /// Readmits on another node's success, at the earliest one second after the ejection. If this node itself
    /// found the endpoint unresponsive, a health check of this node must have passed since.
    void on_reported_healthy(Endpoint& endpoint, const char* reason);
    /// Node `sender` observed an outcome; `outcome` is an Outcome, and unknown values are ignored.
    void on_outcome(std::uint32_t sender, std::uint32_t endpoint_id, std::uint8_t outcome);
    /// Messages of an open tunnel are delayed by `delay` at the endpoint. It is ejected if this is more than
    /// twice the longest client timeout.
    void on_slow_messages(std::uint32_t endpoint_id, Ticks delay);
    /// The endpoint has sent nothing for `span` although lines to it are unanswered. A healthy endpoint
    /// answers a line at once, so one that hangs or is cut off is ejected after line_timeout, seconds before
    /// setups and health checks fail. For an ejected endpoint half of it is enough to record that this node
    /// gets no answer either.
    void on_unresponsive(std::uint32_t endpoint_id, Ticks span);
    const failure_detector::OutcomeTotals& recent_outcomes() const { return recent_outcomes_; }

  private:
    friend class StateCodec;

    // Ejects the endpoint on this node's own evidence. `span` is logged in seconds.
    void eject_unresponsive(Endpoint& endpoint, const char* reason, Ticks span);

    NodeContext& node_;
    EndpointTable& endpoint_table_;
    GossipSender& gossip_;
    SlowStart& slow_start_;
    LoadEstimator& load_;
    FailureGossip& failure_gossip_;
    failure_detector::OutcomeTotals recent_outcomes_;  // of all endpoints
};

}  // namespace lemonstair
