/// Gossip about endpoint failures: reports the failures that this node observed, decides which observations
/// of other nodes are accepted, and detects whether this node is itself cut off from the endpoints, in which
/// case it reports nothing.
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

    /// One or two nodes observed a failure of an endpoint (`second_observer` is no_observer if one). The
    /// endpoint is ejected once a quorum has observed failures. Before that, a report owner checks it itself.
    /// `observed_at` is the low 32 bits of the time.
    void on_endpoint_failure(std::uint32_t endpoint_id, std::uint32_t observed_at, std::uint32_t observer,
                             std::uint32_t second_observer);
    /// Reports to the report owners that this node ejected the endpoint as unresponsive, once another
    /// endpoint has responded since: a node that is cut off from all endpoints must not report them as
    /// failed.
    void report_failure(Endpoint& endpoint);
    /// Called while no endpoint has responded since one failed. After a second this node counts as isolated;
    /// until an endpoint responds, one is checked every half second.
    void check_isolation();
    /// An endpoint responded to this node, which ends its isolation.
    void on_any_success();
    /// Whether this node, as report owner, must publish that the endpoint has failed: a quorum has observed
    /// it. The second and third owner wait longer, and publish only if those before them do not.
    bool failure_is_due(const Endpoint& endpoint) const;
    /// Broadcasts the two newest observations of the endpoint's failure.
    void publish_failure(Endpoint& endpoint);
    bool isolated() const { return isolated_; }

  private:
    // Ejects the endpoint on gossip, or renews such an ejection. Many nodes may agree and all be wrong: a
    // node that had a success on the endpoint within the last second does not eject it, and to eject more
    // than half of a zone or cell a node needs evidence of its own.
    void accept_gossip(Endpoint& endpoint);
    // Starts a health check. While failures are rare elsewhere, one failure that this node observes is now
    // enough to eject the endpoint, unless it is the timeout of a setup, which counts less.
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
    Ticks isolated_since_ = -never;  // since when no endpoint has responded although one failed
    Ticks isolated_until_ = -never;  // the end of the last isolation
    bool isolated_ = false;
};

}  // namespace lemonstair
