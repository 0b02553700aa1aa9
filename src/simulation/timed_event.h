// Tokens of timed events: a kind, a place in a list and an incarnation, packed into the 64 bits that an event
// queue hands back. The simulation and the process harness share it.
#pragma once

#include <cstdint>

namespace lemonstair::simulation {

// Kind is an enum of at most 256 values.
template <class Kind>
struct TimedEvent {
    Kind kind;
    std::uint64_t index = 0;  // below 2^24: a fault's or a node's place
    std::uint32_t incarnation =
        0;  // of the node's process, or a count of its upgrades: an older one is stale
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
