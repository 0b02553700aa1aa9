#include "tunnel/floor.h"

namespace lemonstair::tunnel {

std::string_view name_of(State s) {
    switch (s) {
        case State::free:
            return "free";
        case State::taking_in:
            return "taking in";
        case State::deciding:
            return "deciding";
        case State::connecting:
            return "connecting";
        case State::sending_line:
            return "sending its line";
        case State::awaiting_answer:
            return "awaiting an answer";
        case State::relaying:
            return "relaying";
        case State::moving:
            return "moving";
        case State::departing:
            return "departing";
    }
    return "";
}

void Floor::go(Id id, State to) {
    Tunnel& t = *find(id);
    const auto counts = [](State s) {
        return s != State::free && s != State::taking_in && s != State::departing;
    };
    if (!counts(t.state) && counts(to)) ++admitted;
    if (counts(t.state) && !counts(to)) {
        --admitted;
        if (t.name != 0 && names.find(t.name) == static_cast<std::uint32_t>(id)) names.drop(t.name);
    }
    if (t.state == State::departing) --departing;
    if (to == State::departing) ++departing;
    log.debug() << "tunnel " << static_cast<std::uint32_t>(id) << ": " << name_of(t.state) << " -> "
                << name_of(to);
    t.state = to;
    t.since = loop.now();
    if (to != State::free) return;
    --in_hand;
    tunnels.give_back(static_cast<std::uint32_t>(id));
}

}  // namespace lemonstair::tunnel
