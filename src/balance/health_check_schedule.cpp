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
    const double probes = static_cast<double>(endpoint_table_.endpoints().size()) *
                          (load_.load_totals_known() || !node_.gossip_enabled() ? node_.node_count() : 1);
    return gossip_budget_.affordable_interval(health_check_period, node_.config().costs.health_check * probes,
                                              8);
}

void HealthCheckSchedule::send_health_checks() {
    const Ticks pause = health_check_interval();
    for (auto& endpoint : endpoint_table_.endpoints()) {
        if (endpoint.state != EndpointState::active || endpoint.health_check_pending) continue;
        // Without load totals an endpoint's report owners check it for all nodes; the others only where
        // they receive no reports of it.
        const bool alone =
            load_.load_totals_known() || !node_.gossip_enabled();  // no report owner publishes its load
        const bool mine = alone || endpoint.owner_rank != not_report_owner;
        // An unresponsive endpoint is checked often until it responds; from then on probation decides.
        const bool unanswered =
            endpoint.unresponsive && endpoint.health_check_passed_at <= endpoint.failed_at;
        const Ticks wait = unanswered ? health_check_period
                           : mine     ? pause * (alone ? 1 : 1 + 4 * endpoint.owner_rank)
                                      : 8 * gossip_budget_.report_interval();
        if (node_.now() - std::max(endpoint.health_checked_at, mine ? -never : endpoint.utilization_at) <
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
