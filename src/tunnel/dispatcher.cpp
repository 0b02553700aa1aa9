#include "tunnel/dispatcher.h"

namespace lemonstair::tunnel {

void Dispatcher::start_attempt(TunnelId id, std::uint32_t endpoint, Ticks max_wait) {
    if (!awaits_placement(id)) return;
    const std::uint32_t endpoint_index = registry_.endpoints.index_of(endpoint);
    if (endpoint_index == discovery::EndpointDirectory::none) return;
    attempts_.start(id, endpoint_index, max_wait);
}

void Dispatcher::reject(TunnelId id, Ticks retry_after) {
    if (!awaits_placement(id)) return;
    registry_.find(id)->tracked = false;
    completion_.reject(id, retry_after);
}

void Dispatcher::fail(TunnelId id) {
    if (!awaits_placement(id)) return;
    registry_.find(id)->tracked = false;
    completion_.fail(id);
}

void Dispatcher::migrate(TunnelId id) {
    if (registry_.find(id) != nullptr) relay_.migrate(id);
}

}  // namespace lemonstair::tunnel
