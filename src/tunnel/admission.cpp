#include "tunnel/admission.h"

#include <poll.h>

#include <algorithm>

#include "health_check/health_checker.h"

namespace lemonstair::tunnel {

namespace {

// How long it may take to resume a tunnel that is already open at its endpoint.
constexpr Ticks resume_timeout = 400000;

}  // namespace

std::size_t Admission::capacity() const {
    const std::size_t granted = registry_.descriptors.granted();
    // A sixteenth is for connections that have not sent their request yet.
    const std::size_t reserved = DescriptorBudget::reserved + registry_.config.max_admin_connections +
                                 registry_.descriptors.sibling_reserve() +
                                 health_check::max_connections(registry_.endpoints.size(), granted) +
                                 granted / 16;
    return granted > reserved ? (granted - reserved) / 2 : 1;
}

void Admission::admit(TunnelId id, const RequestLine& line) {
    Tunnel& tunnel = *registry_.find(id);
    ++registry_.totals.accepted;
    TunnelRequest request = line.request;
    const bool resumes = !line.current_endpoint.empty();
    if (resumes) request.deadline = std::max(request.deadline, registry_.loop.now() + resume_timeout);
    request.deadline = std::min(request.deadline, registry_.answer_deadline);
    tunnel.deadline = request.deadline;
    const std::size_t others =
        registry_.admitted_count() - (tunnel.state == TunnelState::awaiting_id ? 1 : 0);
    const bool full = others >= capacity();
    registry_.transition_to(id, TunnelState::awaiting_placement);
    registry_.ids.claim(tunnel.id_hash, static_cast<std::uint32_t>(id));
    tunnel.client.set_events(POLLIN | POLLRDHUP);  // to notice a second command, which is a protocol error
    if (full) {
        ++registry_.totals.over_capacity;
        registry_.resource_counters.count_reason(Reason::node_full);
        return completion_.reject(id, 0);
    }
    if (resumes) return dispatcher_.resume(id);
    tunnel.tracked = true;
    registry_.balancer_now().on_request(id, request);
}

}  // namespace lemonstair::tunnel
