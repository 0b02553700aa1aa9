#include "hot_restart/state_machine.h"

#include <array>

namespace lemonstair::hot_restart {

namespace {

struct Transition {
    Role from;
    Event event;
    Role to;
};
constexpr std::array<Transition, 14> transitions{
    {{Role::standalone, Event::peer_found, Role::requesting_state},
     {Role::standalone, Event::request_received, Role::offering_state},
     {Role::requesting_state, Event::state_received, Role::taking_over},
     {Role::requesting_state, Event::disconnected, Role::standalone},
     {Role::taking_over, Event::peer_stopped, Role::receiving},
     {Role::taking_over, Event::disconnected, Role::standalone},
     {Role::offering_state, Event::peer_ready, Role::transferring},
     {Role::offering_state, Event::disconnected, Role::standalone},
     {Role::transferring, Event::all_transferred, Role::transferred},
     {Role::transferring, Event::disconnected, Role::standalone},
     {Role::transferred, Event::tunnel_pending, Role::transferring},
     {Role::transferred, Event::disconnected, Role::standalone},
     {Role::receiving, Event::disconnected, Role::standalone},
     {Role::standalone, Event::disconnected, Role::standalone}}};

}  // namespace

std::string_view name_of(Role role) {
    constexpr std::array<std::string_view, 7> names{"standalone",   "requesting_state", "offering_state",
                                                    "transferring", "transferred",      "taking_over",
                                                    "receiving"};
    return names[static_cast<std::size_t>(role)];
}

std::optional<Role> next(Role from, Event event) {
    for (const Transition& transition : transitions)
        if (transition.from == from && transition.event == event) return transition.to;
    return std::nullopt;
}

}  // namespace lemonstair::hot_restart
