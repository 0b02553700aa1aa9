// Timed events packed into the 64-bit tokens that an event queue hands back: a kind, an index into a list and
// an incarnation. Shared by the simulation and the process harness.
#pragma once

#include <cstdint>

namespace lemonstair::simulation {

// `Kind`: an enum of at most 256 values.
template <class Kind>
struct TimedEvent {
    Kind kind;
    std::uint64_t index = 0;  // of a fault or a node; below 2^24
    // Of the node's process, or the count of its upgrades. An event of an earlier one is ignored.
    std::uint32_t incarnation = 0;
};

template <class Kind>
constexpr std::uint64_t encode(const TimedEvent<Kind>& event) {
    return static_cast<std::uint64_t>(event.kind) << 56 | std::uint64_t{event.incarnation} << 24 |
           event.index;
}

template <class Kind>
constexpr TimedEvent<Kind> decode(std::uint64_t token) {
    return {static_cast<Kind>(token >> 56), token & 0xffffffU,
            static_cast<std::uint32_t>(token >> 24 & 0xffffffffU)};
}

}  // namespace lemonstair::simulation
