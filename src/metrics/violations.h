// Invariants: effects that no path of the program may have. Each is checked at the moment of the effect,
// independently of the path that led there; a violation is counted and logged as an error with its tunnel.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace lemonstair::metrics {

enum class Invariant : std::uint8_t {
    attempt_forbidden,            // an attempt's first byte was written against the attempt policy
    concurrent_attempts,          // a second attempt of a tunnel began during the first
    closed_without_answer,        // a client that had been read, or had sent something, got no answer
    answered_twice,               // a client got a second final answer
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

// How each such log line begins; tests, the simulation and the soak search for it.
constexpr std::string_view violation_prefix = "invariant violated: ";

using Violations = std::array<std::uint64_t, invariant_count>;

}  // namespace lemonstair::metrics
