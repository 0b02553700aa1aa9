/// When endpoints are health-checked, and what a result leads to.
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

    void start_health_check(Endpoint& endpoint);
    Ticks health_check_interval() const;
    void send_health_checks();
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
