#include "hot_restart/state_machine.h"

#include <array>

namespace lemonstair::handover {

namespace {

struct Row {
    Stand from;
    Event event;
    Stand to;
};
constexpr std::array<Row, 12> rows{{{Stand::alone, Event::found_other, Stand::asking},
                                    {Stand::alone, Event::was_greeted, Stand::offering},
                                    {Stand::asking, Event::state_taken, Stand::taking},
                                    {Stand::asking, Event::parted, Stand::alone},
                                    {Stand::offering, Event::other_ready, Stand::handing},
                                    {Stand::offering, Event::parted, Stand::alone},
                                    {Stand::handing, Event::nothing_left, Stand::done},
                                    {Stand::handing, Event::parted, Stand::alone},
                                    {Stand::done, Event::tunnel_left, Stand::handing},
                                    {Stand::done, Event::parted, Stand::alone},
                                    {Stand::taking, Event::parted, Stand::alone},
                                    {Stand::alone, Event::parted, Stand::alone}}};

}  // namespace

std::string_view name_of(Stand stand) {
    constexpr std::array<std::string_view, 6> names{"alone",   "asking", "offering",
                                                    "handing", "done",   "taking"};
    return names[static_cast<std::size_t>(stand)];
}

std::optional<Stand> next(Stand from, Event event) {
    for (const Row& row : rows)
        if (row.from == from && row.event == event) return row.to;
    return std::nullopt;
}

}  // namespace lemonstair::handover
