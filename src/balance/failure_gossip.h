/// Failure observations between nodes: what this node reports of endpoints that do not respond to it, what it
/// accepts of others, and whether it is itself isolated and must report nothing.
#pragma once

#include "balance/endpoint.h"

namespace lemonstair {

class EndpointTable;
class GossipSender;
class HealthCheckSchedule;
class LoadEstimator;
class NodeContext;
class OutlierDetector;
class PeerTable;

class FailureGossip {
  public:
    FailureGossip(NodeContext& node, EndpointTable& endpoint_table, PeerTable& peer_table,
                  GossipSender& gossip, LoadEstimator& load, HealthCheckSchedule& health_checks,
                  OutlierDetector& outliers);
    FailureGossip(const FailureGossip&) = delete;
    FailureGossip& operator=(const FailureGossip&) = delete;

    /// One or two nodes observed a failure of an endpoint. A report owner then checks it itself.
    void on_endpoint_failure(std::uint32_t endpoint_id, std::uint32_t observed_at, std::uint32_t observer,
                             std::uint32_t second_observer);
    /// Reports an endpoint that this node ejected as unresponsive to its report owners, once another
    /// endpoint has responded since: a node that is cut off from the endpoints must not report them all.
    void report_failure(Endpoint& endpoint);
    void check_isolation();
    void on_any_success();
    /// Whether to publish that an endpoint has failed: a quorum observed it. Lower-ranked report owners
    /// publish later, where those before them do not.
    bool failure_is_due(const Endpoint& endpoint) const;
    void publish_failure(Endpoint& endpoint);
    bool isolated() const { return isolated_; }

  private:
    // Many nodes may agree and all be wrong: a node that just had a success does not accept the gossip, and
    // for most of a zone or cell it needs evidence of its own.
    void accept_gossip(Endpoint& endpoint);
    // From here on one failure of this node's own is enough.
    void raise_suspicion(Endpoint& endpoint);

    NodeContext& node_;
    EndpointTable& endpoint_table_;
    PeerTable& peer_table_;
    GossipSender& gossip_;
    LoadEstimator& load_;
    HealthCheckSchedule& health_checks_;
    OutlierDetector& outliers_;
    Ticks last_success_at_ = -never;  // of any endpoint
    Ticks isolation_checked_at_ = -never;
    Ticks isolated_since_ = -never;  // an endpoint failed and none has responded since
    Ticks isolated_until_ = -never;  // the end of the last such time that was long
    bool isolated_ = false;
};

}  // namespace lemonstair
