#include "tunnel/admission.h"

#include <poll.h>

#include <algorithm>

#include "health_check/health_checker.h"

namespace lemonstair::tunnel {

std::size_t Admit::room() const {
    const std::size_t sockets = floor_.granted();
    const std::size_t kept = Floor::fewest_left + floor_.launch.callers + floor_.for_other +
                             probe::most_lines(floor_.hosts.size(), sockets) + sockets / 16;
    return sockets > kept ? (sockets - kept) / 2 : 1;
}

void Admit::admit(Id id, Arrival arrival, std::string_view holder) {
    Tunnel& t = *floor_.find(id);
    ++floor_.tally.taken;
    t.give_up_at = arrival.give_up_at = std::min(arrival.give_up_at, floor_.answer_by);
    const bool full = floor_.admitted >= room();
    floor_.go(id, State::deciding);
    floor_.names.put(t.name, static_cast<std::uint32_t>(id));
    t.client.wait_for(POLLIN | POLLRDHUP);  // its next bytes wait, unless they are another command
    if (full) {
        ++floor_.tally.busy;
        floor_.costs.explained(Reason::node_full);
        return book_.decline(id, 0);
    }
    if (!holder.empty()) return route_.resume_standing(id);
    t.known = true;
    floor_.mind().arrive(id, arrival);
}

}  // namespace lemonstair::tunnel
