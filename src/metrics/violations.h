/// Invariants: effects that no code path may have. Each is checked where the effect takes place,
/// independently of the code path that led there. A violation is counted and logged as an error with the
/// tunnel's id.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace lemonstair::metrics {

enum class Invariant : std::uint8_t {
    attempt_forbidden,      // an attempt's first byte was written although the attempt policy forbids it
    concurrent_attempts,    // an attempt for a tunnel began while another one was in flight
    closed_without_answer,  // the connection of a client that had sent something was closed unanswered
    answered_twice,         // a client got a second final answer
    exited_with_pending_answers,  // the process ended while clients waited for an answer
    count
};

constexpr std::size_t invariant_count = static_cast<std::size_t>(Invariant::count);

constexpr std::string_view name_of(Invariant invariant) {
    constexpr std::array<std::string_view, invariant_count> names{"attempt_forbidden", "concurrent_attempts",
                                                                  "closed_without_answer", "answered_twice",
                                                                  "exited_with_pending_answers"};
    return invariant < Invariant::count ? names[static_cast<std::size_t>(invariant)] : "unknown";
}

/// The beginning of the log line of a violation; tests, the simulation and the soak test search for it.
constexpr std::string_view violation_prefix = "invariant violated: ";

using Violations = std::array<std::uint64_t, invariant_count>;

}  // namespace lemonstair::metrics
