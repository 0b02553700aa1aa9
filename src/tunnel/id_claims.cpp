#include "tunnel/id_claims.h"

#include <poll.h>

#include <algorithm>

#include "net/lines.h"

namespace lemonstair::tunnel {

namespace {

// How long a request waits for the other process: at most this long, and at most half of the client's time,
// so that an attempt still fits into the rest.
constexpr Ticks max_wait = 10000;

}  // namespace

void IdClaims::begin(TunnelId id, const RequestLine& request) {
    Tunnel& tunnel = *registry_.find(id);
    const Ticks now = registry_.loop.now();
    tunnel.deadline = std::min(request.request.deadline, registry_.answer_deadline);
    registry_.transition_to(id, TunnelState::awaiting_id);
    registry_.ids.request(tunnel.id_hash, request.request.mid_flow, static_cast<std::uint32_t>(id));
    tunnel.client.set_events(POLLIN | POLLRDHUP);
    registry_.set_state_deadline(id, tunnel,
                                 now + std::clamp<Ticks>((tunnel.deadline - now) / 2, 0, max_wait));
}

void IdClaims::on_result(const request_ids::IdResult& result) {
    const std::uint32_t slot = registry_.ids.requester_of(result);
    const bool claimed = registry_.ids.resolve_request(result);
    if (slot != request_ids::IdRegistry::no_slot) finish(registry_.id_of(slot), claimed);
}

void IdClaims::on_peer_gone() {
    for (const std::uint32_t slot : registry_.ids.requesters()) {
        const TunnelId id = registry_.id_of(slot);
        const Tunnel& tunnel = *registry_.find(id);
        const bool mid_flow = registry_.request_of(tunnel, tunnel.state_since).request.mid_flow;
        finish(id, registry_.ids.resolve_without_peer(tunnel.id_hash, mid_flow));
    }
}

// The request's time counts from when it was received.
void IdClaims::finish(TunnelId id, bool granted) {
    const Tunnel& tunnel = *registry_.find(id);
    registry_.log.debug() << "tunnel " << static_cast<std::uint32_t>(id) << ": its id is "
                          << (granted ? "free" : "that of another tunnel") << " at both processes";
    if (!granted) return completion_.reject_protocol_error(id);
    admission_.admit(id, registry_.request_of(tunnel, tunnel.state_since));
}

void IdClaims::on_tunnel_ready(TunnelId id, Side, short events) { attempts_.on_client_ready(id, events); }

void IdClaims::on_tunnel_timer(TunnelId id) {
    if (registry_.loop.now() < registry_.find(id)->state_deadline) return;
    registry_.log.error()
        << "tunnel " << static_cast<std::uint32_t>(id)
        << ": the other process of this node has not told in time whether the id of a request "
           "is free; the client is told to retry";
    registry_.resource_counters.count_reason(Reason::id_unconfirmed);
    completion_.reject(id, 0);
}

}  // namespace lemonstair::tunnel
