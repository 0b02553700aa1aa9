#include "balance/outlier_detector.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "balance/constants.h"
#include "balance/endpoint_table.h"
#include "balance/failure_gossip.h"
#include "balance/gossip_sender.h"
#include "balance/load_estimator.h"
#include "balance/node_context.h"
#include "balance/slow_start.h"

namespace lemonstair {

OutlierDetector::OutlierDetector(NodeContext& node, EndpointTable& endpoint_table, GossipSender& gossip,
                                 SlowStart& slow_start, LoadEstimator& load, FailureGossip& failure_gossip)
    : node_(node),
      endpoint_table_(endpoint_table),
      gossip_(gossip),
      slow_start_(slow_start),
      load_(load),
      failure_gossip_(failure_gossip) {}

void OutlierDetector::record_outcome(Endpoint& endpoint, Outcome outcome, bool by_health_check,
                                     std::uint32_t observer) {
    if (outcome == Outcome::cancelled || outcome == Outcome::overloaded || unrelated_to_endpoint(outcome))
        return;
    const bool own = observer == node_.config().own_node;
    // Setups may depend on a shared store that health checks do not need, so the timeout of a setup says less
    // about the endpoint.
    endpoint.failure_likelihood.count(outcome != Outcome::ok,
                                      outcome == Outcome::timed_out && !by_health_check, recent_outcomes_,
                                      node_.now());
    if (outcome == Outcome::ok) {
        endpoint.unresponsive_observations.on_healthy(node_.now());
        // Outcomes are sent to the first report owner alone. While a quorum of nodes has observed failures,
        // it forwards successes to the other owners.
        const bool contested =
            endpoint.owner_rank == 0 && endpoint.unresponsive_observations.is_failing(node_.now());
        for (std::size_t i = 1; contested && i < endpoint.report_owners.size(); ++i)
            gossip_.post(endpoint.report_owners[i],
                         [&](auto& m) { return m.outcome(endpoint.id, static_cast<std::uint8_t>(outcome)); });
        if (!own) return on_reported_healthy(endpoint, "reported healthy by a node");
        failure_gossip_.on_any_success();
        endpoint.succeeded_at = node_.now();
        endpoint.unresponsive = false;
        on_responsive(endpoint);
        if (endpoint.ejected) readmit(endpoint, "it responds to this node");
        return;
    }
    static_cast<void>(endpoint.failure_observations.add(observer, node_.now(), node_.now()));
    if (own && (outcome == Outcome::timed_out || outcome == Outcome::unreachable)) {
        endpoint.unresponsive = true;
        endpoint.failed_at = node_.now();
        endpoint.contact_lost = endpoint.contact_lost || outcome == Outcome::unreachable ||
                                (by_health_check && ++endpoint.failed_health_checks >= 2);
    }
    if (endpoint.ejected) endpoint.probation_at = node_.now() + probation_interval;
    if (endpoint.failure_likelihood.log_likelihood_ratio < failure_detector::ejection_threshold) return;
    if (own ? !endpoint.ejected || endpoint.gossip_ejection_until != 0
            : !endpoint.ejected && endpoint.failure_observations.is_failing(node_.now()) &&
                  endpoint_table_.gossip_may_eject(endpoint))
        eject(endpoint,
              endpoint.unresponsive ? "unresponsive, log-likelihood ratio"
                                    : "setups fail, log-likelihood ratio",
              endpoint.failure_likelihood.log_likelihood_ratio, !own);
}

void OutlierDetector::record_own_outcome(Endpoint& endpoint, Outcome outcome) {
    record_outcome(endpoint, outcome, false, node_.config().own_node);
    if (load_.load_totals_known() || never_executed(outcome)) return;
    gossip_.post(endpoint.report_owners[0],
                 [&](auto& m) { return m.outcome(endpoint.id, static_cast<std::uint8_t>(outcome)); });
}

void OutlierDetector::on_responsive(Endpoint& endpoint) {
    endpoint.failed_health_checks = 0;
    if (!endpoint.contact_lost) return;
    endpoint.contact_lost = false;
    if (node_.config().rules.slow_start_duration <= 0 || slow_start_.is_warming_up(endpoint)) return;
    node_.log_line("endpoint %u responds again and may have restarted; treating it as in slow start",
                   endpoint.id);
    endpoint.started_at = node_.now();
}

void OutlierDetector::eject(Endpoint& endpoint, const char* reason, double value, bool by_gossip) {
    endpoint.ejected = true;
    endpoint.gossip_ejection_until = by_gossip ? node_.now() + failure_detector::observation_lifetime : 0;
    endpoint.failure_reported_at = -never;
    endpoint.ejected_at = node_.now();
    endpoint.probation_at = node_.now() + probation_interval;
    node_.log_line("endpoint %u ejected: %s %.1f", endpoint.id, reason, value);
    // If most endpoints are ejected, the fault is elsewhere: all are readmitted, so that some remain in use.
    int active_surplus = 0;  // active endpoints in use, minus those that are ejected
    for (const auto& other : endpoint_table_.endpoints())
        if (other.state == EndpointState::active) active_surplus += other.ejected ? -1 : 1;
    if (active_surplus >= 0) return;
    for (auto& other : endpoint_table_.endpoints())
        if (other.ejected) readmit(other, "most endpoints are ejected");
}

void OutlierDetector::readmit(Endpoint& endpoint, const char* reason) {
    node_.log_line("endpoint %u readmitted after %lld ms: %s", endpoint.id,
                   static_cast<long long>(node_.now() - endpoint.ejected_at) / 10, reason);
    endpoint.ejected = endpoint.unresponsive = false;
    endpoint.failure_likelihood.log_likelihood_ratio = 0;
}

void OutlierDetector::on_reported_healthy(Endpoint& endpoint, const char* reason) {
    const bool own_evidence = endpoint.unresponsive && endpoint.gossip_ejection_until == 0 &&
                              node_.config().limits.health_checks_enabled;
    if (!endpoint.ejected || node_.now() - endpoint.ejected_at <= second ||
        (own_evidence && endpoint.health_check_passed_at <= endpoint.ejected_at))
        return;
    readmit(endpoint, reason);
}

void OutlierDetector::on_outcome(std::uint32_t sender, std::uint32_t endpoint_id, std::uint8_t outcome) {
    if (outcome > static_cast<std::uint8_t>(Outcome::not_sent)) return;
    if (Endpoint* endpoint = endpoint_table_.find_endpoint(endpoint_id))
        record_outcome(*endpoint, static_cast<Outcome>(outcome), false, sender);
}

void OutlierDetector::on_slow_messages(std::uint32_t endpoint_id, Ticks delay) {
    if (endpoint_table_.find_endpoint(endpoint_id) == nullptr) return;
    Endpoint& endpoint = *endpoint_table_.find_endpoint(endpoint_id);
    load_.on_slow_message(endpoint, delay);
    // Queued work delays messages, but not for much longer than any client waits: such an endpoint has
    // stopped.
    if (delay > 2 * node_.longest_client_timeout())
        eject_unresponsive(endpoint, "message delay in seconds:", delay);
}

void OutlierDetector::on_unresponsive(std::uint32_t endpoint_id, Ticks span) {
    Endpoint* const endpoint = endpoint_table_.find_endpoint(endpoint_id);
    if (endpoint == nullptr || span < (endpoint->ejected ? line_timeout / 2 : line_timeout)) return;
    eject_unresponsive(*endpoint, "seconds without a line:", span);
}

void OutlierDetector::eject_unresponsive(Endpoint& endpoint, const char* reason, Ticks span) {
    if (endpoint.ejected && endpoint.unresponsive) return;
    endpoint.unresponsive = true;
    endpoint.failed_at = node_.now();
    endpoint.failure_likelihood.log_likelihood_ratio = failure_detector::ejection_threshold;
    if (!endpoint.ejected || endpoint.gossip_ejection_until != 0)
        eject(endpoint, reason, static_cast<double>(span) / second);
}

void OutlierDetector::readmit_expired(Endpoint& endpoint) {
    if (endpoint.ejected && endpoint.gossip_ejection_until != 0 &&
        node_.now() >= endpoint.gossip_ejection_until)
        readmit(endpoint, "no node has renewed the report of its failure");
}

}  // namespace lemonstair
