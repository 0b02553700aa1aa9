/// Reason: why something may not be sent, repeated or closed now, and why a tunnel had the final answer that
// it had. One list for decisions, log lines and counters.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace lemonstair {

enum class Reason : std::uint8_t {
    allowed,
    // An attempt may not begin, or not begin again.
    client_gone,
    no_time_left,
    attempts_used,
    may_have_run,
    window_over,
    endpoint_draining,
    failing_everywhere,
    local_failure,
    // No attempt is made at all.
    admission_closed,
    too_costly,
    no_endpoint,
    node_full,
    bad_client,
    // A connection or the process may not be closed yet.
    input_unread,
    answer_owed,
    queue_unread,
    count
};

constexpr std::size_t reason_count = static_cast<std::size_t>(Reason::count);

constexpr std::string_view name_of(Reason reason) {
    constexpr std::array<std::string_view, reason_count> names{
        "allowed",     "client_gone",       "no_time_left",       "attempts_used", "may_have_run",
        "window_over", "endpoint_draining", "failing_everywhere", "local_failure", "admission_closed",
        "too_costly",  "no_endpoint",       "node_full",          "bad_client",    "input_unread",
        "answer_owed", "queue_unread"};
    return reason < Reason::count ? names[static_cast<std::size_t>(reason)] : "unknown";
}

}  // namespace lemonstair
