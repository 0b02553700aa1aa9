/// When service discovery is polled for the endpoint list, and what follows from a list received or lost.
#pragma once

#include "backoff/backoff.h"
#include "balance/endpoint.h"

namespace lemonstair {

class EndpointTable;
class GossipBudget;
class HealthCheckSchedule;
class LoadEstimator;
class LoadReporter;
class NodeContext;
class PeerTable;

class EndpointListPoller {
  public:
    EndpointListPoller(NodeContext& node, EndpointTable& endpoint_table, PeerTable& peer_table,
                       GossipBudget& gossip_budget, LoadEstimator& load, HealthCheckSchedule& health_checks,
                       LoadReporter& reporter);
    EndpointListPoller(const EndpointListPoller&) = delete;
    EndpointListPoller& operator=(const EndpointListPoller&) = delete;

    void begin_endpoint_list(EndpointListKind kind);
    /// Spreads the first polls of nodes that start together.
    void start_polling();
    void poll_endpoint_list();
    void end_endpoint_list();

  private:
    // Before any traffic is seen, an endpoint is taken to get a tunnel in three seconds.
    void initialise_load_estimates();

    NodeContext& node_;
    EndpointTable& endpoint_table_;
    PeerTable& peer_table_;
    GossipBudget& gossip_budget_;
    LoadEstimator& load_;
    HealthCheckSchedule& health_checks_;
    LoadReporter& reporter_;
    EndpointListKind list_kind_ = EndpointListKind::cached;
    bool list_is_live_ = false;
    Ticks poll_list_at_ = 0;
    backoff::Backoff list_backoff_;
};

}  // namespace lemonstair
