#include "hot_restart/state_machine.h"

#include <array>

namespace lemonstair::hot_restart {

namespace {

struct Row {
    Role from;
    Event event;
    Role to;
};
constexpr std::array<Row, 12> rows{{{Role::alone, Event::found_other, Role::asking},
                                    {Role::alone, Event::was_greeted, Role::offering},
                                    {Role::asking, Event::state_taken, Role::taking},
                                    {Role::asking, Event::parted, Role::alone},
                                    {Role::offering, Event::other_ready, Role::handing},
                                    {Role::offering, Event::parted, Role::alone},
                                    {Role::handing, Event::nothing_left, Role::done},
                                    {Role::handing, Event::parted, Role::alone},
                                    {Role::done, Event::tunnel_left, Role::handing},
                                    {Role::done, Event::parted, Role::alone},
                                    {Role::taking, Event::parted, Role::alone},
                                    {Role::alone, Event::parted, Role::alone}}};

}  // namespace

std::string_view name_of(Role stand) {
    constexpr std::array<std::string_view, 6> names{"alone",   "asking", "offering",
                                                    "handing", "done",   "taking"};
    return names[static_cast<std::size_t>(stand)];
}

std::optional<Role> next(Role from, Event event) {
    for (const Row& row : rows)
        if (row.from == from && row.event == event) return row.to;
    return std::nullopt;
}

}  // namespace lemonstair::hot_restart
