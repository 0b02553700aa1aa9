#include "balance/endpoint_table.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "balance/constants.h"
#include "balance/node_context.h"

namespace lemonstair {

EndpointTable::EndpointTable(NodeContext& node) : node_(node) {}

Endpoint* EndpointTable::find_endpoint(std::uint32_t id) {
    const std::uint32_t index = endpoint_by_id_.find(id);
    return index == none ? nullptr : &endpoints_[index];
}

void EndpointTable::add_endpoint(std::uint32_t id, std::uint32_t zone, std::uint32_t cell,
                                 EndpointState state, double size, Ticks started) {
    std::uint32_t index = endpoint_by_id_.find(id);
    if (index == none) {
        index = static_cast<std::uint32_t>(endpoints_.size());
        endpoint_by_id_.put(id, index);
        endpoints_.emplace_back();
        endpoint_ids_.push_back(id);
        endpoints_[index].id = id;
        endpoints_[index].load_by_node.assign(node_.node_slots(), 0);
        endpoints_[index].health_checked_at = node_.now() - node_.random_delay(health_check_period);
    }
    Endpoint& endpoint = endpoints_[index];
    if (started > endpoint.listed_start) endpoint.start_incarnation(started);
    set_state(endpoint, state);
    endpoint.zone = zone;
    endpoint.cell = cell;
    endpoint.size = node_.config().endpoint_sizes_differ && size > 0 ? size : 1;
    endpoint.listed = true;
}

bool EndpointTable::gossip_may_eject(const Endpoint& one) const {
    return ejection_counts([&](const Endpoint& endpoint) {
               return endpoint.zone == one.zone;
           }).allows_one_more() &&
           ejection_counts([&](const Endpoint& endpoint) {
               return endpoint.zone == one.zone && endpoint.cell == one.cell;
           }).allows_one_more();
}

bool EndpointTable::is_excluded(const Endpoint& endpoint) const {
    return endpoint.state != EndpointState::active || endpoint.ejected;
}

EndpointCounts EndpointTable::count_endpoints() const {
    EndpointCounts n;
    for (const Endpoint& endpoint : endpoints_) {
        if (endpoint.state == EndpointState::removed) continue;
        ++n.listed;
        n.excluded += is_excluded(endpoint) ? 1 : 0;
    }
    return n;
}

void EndpointTable::set_state(Endpoint& endpoint, EndpointState state) {
    if (endpoint.state == EndpointState::active && state != EndpointState::active)
        endpoint.drain_notified_at = node_.now();
    endpoint.state = state;
}

void EndpointTable::begin_list() {
    for (auto& endpoint : endpoints_) endpoint.listed = false;
}

void EndpointTable::remove_unlisted() {
    for (auto& endpoint : endpoints_)
        if (!endpoint.listed) set_state(endpoint, EndpointState::removed);
}

}  // namespace lemonstair
