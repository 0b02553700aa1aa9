#include "balance/health_check_schedule.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "balance/constants.h"
#include "balance/endpoint_table.h"
#include "balance/failure_gossip.h"
#include "balance/gossip_budget.h"
#include "balance/load_estimator.h"
#include "balance/node_context.h"
#include "balance/outlier_detector.h"

namespace lemonstair {

HealthCheckSchedule::HealthCheckSchedule(NodeContext& node, EndpointTable& endpoint_table,
                                         GossipBudget& gossip_budget, LoadEstimator& load,
                                         OutlierDetector& outliers, FailureGossip& failure_gossip)
    : node_(node),
      endpoint_table_(endpoint_table),
      gossip_budget_(gossip_budget),
      load_(load),
      outliers_(outliers),
      failure_gossip_(failure_gossip) {}

void HealthCheckSchedule::start_health_check(Endpoint& endpoint) {
    if (endpoint.health_check_pending || !node_.config().limits.health_checks_enabled ||
        endpoint.state != EndpointState::active)
        return;
    endpoint.health_check_pending = true;
    endpoint.health_checked_at = node_.now();
    node_.delegate().check_health(endpoint.id);
}

Ticks HealthCheckSchedule::health_check_interval() const {
    const double checks = static_cast<double>(endpoint_table_.endpoints().size()) *
                          (load_.load_totals_known() || !node_.gossip_enabled() ? node_.node_count() : 1);
    return gossip_budget_.affordable_interval(health_check_period, node_.config().costs.health_check * checks,
                                              8);
}

void HealthCheckSchedule::send_health_checks() {
    const Ticks interval = health_check_interval();
    for (auto& endpoint : endpoint_table_.endpoints()) {
        if (endpoint.state != EndpointState::active || endpoint.health_check_pending) continue;
        // Where load reports are published, the report owners of an endpoint check it for all nodes. Other
        // nodes check it only if they receive no reports of it.
        const bool for_itself = load_.load_totals_known() || !node_.gossip_enabled();
        const bool responsible = for_itself || endpoint.owner_rank != not_report_owner;
        // An unresponsive endpoint is checked every health_check_period until it responds. From then on
        // probation decides when it is used again.
        const bool unanswered =
            endpoint.unresponsive && endpoint.health_check_passed_at <= endpoint.failed_at;
        const Ticks wait = unanswered    ? health_check_period
                           : responsible ? interval * (for_itself ? 1 : 1 + 4 * endpoint.owner_rank)
                                         : 8 * gossip_budget_.report_interval();
        if (node_.now() -
                std::max(endpoint.health_checked_at, responsible ? -never : endpoint.utilization_at) <
            wait)
            continue;
        start_health_check(endpoint);
    }
}

void HealthCheckSchedule::on_health_check(std::uint32_t endpoint_id, Outcome outcome,
                                          const LoadReport& report) {
    if (endpoint_table_.find_endpoint(endpoint_id) == nullptr) return;
    Endpoint& endpoint = *endpoint_table_.find_endpoint(endpoint_id);
    endpoint.health_check_pending = false;
    if (outcome == Outcome::timed_out || outcome == Outcome::unreachable)
        outliers_.record_outcome(endpoint, outcome, true, node_.config().own_node);
    if (outcome != Outcome::ok) return;
    failure_gossip_.on_any_success();
    endpoint.health_check_passed_at = node_.now();
    outliers_.on_responsive(endpoint);
    load_.on_health_report(endpoint, report);
}

}  // namespace lemonstair
