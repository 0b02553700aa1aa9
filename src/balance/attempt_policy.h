/// Attempt policy: the one place that decides whether an attempt may be sent, repeated, or declined with the
// promise that it had no effect, and whether a connection or the process may be closed now. Pure functions of
// what the caller knows; the clock is an argument. The decision module asks them when it chooses, the network
// code asks again in the instant in which the first byte would be written: between the two lie the time that
// a connection takes to come up and whatever has held the process up.
#pragma once

#include <cstddef>

#include "balance/balance.h"
#include "balance/reason.h"

namespace lemonstair::attempt_policy {

// For so long at most a process may be held up between reading its clock and writing (STANDING).
constexpr Ticks max_write_delay = 1500;

// An attempt at an endpoint that leaves service is allowed until the grace of its drain is over.
struct EndpointPhase {
    EndpointState state = EndpointState::active;
    Ticks drain_notified_at = 0;
};
// `reserve`: the time that may pass until it is written.
Reason may_send(const EndpointPhase& endpoint, Ticks drain_grace, Ticks now, Ticks reserve = max_write_delay);

// What has been tried for one tunnel.
struct History {
    int attempts = 0;
    bool may_have_run = false;
    Ticks may_have_run_since = 0;  // when the first attempt that may have run was sent
};

// What the tunnel's settings allow.
struct TunnelLimits {
    Idempotency idempotency = Idempotency::non_idempotent;
    DeduplicationScope deduplication_scope = DeduplicationScope::cell;
    Ticks deduplication_window = 0;  // how long endpoints remember the mark of a referenced tunnel
    int max_attempts = 1;
    Ticks deadline = 0;
    Ticks clock_resolution = 0;
};

// Whether a further attempt may be chosen after one that ended so.
Reason may_retry(const TunnelLimits& limits, const History& history, Outcome last, Ticks now);

// An endpoint that was given less than this before its time was up is not judged by it.
constexpr Ticks min_conclusive_wait(Ticks latency_objective) { return latency_objective / 2; }

// Whether the line of an attempt that was chosen may still be written.
Reason may_write(const TunnelLimits& limits, const History& before, const EndpointPhase& endpoint,
                 Ticks drain_grace, Ticks now, Ticks reserve = max_write_delay);

// Whether the client of a tunnel that is given up may be told that a retry is harmless.
bool may_promise_no_effect(const TunnelLimits& limits, const History& history, Ticks now);

// What a connection that awaits its first line holds when it would be closed without an answer.
struct PendingInput {
    std::size_t unread = 0;      // bytes that the system holds
    bool complete_line = false;  // a line has been read and not been answered
};
Reason may_close_unanswered(const PendingInput& input);

// What a process that would exit still owes.
struct Obligations {
    std::size_t tunnels = 0;        // without a final answer, or with last words on their way
    bool clients_mid_line = false;  // their first line has begun
    bool listener_empty = true;     // the system said so, in this pass
};
Reason may_exit(const Obligations& obligations);

}  // namespace lemonstair::attempt_policy
