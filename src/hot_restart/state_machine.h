// Where a process stands while a new version takes a node over. A table without sockets; one function for all
// changes.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace lemonstair::hot_restart {

// No other process is there; the new one, that asks for the state; the old one, that tells it; the old one,
// whose place is taken, until its tunnels have gone over; the same with nothing left; the new one, that has
// the place, while tunnels come.
enum class Role : std::uint8_t { alone, asking, offering, handing, done, taking };

enum class Event : std::uint8_t {
    found_other,   // an old process is there, and was greeted
    was_greeted,   // by a new process
    state_taken,   // and the other one was told that this one is ready
    other_ready,   // the new process answers for the node
    nothing_left,  // of tunnels
    tunnel_left,   // one opened late
    parted         // the line is gone, or one of the two gave up
};

std::string_view name_of(Role stand);

// Nothing where an event cannot come in a stand: who sends it is not to be believed.
std::optional<Role> next(Role from, Event event);

// Whether the process in this stand is the node: takes clients, answers PING, speaks to peers, discovery and
// hosts' probes.
constexpr bool answers(Role stand) {
    return stand == Role::alone || stand == Role::offering || stand == Role::taking;
}
constexpr bool hands_over(Role stand) { return stand == Role::handing || stand == Role::done; }

}  // namespace lemonstair::hot_restart
