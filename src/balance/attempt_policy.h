/// Attempt policy: the rules for sending and repeating attempts, for rejecting a tunnel with the promise that
/// it had no effect, and for closing a connection or the process. All are pure functions; the time is an
/// argument. The decision engine applies them when it chooses an endpoint. The network code applies them
/// again immediately before it writes the first byte, because connecting takes time and the process may have
/// been stalled in between.
#pragma once

#include <cstddef>

#include "balance/balance.h"
#include "balance/reason.h"

namespace lemonstair::attempt_policy {

/// The longest stall of the process, between reading its clock and writing, that the rules must tolerate:
/// 150 ms.
constexpr Ticks max_write_delay = 1500;

/// The part of an endpoint's state that decides whether it may be sent to.
struct EndpointPhase {
    EndpointState state = EndpointState::active;
    Ticks drain_notified_at = 0;  // when this node learned that it is no longer active
};
/// Whether an attempt may be sent to the endpoint within `reserve`: always while it is active, otherwise
/// until its drain grace ends.
Reason may_send(const EndpointPhase& endpoint, Ticks drain_grace, Ticks now, Ticks reserve = max_write_delay);

/// The attempts made so far for one tunnel.
struct History {
    int attempts = 0;
    bool may_have_run = false;     // an endpoint may have executed one of them
    Ticks may_have_run_since = 0;  // when the first attempt that may have run was sent
};

/// The limits for one tunnel, from its traffic class and its request.
struct TunnelLimits {
    Idempotency idempotency = Idempotency::non_idempotent;
    DeduplicationScope deduplication_scope = DeduplicationScope::cell;
    Ticks deduplication_window = 0;  // how long endpoints remember an idempotency key
    int max_attempts = 1;
    Ticks deadline = 0;
    Ticks clock_resolution = 0;
};

/// Whether another attempt may be made after one that ended with the outcome `last`.
Reason may_retry(const TunnelLimits& limits, const History& history, Outcome last, Ticks now);

/// The shortest wait after which a timeout counts against the endpoint; a shorter one proves nothing.
constexpr Ticks min_conclusive_wait(Ticks latency_objective) { return latency_objective / 2; }

/// Whether a chosen attempt may still be written within `reserve`. `before`: the attempts before this one.
Reason may_write(const TunnelLimits& limits, const History& before, const EndpointPhase& endpoint,
                 Ticks drain_grace, Ticks now, Ticks reserve = max_write_delay);

/// Whether the client of a tunnel that is given up may be told that a retry is harmless.
bool may_promise_no_effect(const TunnelLimits& limits, const History& history, Ticks now);

/// The input of a connection that is about to be closed before its first line was answered.
struct PendingInput {
    std::size_t unread = 0;      // bytes in the kernel's receive buffer
    bool complete_line = false;  // a line has been read but not answered
};
/// Whether the connection may be closed without an answer: only if no input of its client is unanswered.
Reason may_close_unanswered(const PendingInput& input);

/// The work that must be finished before the process may exit.
struct Obligations {
    std::size_t tunnels = 0;        // without a final answer, or with one not sent completely
    bool clients_mid_line = false;  // some client has sent a part of its first line
    bool listener_empty = true;  // the kernel reported no pending connection in this pass of the event loop
};
/// Whether the process may exit now.
Reason may_exit(const Obligations& obligations);

}  // namespace lemonstair::attempt_policy
