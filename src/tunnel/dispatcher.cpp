#include "tunnel/dispatcher.h"

namespace lemonstair::tunnel {

void Dispatcher::set_up(TunnelId id, std::uint32_t ep, Ticks longest_wait) {
    if (!waits(id)) return;
    const std::uint32_t place = floor_.hosts.index_of(ep);
    if (place != discovery::EndpointDirectory::none) send_.start(id, place, longest_wait);
}

void Dispatcher::decline(TunnelId id, Ticks come_back_after) {
    if (!waits(id)) return;
    floor_.find(id)->known = false;
    book_.decline(id, come_back_after);
}

void Dispatcher::close_with_error(TunnelId id) {
    if (!waits(id)) return;
    floor_.find(id)->known = false;
    book_.close_with_error(id);
}

void Dispatcher::move(TunnelId id) {
    if (floor_.find(id) != nullptr) relay_.move(id);
}

}  // namespace lemonstair::tunnel
