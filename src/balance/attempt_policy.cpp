#include "balance/attempt_policy.h"

namespace lemonstair::attempt_policy {

namespace {

// A retry needs more time than this until the deadline, in units of the clock resolution; otherwise it could
// not end before its client gives up.
constexpr Ticks min_remaining_resolutions = 4;

// Whether another attempt, written within `reserve`, can have no second effect.
Reason deduplication_holds(const TunnelLimits& limits, const History& history, Ticks now, Ticks reserve) {
    if (!history.may_have_run || limits.idempotency == Idempotency::idempotent) return Reason::allowed;
    if (limits.idempotency == Idempotency::non_idempotent) return Reason::may_have_run;
    const bool key_remembered = now + reserve < history.may_have_run_since + limits.deduplication_window;
    return key_remembered ? Reason::allowed : Reason::window_over;
}

}  // namespace

Reason may_send(const EndpointPhase& endpoint, Ticks drain_grace, Ticks now, Ticks reserve) {
    if (endpoint.state == EndpointState::active) return Reason::allowed;
    const bool in_grace = now + reserve < endpoint.drain_notified_at + drain_grace;
    return in_grace ? Reason::allowed : Reason::endpoint_draining;
}

Reason may_retry(const TunnelLimits& limits, const History& history, Outcome last, Ticks now) {
    if (history.attempts >= limits.max_attempts) return Reason::attempts_used;
    if (limits.deadline - now <= min_remaining_resolutions * limits.clock_resolution)
        return Reason::no_time_left;
    if (last == Outcome::not_sent) return Reason::local_failure;
    return deduplication_holds(limits, history, now, limits.clock_resolution);
}

Reason may_write(const TunnelLimits& limits, const History& before, const EndpointPhase& endpoint,
                 Ticks drain_grace, Ticks now, Ticks reserve) {
    if (now >= limits.deadline) return Reason::no_time_left;
    const Reason phase = may_send(endpoint, drain_grace, now, reserve);
    if (phase != Reason::allowed) return phase;
    return deduplication_holds(limits, before, now, reserve);
}

bool may_promise_no_effect(const TunnelLimits& limits, const History& history, Ticks now) {
    if (!history.may_have_run || limits.idempotency == Idempotency::idempotent) return true;
    return limits.idempotency == Idempotency::idempotent_with_key &&
           limits.deduplication_scope == DeduplicationScope::all &&
           now < history.may_have_run_since + limits.deduplication_window;
}

Reason may_close_unanswered(const PendingInput& input) {
    return input.unread > 0 || input.complete_line ? Reason::input_unread : Reason::allowed;
}

Reason may_exit(const Obligations& obligations) {
    if (obligations.tunnels > 0) return Reason::answer_owed;
    if (obligations.clients_mid_line) return Reason::input_unread;
    return obligations.listener_empty ? Reason::allowed : Reason::queue_unread;
}

}  // namespace lemonstair::attempt_policy
