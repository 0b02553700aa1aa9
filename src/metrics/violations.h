// Violations: effects that no path should have had, checked in the instant of the effect and independently of
// the path that led there. Each one is counted, and told in the log as an error with the tunnel that it met.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace lemonstair::metrics {

enum class Invariant : std::uint8_t {
    written_without_leave,   // an attempt's first byte, though the attempt policy forbids it by then
    repeated_without_leave,  // two attempts of one tunnel at a time
    closed_unanswered,       // a connection whose client had been read, or had spoken, had no answer
    answered_twice,          // a second final answer
    exited_with_debts,       // the process left something unanswered
    count
};

constexpr std::size_t invariant_count = static_cast<std::size_t>(Invariant::count);

constexpr std::string_view name_of(Invariant rule) {
    constexpr std::array<std::string_view, invariant_count> names{
        "written_without_leave", "repeated_without_leave", "closed_unanswered", "answered_twice",
        "exited_with_debts"};
    return rule < Invariant::count ? names[static_cast<std::size_t>(rule)] : "unknown";
}

// The words that every such line begins with: tests and the soak look for them.
constexpr std::string_view violation_mark = "rule violated: ";

using Violations = std::array<std::uint64_t, invariant_count>;

}  // namespace lemonstair::metrics
