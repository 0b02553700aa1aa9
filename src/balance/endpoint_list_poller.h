/// Decides when service discovery is polled for the endpoint list, and handles received lists and failed
/// polls.
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

    /// Called at the beginning of a list. A failed poll, a lost watch and a move of service discovery are
    /// passed as lists without endpoints, of kind `failed` or `moved`.
    void begin_endpoint_list(EndpointListKind kind);
    /// Schedules the first poll, at a random delay so that nodes that start together do not poll together.
    void start_polling();
    /// Requests the list when a poll is due and no live list has been received. Does nothing where service
    /// discovery need not be polled.
    void poll_endpoint_list();
    /// Called at the end of a list. A complete or cached list replaces the one before. After a failed poll
    /// the next one waits for a backoff. After a move it is sent at once, since the failures of the earlier
    /// service say nothing about the new one.
    void end_endpoint_list();

  private:
    // Sets the estimates that hold until traffic has been seen: one new tunnel per endpoint in three seconds.
    void initialise_load_estimates();

    NodeContext& node_;
    EndpointTable& endpoint_table_;
    PeerTable& peer_table_;
    GossipBudget& gossip_budget_;
    LoadEstimator& load_;
    HealthCheckSchedule& health_checks_;
    LoadReporter& reporter_;
    EndpointListKind list_kind_ = EndpointListKind::cached;
    bool list_is_live_ = false;  // service discovery sends changes of it
    Ticks poll_list_at_ = 0;
    backoff::Backoff list_backoff_;
};

}  // namespace lemonstair
