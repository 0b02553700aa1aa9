#include "tunnel/admission.h"

#include <poll.h>

#include <algorithm>

#include "health_check/health_checker.h"

namespace lemonstair::tunnel {

std::size_t Admission::room() const {
    const std::size_t sockets = floor_.granted();
    const std::size_t kept = TunnelRegistry::fewest_left + floor_.launch.max_admin_connections +
                             floor_.for_other + health_check::max_connections(floor_.hosts.size(), sockets) +
                             sockets / 16;
    return sockets > kept ? (sockets - kept) / 2 : 1;
}

void Admission::admit(TunnelId id, TunnelRequest arrival, std::string_view holder) {
    Tunnel& t = *floor_.find(id);
    ++floor_.tally.taken;
    t.give_up_at = arrival.deadline = std::min(arrival.deadline, floor_.answer_by);
    const bool full = floor_.admitted >= room();
    floor_.go(id, TunnelState::deciding);
    floor_.names.put(t.name, static_cast<std::uint32_t>(id));
    t.client.set_events(POLLIN | POLLRDHUP);  // its next bytes wait, unless they are another command
    if (full) {
        ++floor_.tally.busy;
        floor_.costs.count_reason(Reason::node_full);
        return book_.decline(id, 0);
    }
    if (!holder.empty()) return route_.resume_standing(id);
    t.known = true;
    floor_.mind().on_request(id, arrival);
}

}  // namespace lemonstair::tunnel
