#include "tunnel/admit.h"

#include <poll.h>

#include <algorithm>

namespace lemonstair::tunnel {

std::size_t Admit::room() const {
    const std::size_t kept =
        spare + floor_.hosts.size() + std::min<std::size_t>(64, floor_.launch.sockets / 8);
    return floor_.launch.sockets > kept ? (floor_.launch.sockets - kept) / 2 : 1;
}

void Admit::admit(Id id, const Arrival& arrival, std::string_view holder) {
    Tunnel& t = *floor_.find(id);
    ++floor_.tally.taken;
    t.give_up_at = arrival.give_up_at;
    const bool full = floor_.admitted >= room();
    floor_.go(id, State::deciding);
    t.client.wait_for(POLLRDHUP);  // its next bytes wait; only its going matters until it is open
    if (full) {
        ++floor_.tally.busy;
        return book_.decline(id, 0);
    }
    if (!holder.empty()) return route_.resume_standing(id);
    t.known = true;
    floor_.mind().arrive(id, arrival);
}

}  // namespace lemonstair::tunnel
