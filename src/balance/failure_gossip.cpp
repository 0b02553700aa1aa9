#include "balance/failure_gossip.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "balance/constants.h"
#include "balance/endpoint_table.h"
#include "balance/gossip_sender.h"
#include "balance/health_check_schedule.h"
#include "balance/load_estimator.h"
#include "balance/node_context.h"
#include "balance/outlier_detector.h"
#include "balance/peer_table.h"

namespace lemonstair {

FailureGossip::FailureGossip(NodeContext& node, EndpointTable& endpoint_table, PeerTable& peer_table,
                             GossipSender& gossip, LoadEstimator& load, HealthCheckSchedule& health_checks,
                             OutlierDetector& outliers)
    : node_(node),
      endpoint_table_(endpoint_table),
      peer_table_(peer_table),
      gossip_(gossip),
      load_(load),
      health_checks_(health_checks),
      outliers_(outliers) {}

void FailureGossip::on_endpoint_failure(std::uint32_t endpoint_id, std::uint32_t observed_at,
                                        std::uint32_t observer, std::uint32_t second_observer) {
    Endpoint* const endpoint = endpoint_table_.find_endpoint(endpoint_id);
    const bool both = second_observer != failure_detector::no_observer;
    if (endpoint == nullptr || observer >= peer_table_.peers().size() ||
        (both && second_observer >= peer_table_.peers().size()))
        return;
    if (!endpoint->unresponsive_observations.add(
            observer, second_observer, failure_detector::expand_time(observed_at, node_.now()), node_.now()))
        return;
    if (both) endpoint->failure_published = true, endpoint->failure_published_at = node_.now();
    if (endpoint->unresponsive_observations.is_unresponsive(node_.now())) return accept_gossip(*endpoint);
    if (endpoint->owner_rank != not_report_owner && !endpoint->ejected) raise_suspicion(*endpoint);
}

void FailureGossip::report_failure(Endpoint& endpoint) {
    if (!endpoint.ejected || !endpoint.unresponsive || endpoint.gossip_ejection_until != 0 ||
        load_.load_totals_known() || !node_.gossip_enabled())
        return;
    if (endpoint.failed_at <
        endpoint.failure_reported_at +
            (endpoint.owner_rank == not_report_owner ? never : failure_detector::renewal_interval))
        return;
    if (last_success_at_ <= endpoint.failed_at) return check_isolation();
    if (endpoint.failed_at < isolated_until_ + line_timeout) return;  // observed while this node was isolated
    endpoint.failure_reported_at = node_.now();
    static_cast<void>(
        endpoint.unresponsive_observations.add(node_.config().own_node, endpoint.failed_at, node_.now()));
    for (const auto owner : endpoint.report_owners)
        gossip_.post(owner, [&](auto& m) {
            return m.endpoint_failure(endpoint.id, endpoint.failed_at, node_.config().own_node,
                                      failure_detector::no_observer);
        });
}

void FailureGossip::check_isolation() {
    if (isolated_since_ <= last_success_at_) isolated_since_ = node_.now();
    if (node_.now() - isolated_since_ > second && !std::exchange(isolated_, true))
        node_.log_line(
            "isolated: no endpoint has responded since one failed; failures are not reported to peers");
    if (node_.now() - isolation_checked_at_ < second / 2) return;
    isolation_checked_at_ = node_.now();
    for (std::size_t i = 0; i < endpoint_table_.endpoints().size(); ++i) {
        Endpoint& endpoint =
            endpoint_table_.endpoints()[(node_.tick_count() + i) % endpoint_table_.endpoints().size()];
        if (endpoint.state == EndpointState::active && !endpoint.ejected)
            return health_checks_.start_health_check(endpoint);
    }
}

void FailureGossip::on_any_success() {
    last_success_at_ = node_.now();
    if (!std::exchange(isolated_, false)) return;
    node_.log_line("endpoints respond to this node again; failures are reported to peers");
    isolated_until_ = node_.now();
}

bool FailureGossip::failure_is_due(const Endpoint& endpoint) const {
    if (!endpoint.ejected || endpoint.state != EndpointState::active ||
        endpoint.owner_rank == not_report_owner)
        return false;
    if (node_.now() - endpoint.ejected_at < endpoint.owner_rank * second / (endpoint.unresponsive ? 4 : 1))
        return false;
    return node_.now() - endpoint.failure_published_at >= failure_detector::renewal_interval &&
           (endpoint.unresponsive ? endpoint.unresponsive_observations.is_unresponsive(node_.now())
                                  : endpoint.failure_observations.is_failing(node_.now()));
}

void FailureGossip::publish_failure(Endpoint& endpoint) {
    const failure_detector::ObservationPair by =
        (endpoint.unresponsive ? endpoint.unresponsive_observations : endpoint.failure_observations).newest();
    endpoint.failure_published = true;
    endpoint.failure_published_at = node_.now();
    gossip_.outbox().broadcast(
        [&](auto& m) { m.endpoint_failure(endpoint.id, by[1].when, by[0].node, by[1].node); });
}

void FailureGossip::accept_gossip(Endpoint& endpoint) {
    if (endpoint.ejected && endpoint.gossip_ejection_until != 0)
        endpoint.gossip_ejection_until = node_.now() + failure_detector::observation_lifetime;
    if (endpoint.ejected || node_.now() - endpoint.succeeded_at <= second) return;
    if (endpoint_table_.gossip_may_eject(endpoint))
        return outliers_.eject(endpoint, "unresponsive to other nodes, quorum", failure_detector::quorum,
                               true);
    raise_suspicion(endpoint);
}

void FailureGossip::raise_suspicion(Endpoint& endpoint) {
    endpoint.failure_likelihood.log_likelihood_ratio =
        std::max(endpoint.failure_likelihood.log_likelihood_ratio, failure_detector::ejection_threshold / 2);
    health_checks_.start_health_check(endpoint);
}

}  // namespace lemonstair
