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

void OutlierDetector::record_outcome(Endpoint& endpoint, Outcome ending, bool by_probe, std::uint32_t by) {
    if (ending == Outcome::cancelled || ending == Outcome::overloaded || unrelated_to_endpoint(ending))
        return;
    const bool own = by == node_.config().own_node;
    // Setups may share a store that probes do without, so a setup's time-out says less of the
    // endpoint.
    endpoint.failure_likelihood.count(ending != Outcome::ok, ending == Outcome::timed_out && !by_probe,
                                      recent_outcomes_, node_.now());
    if (ending == Outcome::ok) {
        endpoint.unresponsive_observations.on_healthy(node_.now());
        // Outcomes come to the first reporter alone: where some found the endpoint dead, it tells the
        // next ones.
        const bool contested =
            endpoint.owner_rank == 0 && endpoint.unresponsive_observations.is_failing(node_.now());
        for (std::size_t i = 1; contested && i < endpoint.report_owners.size(); ++i)
            gossip_.post(endpoint.report_owners[i],
                         [&](auto& m) { return m.outcome(endpoint.id, static_cast<std::uint8_t>(ending)); });
        if (!own) return on_reported_healthy(endpoint, "reported healthy by a node");
        failure_gossip_.on_any_success();
        endpoint.succeeded_at = node_.now();
        endpoint.unresponsive = false;
        on_responsive(endpoint);
        if (endpoint.ejected) readmit(endpoint, "it responds");
        return;
    }
    static_cast<void>(endpoint.failure_observations.add(by, node_.now(), node_.now()));
    if (own && (ending == Outcome::timed_out || ending == Outcome::unreachable)) {
        endpoint.unresponsive = true;
        endpoint.failed_at = node_.now();
        endpoint.contact_lost = endpoint.contact_lost || ending == Outcome::unreachable ||
                                (by_probe && ++endpoint.failed_health_checks >= 2);
    }
    if (endpoint.ejected) endpoint.probation_at = node_.now() + probation_interval;
    if (endpoint.failure_likelihood.log_likelihood_ratio < failure_detector::ejection_threshold) return;
    if (own ? !endpoint.ejected || endpoint.gossip_ejection_until != 0
            : !endpoint.ejected && endpoint.failure_observations.is_failing(node_.now()) &&
                  endpoint_table_.gossip_may_eject(endpoint))
        eject(endpoint, endpoint.unresponsive ? "unresponsive" : "setups fail",
              endpoint.failure_likelihood.log_likelihood_ratio, !own);
}

void OutlierDetector::record_own_outcome(Endpoint& endpoint, Outcome ending) {
    record_outcome(endpoint, ending, false, node_.config().own_node);
    if (load_.load_totals_known() || never_executed(ending)) return;
    gossip_.post(endpoint.report_owners[0],
                 [&](auto& m) { return m.outcome(endpoint.id, static_cast<std::uint8_t>(ending)); });
}

void OutlierDetector::on_responsive(Endpoint& endpoint) {
    endpoint.failed_health_checks = 0;
    if (!endpoint.contact_lost) return;
    endpoint.contact_lost = false;
    if (node_.config().rules.slow_start_duration <= 0 || slow_start_.is_warming_up(endpoint)) return;
    node_.log_line("endpoint %u responds again, treated as warming up", endpoint.id);
    endpoint.started_at = node_.now();
}

void OutlierDetector::eject(Endpoint& endpoint, const char* why, double figure, bool hearsay) {
    endpoint.ejected = true;
    endpoint.gossip_ejection_until = hearsay ? node_.now() + failure_detector::observation_lifetime : 0;
    endpoint.failure_reported_at = -never;
    endpoint.ejected_at = node_.now();
    endpoint.probation_at = node_.now() + probation_interval;
    node_.log_line("endpoint %u ejected: %s, %.1f", endpoint.id, why, figure);
    // With most eps set aside the trouble is elsewhere: then all take part again rather than none.
    int more_in = 0;
    for (const auto& o : endpoint_table_.endpoints())
        if (o.state == EndpointState::active) more_in += o.ejected ? -1 : 1;
    if (more_in >= 0) return;
    for (auto& o : endpoint_table_.endpoints())
        if (o.ejected) readmit(o, "most are ejected");
}

void OutlierDetector::readmit(Endpoint& endpoint, const char* why) {
    node_.log_line("endpoint %u readmitted after %lld ms: %s", endpoint.id,
                   static_cast<long long>(node_.now() - endpoint.ejected_at) / 10, why);
    endpoint.ejected = endpoint.unresponsive = false;
    endpoint.failure_likelihood.log_likelihood_ratio = 0;
}

void OutlierDetector::on_reported_healthy(Endpoint& endpoint, const char* who) {
    const bool sight = endpoint.unresponsive && endpoint.gossip_ejection_until == 0 &&
                       node_.config().limits.health_checks_enabled;
    if (!endpoint.ejected || node_.now() - endpoint.ejected_at <= second ||
        (sight && endpoint.health_check_passed_at <= endpoint.ejected_at))
        return;
    readmit(endpoint, who);
}

void OutlierDetector::on_outcome(std::uint32_t sender, std::uint32_t endpoint_id, std::uint8_t ending) {
    if (ending > static_cast<std::uint8_t>(Outcome::not_sent)) return;
    if (Endpoint* endpoint = endpoint_table_.find_endpoint(endpoint_id))
        record_outcome(*endpoint, static_cast<Outcome>(ending), false, sender);
}

void OutlierDetector::on_slow_messages(std::uint32_t endpoint_id, Ticks delay) {
    if (endpoint_table_.find_endpoint(endpoint_id) == nullptr) return;
    Endpoint& endpoint = *endpoint_table_.find_endpoint(endpoint_id);
    load_.on_slow_message(endpoint, delay);
    // Work piled up makes a message wait, but not for longer than any client: such an endpoint has
    // stopped.
    if (delay > 2 * node_.longest_client_timeout()) eject_unresponsive(endpoint, "message delay in s", delay);
}

void OutlierDetector::on_unresponsive(std::uint32_t endpoint_id, Ticks span) {
    Endpoint* const endpoint = endpoint_table_.find_endpoint(endpoint_id);
    if (endpoint == nullptr || span < (endpoint->ejected ? line_timeout / 2 : line_timeout)) return;
    eject_unresponsive(*endpoint, "seconds without a line", span);
}

void OutlierDetector::eject_unresponsive(Endpoint& endpoint, const char* why, Ticks figure) {
    if (endpoint.ejected && endpoint.unresponsive) return;
    endpoint.unresponsive = true;
    endpoint.failed_at = node_.now();
    endpoint.failure_likelihood.log_likelihood_ratio = failure_detector::ejection_threshold;
    if (!endpoint.ejected || endpoint.gossip_ejection_until != 0)
        eject(endpoint, why, static_cast<double>(figure) / second);
}

void OutlierDetector::readmit_expired(Endpoint& endpoint) {
    if (endpoint.ejected && endpoint.gossip_ejection_until != 0 &&
        node_.now() >= endpoint.gossip_ejection_until)
        readmit(endpoint, "gossip expired");
}

}  // namespace lemonstair
