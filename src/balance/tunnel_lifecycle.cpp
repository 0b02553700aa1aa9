#include "balance/tunnel_lifecycle.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "balance/admission_control.h"
#include "balance/attempt_policy.h"
#include "balance/constants.h"
#include "balance/endpoint_table.h"
#include "balance/gossip_budget.h"
#include "balance/gossip_sender.h"
#include "balance/load_estimator.h"
#include "balance/node_context.h"
#include "balance/outlier_detector.h"
#include "balance/peer_table.h"
#include "balance/placement.h"
#include "balance/record_lookup.h"
#include "balance/record_replicator.h"
#include "balance/record_table.h"
#include "balance/slow_start.h"
#include "balance/slow_start_quota.h"
#include "balance/tunnel_table.h"
#include "balance/tunnel_turnover.h"

namespace lemonstair {

TunnelLifecycle::TunnelLifecycle(NodeContext& node, EndpointTable& endpoint_table, PeerTable& peer_table,
                                 GossipSender& gossip, SlowStart& slow_start, TunnelTurnover& turnover,
                                 GossipBudget& gossip_budget, LoadEstimator& load, TunnelTable& tunnel_table,
                                 AdmissionControl& admission, RecordReplicator& replicator,
                                 SlowStartQuota& slow_start_quota, OutlierDetector& outliers,
                                 Placement& placement, RecordLookup& lookup, RecordTable& records)
    : node_(node),
      endpoint_table_(endpoint_table),
      peer_table_(peer_table),
      gossip_(gossip),
      slow_start_(slow_start),
      turnover_(turnover),
      gossip_budget_(gossip_budget),
      load_(load),
      tunnel_table_(tunnel_table),
      admission_(admission),
      replicator_(replicator),
      slow_start_quota_(slow_start_quota),
      outliers_(outliers),
      placement_(placement),
      lookup_(lookup),
      records_(records) {}

void TunnelLifecycle::on_request(std::uint64_t id, const TunnelRequest& request) {
    const std::uint32_t index = track_tunnel(id, request);
    TrackedTunnel& tunnel = tunnel_table_.tunnels()[index];
    if (!request.mid_flow)
        return admission_.admission_open() ? place(index) : finish(index, Reason::admission_closed);
    if (!tunnel.has_key || tunnel_table_.lookups().find(tunnel.key) != none) return place(index);
    Ring::Chain nodes{};
    peer_table_.chain(tunnel.key, nodes);
    tunnel_table_.transition_to(index, TunnelState::looking_up);
    const Record* record = records_.find(tunnel.key);
    if (nodes[0] == node_.config().own_node && record != nullptr) return resume(index, record->endpoint_id);
    if (!node_.gossip_enabled()) return resume(index, record != nullptr ? record->endpoint_id : none);
    if (nodes[0] == node_.config().own_node) return lookup_.query_neighbours(index);
    gossip_.post(nodes[0], [&](peer::Message& m) { return m.lookup(tunnel.key); });
    lookup_.wait_for_answer(index);
}

void TunnelLifecycle::on_tunnel_timer(std::uint64_t label) {
    const auto index = static_cast<std::uint32_t>((label - 1) & 0xffffffffU);
    if (!tunnel_table_.tunnels().in_use(index) || tunnel_table_.timer_label(index) != label) return;
    TrackedTunnel& tunnel = tunnel_table_.tunnels()[index];
    if (tunnel.state == TunnelState::waiting && tunnel.lease_wait_until != 0) return retry(index);
    if (tunnel.state != TunnelState::looking_up || node_.now() < tunnel.wait_until) return;
    if (!tunnel.queried_all) return lookup_.query_neighbours(index);
    resume(index, none);
}

void TunnelLifecycle::adopt_open_tunnel(std::uint64_t id, const TunnelRequest& request,
                                        std::uint32_t endpoint_id) {
    const std::uint32_t endpoint_index = endpoint_table_.endpoint_by_id().find(endpoint_id);
    if (endpoint_index == none) return;
    const std::uint32_t index = track_tunnel(id, request);
    TrackedTunnel& tunnel = tunnel_table_.tunnels()[index];
    tunnel.endpoint_index = endpoint_index;
    tunnel.attempts = 1;
    tunnel.attempt_started_at = node_.now();
    tunnel.stamp = replicator_.next_stamp();
    tunnel_table_.transition_to(index, TunnelState::open);
    replicator_.publish(tunnel);
}

void TunnelLifecycle::on_opened(std::uint64_t id, int attempt) {
    const std::uint32_t index = tunnel_table_.tunnel_by_id().find(id);
    if (index == none || tunnel_table_.tunnels()[index].state != TunnelState::setting_up ||
        attempt + 1 != tunnel_table_.tunnels()[index].attempts)
        return;
    outliers_.record_own_outcome(endpoint_table_.endpoints()[tunnel_table_.tunnels()[index].endpoint_index],
                                 Outcome::ok);
    admission_.on_setup_succeeded();
    admission_.on_setup_ended();
    load_.on_tunnel_opened();
    tunnel_table_.transition_to(index, TunnelState::open);
}

void TunnelLifecycle::on_ended(std::uint64_t id, int attempt, Outcome outcome, Ticks took, bool settled) {
    const std::uint32_t index = tunnel_table_.tunnel_by_id().find(id);
    if (index == none || attempt + 1 != tunnel_table_.tunnels()[index].attempts) return;
    TrackedTunnel& tunnel = tunnel_table_.tunnels()[index];
    if (tunnel.state == TunnelState::setting_up) {
        const Ticks fair_wait = attempt_policy::min_conclusive_wait(
            node_.config().traffic_classes[tunnel.traffic_class].latency_objective);
        const bool too_short = outcome == Outcome::timed_out && took < fair_wait;
        if (!too_short)
            outliers_.record_own_outcome(endpoint_table_.endpoints()[tunnel.endpoint_index], outcome);
        // Setups that ended before reaching the endpoint say nothing about congestion.
        if (outcome != Outcome::unreachable && outcome != Outcome::withdrawn && !too_short)
            admission_.on_setup_ended();
        if (outcome == Outcome::ok) admission_.on_setup_succeeded();
    }
    if (tunnel.state == TunnelState::open && outcome == Outcome::ok) turnover_.on_tunnel_ended();
    if (tunnel.state == TunnelState::open && outcome == Outcome::connection_lost) {
        endpoint_table_.endpoints()[tunnel.endpoint_index].connection_lost_at = node_.now();
        if (node_.now() - tunnel.attempt_started_at < early_loss_window) load_.on_early_loss();
    }
    if (settled || tunnel.state == TunnelState::abandoned) return release(index);
    if (tunnel.state != TunnelState::setting_up) return finish(index, Reason::attempts_used);
    if (!never_executed(outcome) && tunnel.may_have_run_on == none) {
        tunnel.may_have_run_on = tunnel.endpoint_index;
        tunnel.may_have_run_since = tunnel.attempt_started_at;
    }
    const Reason reason = may_retry(tunnel, outcome);
    if (reason != Reason::allowed) return finish(index, reason);
    place(index);
}

Reason TunnelLifecycle::may_write(std::uint64_t id, Ticks reserve) const {
    const std::uint32_t index = tunnel_table_.tunnel_by_id().find(id);
    if (index == none || tunnel_table_.tunnels()[index].state != TunnelState::setting_up)
        return Reason::client_gone;
    const TrackedTunnel& tunnel = tunnel_table_.tunnels()[index];
    const Endpoint& endpoint = endpoint_table_.endpoints()[tunnel.endpoint_index];
    return attempt_policy::may_write(limits_of(tunnel), history_of(tunnel),
                                     {endpoint.state, endpoint.drain_notified_at},
                                     node_.config().rules.drain_grace, node_.now(), reserve);
}

void TunnelLifecycle::set_answer_deadline(Ticks when) {
    for (std::uint32_t i = 0; i < tunnel_table_.tunnels().slot_count(); ++i)
        if (tunnel_table_.tunnels().in_use(i))
            tunnel_table_.tunnels()[i].deadline = std::min(tunnel_table_.tunnels()[i].deadline, when);
    for (const auto i : tunnel_table_.waiting_tunnels())
        tunnel_table_.tunnels()[i].wait_until =
            std::min(tunnel_table_.tunnels()[i].wait_until, when - 4 * node_.config().clock_resolution);
}

void TunnelLifecycle::on_client_disconnected(std::uint64_t id) {
    const std::uint32_t index = tunnel_table_.tunnel_by_id().find(id);
    if (index == none) return;
    if (tunnel_table_.tunnels()[index].state == TunnelState::setting_up)
        return tunnel_table_.transition_to(index, TunnelState::abandoned);
    if (tunnel_table_.tunnels()[index].state == TunnelState::looking_up ||
        tunnel_table_.tunnels()[index].state == TunnelState::waiting)
        release(index);
}

void TunnelLifecycle::on_load_changed(std::uint64_t id, double load) {
    const std::uint32_t index = tunnel_table_.tunnel_by_id().find(id);
    if (index == none) return;
    TrackedTunnel& tunnel = tunnel_table_.tunnels()[index];
    if (tunnel.state == TunnelState::setting_up || tunnel.state == TunnelState::open)
        endpoint_table_.endpoints()[tunnel.endpoint_index].own_load += load - tunnel.load;
    tunnel.load = load;
    load_.learn_tunnel_load(tunnel.traffic_class, load);
}

void TunnelLifecycle::resume(std::uint32_t index, std::uint32_t endpoint_id) {
    const std::uint32_t endpoint_index =
        endpoint_id == none ? none : endpoint_table_.endpoint_by_id().find(endpoint_id);
    if (endpoint_index == none || !may_send_sticky(endpoint_table_.endpoints()[endpoint_index]) ||
        (endpoint_table_.endpoints()[endpoint_index].ejected &&
         endpoint_table_.endpoints()[endpoint_index].unresponsive))
        return place(index);
    if (replicator_.predates_incarnation(tunnel_table_.tunnels()[index].key,
                                         endpoint_table_.endpoints()[endpoint_index]))
        return place(index);  // it has restarted since and holds it no more
    send(index, endpoint_index, true);
}

void TunnelLifecycle::retry_waiting() {
    retried_tunnels_ = tunnel_table_.waiting_tunnels();
    for (const std::uint32_t index : retried_tunnels_) retry(index);
}

bool TunnelLifecycle::serialize_tunnel(std::uint64_t id, std::string& into) const {
    const std::uint32_t index = tunnel_table_.tunnel_by_id().find(id);
    const bool is_open = index != none && tunnel_table_.tunnels()[index].state == TunnelState::open;
    if (is_open)
        StateCodec::write_tunnel(
            into, tunnel_table_.tunnels()[index],
            endpoint_table_.endpoints()[tunnel_table_.tunnels()[index].endpoint_index].id);
    return is_open;
}

bool TunnelLifecycle::restore_tunnel(std::uint64_t id, std::string_view bytes, Ticks clock_shift) {
    TrackedTunnel tunnel{.id = id, .attempts = 1};
    tunnel.endpoint_index =
        endpoint_table_.endpoint_by_id().find(StateCodec::read_tunnel(bytes, tunnel, clock_shift));
    if (tunnel.endpoint_index == none || tunnel.traffic_class >= node_.config().traffic_classes.size())
        return false;
    const std::uint32_t index = tunnel_table_.tunnels().allocate();
    tunnel_table_.tunnels()[index] = tunnel;
    tunnel_table_.tunnel_by_id().put(id, index);
    tunnel_table_.transition_to(index, TunnelState::open);
    return true;
}

void TunnelLifecycle::place(std::uint32_t index) {
    TrackedTunnel& tunnel = tunnel_table_.tunnels()[index];
    const std::uint32_t endpoint_index = placement_.choose(tunnel);
    if (endpoint_index != none) return send(index, endpoint_index);
    // No endpoint may be sent to now (all in slow start, or no list yet): wait within the latency
    // objective.
    tunnel.wait_until =
        std::min(tunnel.arrived_at + node_.config().traffic_classes[tunnel.traffic_class].latency_objective,
                 tunnel.deadline - 4 * node_.config().clock_resolution);
    if (placement_.too_costly() && !placement_.waits_for_lease(tunnel))
        return finish(index, Reason::too_costly);
    if (node_.now() + node_.config().clock_resolution >= tunnel.wait_until)
        return finish(index, Reason::no_endpoint);
    tunnel_table_.transition_to(index, TunnelState::waiting);
    if (placement_.waits_for_lease(tunnel)) slow_start_quota_.request_lease(index);
}

void TunnelLifecycle::send(std::uint32_t index, std::uint32_t endpoint_index, bool is_sticky) {
    TrackedTunnel& tunnel = tunnel_table_.tunnels()[index];
    const TrafficClass& traffic_class = node_.config().traffic_classes[tunnel.traffic_class];
    const int further_attempts = node_.config().limits.max_attempts - tunnel.attempts - 1;
    Ticks wait = tunnel.deadline - node_.now();
    if (further_attempts > 0 && traffic_class.idempotency != Idempotency::non_idempotent)
        wait = std::min(wait, std::max(traffic_class.latency_objective, wait / (further_attempts + 2)));
    Endpoint& endpoint = endpoint_table_.endpoints()[endpoint_index];
    if (slow_start_.is_warming_up(endpoint) && !is_sticky)
        static_cast<void>(endpoint.quota.spend(slow_start_quota_.quota_schedule(), endpoint.id,
                                               slow_start_quota_.slow_start_rate(endpoint), node_.now()));
    if (endpoint.ejected) endpoint.probation_at = node_.now() + probation_interval;
    tunnel.tried_endpoints[static_cast<std::size_t>(std::min(tunnel.attempts, 3))] = endpoint_index;
    if (tunnel.state == TunnelState::setting_up) tunnel_table_.transition_to(index, TunnelState::idle);
    tunnel.endpoint_index = endpoint_index;
    tunnel.attempt_started_at = node_.now();
    tunnel.stamp = replicator_.next_stamp();
    ++tunnel.attempts;
    tunnel_table_.transition_to(index, TunnelState::setting_up);
    node_.delegate().start_attempt(tunnel.id, endpoint.id, wait);
    if (tunnel.attempts == 1 && !tunnel.mid_flow) gossip_budget_.count_placement();
    load_.add_pending_load(endpoint_index, load_.load_totals_known() ? 0 : tunnel.load);
    replicator_.publish(tunnel, !tunnel.mid_flow);
}

void TunnelLifecycle::finish(std::uint32_t index, Reason reason) {
    TrackedTunnel& tunnel = tunnel_table_.tunnels()[index];
    node_.delegate().report_reason(tunnel.id, reason);
    if (attempt_policy::may_promise_no_effect(limits_of(tunnel), history_of(tunnel), node_.now()))
        node_.delegate().reject(
            tunnel.id, std::min(node_.config().limits.max_retry_after,
                                node_.config().traffic_classes[tunnel.traffic_class].latency_objective));
    else
        node_.delegate().fail(tunnel.id);
    release(index);
}

void TunnelLifecycle::release(std::uint32_t index) {
    TrackedTunnel& tunnel = tunnel_table_.tunnels()[index];
    tunnel_table_.transition_to(index, TunnelState::idle);
    const Record* record = tunnel.has_key ? records_.find(tunnel.key) : nullptr;
    if (record != nullptr && record->stamp == tunnel.stamp && tunnel.endpoint_index != none &&
        record->endpoint_id == endpoint_table_.endpoints()[tunnel.endpoint_index].id)
        records_.erase(tunnel.key);
    tunnel_table_.tunnel_by_id().erase(tunnel.id);
    tunnel_table_.tunnels().release(index);
}

std::uint32_t TunnelLifecycle::track_tunnel(std::uint64_t id, const TunnelRequest& request) {
    const std::uint32_t index = tunnel_table_.tunnels().allocate();
    TrackedTunnel& tunnel = tunnel_table_.tunnels()[index];
    tunnel = {.id = id,
              .deadline = request.deadline,
              .arrived_at = node_.now(),
              .traffic_class = request.traffic_class};
    tunnel.has_key = !request.key.empty();
    tunnel.mid_flow = request.mid_flow;
    tunnel.reconnect = request.reconnect;
    if (tunnel.has_key) tunnel.key = hash_text(request.key);
    if (node_.config().groups_enabled && !request.group.empty())
        tunnel.group = static_cast<std::uint32_t>(hash_text(request.group) | 1);
    const Record* record = tunnel.has_key ? records_.find(tunnel.key) : nullptr;
    tunnel.load =
        request.expected_load > 0 ? request.expected_load : load_.mean_load_of_class(tunnel.traffic_class);
    if (record != nullptr && record->load > 0) tunnel.load = record->load;
    tunnel_table_.tunnel_by_id().put(id, index);
    return index;
}

void TunnelLifecycle::retry(std::uint32_t index) {
    TrackedTunnel& tunnel = tunnel_table_.tunnels()[index];
    const std::uint32_t endpoint_index = placement_.choose(tunnel);
    if (endpoint_index != none)
        send(index, endpoint_index);
    else if (placement_.too_costly() && !placement_.waits_for_lease(tunnel))
        finish(index, Reason::too_costly);
    else if (node_.now() + tick_interval >= tunnel.wait_until)
        finish(index, Reason::no_endpoint);
    else if (placement_.waits_for_lease(tunnel))
        slow_start_quota_.request_lease(index);
}

bool TunnelLifecycle::may_send_sticky(const Endpoint& endpoint) const {
    return attempt_policy::may_send({endpoint.state, endpoint.drain_notified_at},
                                    node_.config().rules.drain_grace, node_.now(),
                                    2 * node_.config().clock_resolution) == Reason::allowed;
}

attempt_policy::TunnelLimits TunnelLifecycle::limits_of(const TrackedTunnel& tunnel) const {
    const TrafficClass& traffic_class = node_.config().traffic_classes[tunnel.traffic_class];
    return {traffic_class.idempotency,
            traffic_class.deduplication_scope,
            traffic_class.deduplication_window,
            node_.config().limits.max_attempts,
            tunnel.deadline,
            node_.config().clock_resolution};
}

attempt_policy::History TunnelLifecycle::history_of(const TrackedTunnel& tunnel) {
    return {tunnel.attempts, tunnel.may_have_run_on != none, tunnel.may_have_run_since};
}

Reason TunnelLifecycle::may_retry(const TrackedTunnel& tunnel, Outcome outcome) {
    const Reason reason =
        attempt_policy::may_retry(limits_of(tunnel), history_of(tunnel), outcome, node_.now());
    if (reason != Reason::allowed) return reason;
    // Where most setups fail everywhere, a retry would only add load.
    if (outcome == Outcome::timed_out &&
        endpoint_table_.endpoints()[tunnel.endpoint_index].failure_likelihood.failure_rate_elsewhere(
            outliers_.recent_outcomes(), node_.now()) > failure_detector::outlier_failure_rate / 2)
        return Reason::failing_everywhere;
    return admission_.admission_open() ? Reason::allowed : Reason::admission_closed;
}

}  // namespace lemonstair
