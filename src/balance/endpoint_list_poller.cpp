#include "balance/endpoint_list_poller.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "balance/constants.h"
#include "balance/endpoint_table.h"
#include "balance/gossip_budget.h"
#include "balance/health_check_schedule.h"
#include "balance/load_estimator.h"
#include "balance/load_reporter.h"
#include "balance/node_context.h"
#include "balance/peer_table.h"

namespace lemonstair {

EndpointListPoller::EndpointListPoller(NodeContext& node, EndpointTable& endpoint_table,
                                       PeerTable& peer_table, GossipBudget& gossip_budget,
                                       LoadEstimator& load, HealthCheckSchedule& health_checks,
                                       LoadReporter& reporter)
    : node_(node),
      endpoint_table_(endpoint_table),
      peer_table_(peer_table),
      gossip_budget_(gossip_budget),
      load_(load),
      health_checks_(health_checks),
      reporter_(reporter) {}

void EndpointListPoller::poll_endpoint_list() {
    if (!node_.config().must_poll || list_is_live_ || node_.now() < poll_list_at_) return;
    poll_list_at_ = node_.now() + std::max(second, node_.config().rules.poll_interval / 2);
    node_.delegate().request_endpoint_list();
}

void EndpointListPoller::end_endpoint_list() {
    if (list_kind_ == EndpointListKind::failed || list_kind_ == EndpointListKind::moved) {
        list_is_live_ = false;
        // The failures of the earlier service say nothing about the new one.
        if (list_kind_ == EndpointListKind::moved) list_backoff_.on_success();
        poll_list_at_ =
            node_.now() +
            (list_kind_ == EndpointListKind::failed ? list_backoff_.on_failure(node_.random_fraction()) : 0);
        node_.log_line("endpoint list lost, %d consecutive failures; keeping the last list and trying again",
                       list_backoff_.failures());
        return poll_endpoint_list();
    }
    if (list_kind_ == EndpointListKind::complete || list_kind_ == EndpointListKind::cached)
        endpoint_table_.remove_unlisted();
    reporter_.elect_report_owners();
    if (list_kind_ == EndpointListKind::cached) return initialise_load_estimates();
    if (list_backoff_.failures() > 0)
        node_.log_line("endpoint list received again after %d consecutive failures",
                       list_backoff_.failures());
    list_backoff_.on_success();
    list_is_live_ = true;
}

void EndpointListPoller::initialise_load_estimates() {
    gossip_budget_.set_placement_rate(static_cast<double>(endpoint_table_.endpoints().size()) / 3 * 10 /
                                      node_.placements_per_sample());
    gossip_budget_.update_gossip_intervals();
    // Health checks are spread: nodes that read an endpoint's report at the same time would all crowd the
    // lightly loaded endpoints afterwards.
    for (auto& endpoint : endpoint_table_.endpoints())
        if (!node_.gossip_enabled())
            endpoint.health_checked_at =
                node_.now() - node_.random_delay(health_checks_.health_check_interval());
    if (node_.gossip_enabled() && gossip_budget_.load_totals_interval() < 4 * report_period)
        for (auto& peer : peer_table_.peers()) peer.load_totals_at = node_.now();
    load_.update_fleet_estimates();
}

void EndpointListPoller::begin_endpoint_list(EndpointListKind kind) {
    list_kind_ = kind;
    endpoint_table_.begin_list();
}

void EndpointListPoller::start_polling() {
    poll_list_at_ = node_.now() + node_.random_delay(backoff::first_call_spread(node_.node_slots()));
    list_backoff_ = backoff::Backoff(std::max(second / 4, backoff::first_call_spread(node_.node_slots())));
}

}  // namespace lemonstair
