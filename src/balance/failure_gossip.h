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

    /// One or two nodes found an endpoint dead. Who reports of it looks for itself.
    void on_endpoint_failure(std::uint32_t endpoint_id, std::uint32_t when, std::uint32_t first,
                             std::uint32_t other);
    /// What it found dead itself, a node tells those who report of it, once any other endpoint has answered
    /// it since. Guards against a node that is cut off from the eps and tells everyone that they are dead.
    void report_failure(Endpoint& endpoint);
    void check_isolation();
    void on_any_success();
    /// That one is dead, once enough nodes found it so; the next in rank says it where those before do not.
    bool failure_is_due(const Endpoint& endpoint) const;
    void publish_failure(Endpoint& endpoint);
    bool isolated() const { return isolated_; }

  private:
    friend class StateCodec;

    // Guards against words of many that are wrong together: whoever has just had an answer does not believe
    // them, and of most of a zone or a cell a node wants to find one dead itself.
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
