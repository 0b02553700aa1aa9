#include "balance/tunnel_table.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "balance/constants.h"
#include "balance/endpoint_table.h"

namespace lemonstair {

TunnelTable::TunnelTable(EndpointTable& endpoint_table) : endpoint_table_(endpoint_table) {}

void TunnelTable::transition_to(std::uint32_t index, TunnelState next) {
    TrackedTunnel& tunnel = tunnels_[index];
    if (tunnel.state == TunnelState::looking_up && tunnel.has_key) lookups_.erase(tunnel.key);
    const auto carries = [](TunnelState s) { return s == TunnelState::setting_up || s == TunnelState::open; };
    if (carries(tunnel.state) && !carries(next))
        --endpoint_table_.endpoints()[tunnel.endpoint_index].open_tunnels,
            endpoint_table_.endpoints()[tunnel.endpoint_index].own_load -= tunnel.load;
    if (!carries(tunnel.state) && carries(next))
        ++endpoint_table_.endpoints()[tunnel.endpoint_index].open_tunnels,
            endpoint_table_.endpoints()[tunnel.endpoint_index].own_load += tunnel.load;
    pending_attempts_ +=
        (next == TunnelState::setting_up ? 1 : 0) - (tunnel.state == TunnelState::setting_up ? 1 : 0);
    if (tunnel.state == TunnelState::waiting) std::erase(waiting_tunnels_, index);
    if (next == TunnelState::waiting) waiting_tunnels_.push_back(index);
    if (next == TunnelState::looking_up) lookups_.put(tunnel.key, index);
    tunnel.state = next;
}

std::uint64_t TunnelTable::timer_label(std::uint32_t index) const {
    return (std::uint64_t{tunnels_.generation(index)} << 32 | index) + 1;
}

}  // namespace lemonstair
