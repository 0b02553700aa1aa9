#include "node/endpoint_list_client.h"

#include <utility>

namespace lemonstair::node {

EndpointListClient::EndpointListClient(tunnel::TunnelRegistry& registry, std::function<bool()> owns_node)
    : registry_(registry),
      owns_node_(std::move(owns_node)),
      watch_(registry.loop, registry.pool, registry.config.discovery, *this, registry.log,
             registry.resource_counters),
      random_(registry.config.balancer.seed) {}

void EndpointListClient::open_if_notified() {
    if (!registry_.config.balancer.must_poll) open();
}

void EndpointListClient::open_if_owner() {
    if (owns_node_()) open();
}

bool EndpointListClient::follow_config() {
    const bool moved = watch_.redirect(registry_.config.discovery);
    // Each discovery service has its own revision numbers.
    if (moved) registry_.endpoints.reset_revision();
    return moved;
}

// The last list stays in use until the new watch delivers one.
void EndpointListClient::reopen() {
    if (watch_.is_open()) return;
    backoff_.on_success();
    notify_balancer(EndpointListKind::moved);
    open_if_notified();
}

void EndpointListClient::notify_balancer(EndpointListKind kind) {
    Balancer& balancer = registry_.balancer_now();
    balancer.begin_endpoint_list(kind);
    balancer.end_endpoint_list();
}

bool EndpointListClient::on_list(const json::Value& list) {
    const bool taken = registry_.endpoints.apply(list, registry_.balancer_now(),
                                                 discovery::ListSource::discovery, registry_.loop.now());
    if (taken) backoff_.on_success();
    return taken;
}

void EndpointListClient::on_unchanged() {
    notify_balancer(EndpointListKind::changes);
    backoff_.on_success();
}

// If discovery must be polled, the balancer requests the next call. Otherwise the watch is reopened after a
// pause with jitter, so that not all nodes call discovery at the same moment when it recovers.
void EndpointListClient::on_watch_lost() {
    notify_balancer(EndpointListKind::failed);
    if (registry_.config.balancer.must_poll) return;
    const double random_value = static_cast<double>(random_() - std::minstd_rand::min());
    const double fraction = random_value / static_cast<double>(std::minstd_rand::max());
    registry_.loop.schedule(registry_.loop.now() + backoff_.on_failure(fraction), *this, 0);
}

}  // namespace lemonstair::node
