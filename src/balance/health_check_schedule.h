/// Decides when endpoints are health-checked, and passes the results to outlier detection and load
/// estimation.
#pragma once

#include "balance/endpoint.h"

namespace lemonstair {

class EndpointTable;
class FailureGossip;
class GossipBudget;
class LoadEstimator;
class NodeContext;
class OutlierDetector;

class HealthCheckSchedule {
  public:
    HealthCheckSchedule(NodeContext& node, EndpointTable& endpoint_table, GossipBudget& gossip_budget,
                        LoadEstimator& load, OutlierDetector& outliers, FailureGossip& failure_gossip);
    HealthCheckSchedule(const HealthCheckSchedule&) = delete;
    HealthCheckSchedule& operator=(const HealthCheckSchedule&) = delete;

    /// Starts a health check unless one is pending, the endpoint is not active, or health checks are
    /// disabled.
    void start_health_check(Endpoint& endpoint);
    /// The interval of health checks that the budget allows: 1 to 8 health_check_period.
    Ticks health_check_interval() const;
    /// Starts the health checks that are due.
    void send_health_checks();
    /// A health check ended. Only a passed one, a timeout or an unreachable endpoint has an effect.
    void on_health_check(std::uint32_t endpoint_id, Outcome outcome, const LoadReport& report);

  private:
    NodeContext& node_;
    EndpointTable& endpoint_table_;
    GossipBudget& gossip_budget_;
    LoadEstimator& load_;
    OutlierDetector& outliers_;
    FailureGossip& failure_gossip_;
};

}  // namespace lemonstair
