/// Reason: why something may not be sent, repeated or closed now, and why a tunnel got its final answer.
/// Decisions, log lines and counters share this list.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace lemonstair {

enum class Reason : std::uint8_t {
    allowed,
    // An attempt may not be sent, or not be repeated.
    client_gone,  // also: the tunnel has no pending attempt
    no_time_left,
    attempts_used,
    may_have_run,        // and a second execution would do harm
    window_over,         // endpoints may no longer remember the idempotency key
    endpoint_draining,   // and its drain grace is over
    failing_everywhere,  // a retry would only add load
    local_failure,       // this process could not send the last attempt
    // No attempt, or no further one, is made.
    admission_closed,  // too many recent setups have failed
    too_costly,        // on every endpoint, for the tunnel's priority
    no_endpoint,       // that may be sent to, within the time that the tunnel may wait
    node_full,         // the node has as many tunnels as its descriptors allow
    bad_client,        // the client broke the protocol
    id_unconfirmed,    // the other process of the node has not told whether the request's id is free
    // A connection or the process may not be closed yet.
    input_unread,  // a client has sent something that was not answered
    answer_owed,   // a tunnel has no final answer yet
    queue_unread,  // the listening socket may have pending connections
    count
};

constexpr std::size_t reason_count = static_cast<std::size_t>(Reason::count);

constexpr std::string_view name_of(Reason reason) {
    constexpr std::array<std::string_view, reason_count> names{
        "allowed",      "client_gone",       "no_time_left",       "attempts_used", "may_have_run",
        "window_over",  "endpoint_draining", "failing_everywhere", "local_failure", "admission_closed",
        "too_costly",   "no_endpoint",       "node_full",          "bad_client",    "id_unconfirmed",
        "input_unread", "answer_owed",       "queue_unread"};
    return reason < Reason::count ? names[static_cast<std::size_t>(reason)] : "unknown";
}

}  // namespace lemonstair
