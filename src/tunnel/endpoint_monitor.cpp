#include "tunnel/endpoint_monitor.h"

#include <algorithm>

namespace lemonstair::tunnel {

namespace {

// Clients send a line every few seconds, and a healthy endpoint answers at once: a tunnel that had no line
// for `stalled_after`, and has awaited one for half of it, will not get one.
constexpr Ticks stalled_after = 60000, stalled_unanswered_for = 30000;
// Long before that an endpoint is reported from which no tunnel has had a line.
constexpr Ticks unresponsive_after = 5000;
constexpr Ticks slow_reported_every = 10000;
constexpr Ticks max_slow_threshold = 10000;
constexpr int slow_fraction = 3;  // of the strictest objective for messages
constexpr Ticks ticks_per_ms = 10;

}  // namespace

EndpointMonitor::EndpointMonitor(TunnelRegistry& registry)
    : registry_(registry), slow_threshold_(max_slow_threshold) {
    for (const TrafficClass& traffic_class : registry.config.balancer.traffic_classes) {
        const Ticks objective = traffic_class.message_latency_objective;
        if (objective > 0) slow_threshold_ = std::min(slow_threshold_, objective / slow_fraction);
    }
}

EndpointMonitor::Activity& EndpointMonitor::activity_of(std::uint32_t endpoint_index) {
    if (activities_.size() <= endpoint_index) activities_.resize(registry_.endpoints.size());
    return activities_[endpoint_index];
}

void EndpointMonitor::on_line(std::uint32_t endpoint_index) {
    activity_of(endpoint_index).last_line_at = registry_.loop.now();
}

void EndpointMonitor::on_transferred_line(std::uint32_t endpoint_index, Ticks line_at) {
    Activity& activity = activity_of(endpoint_index);
    activity.last_line_at = std::max(activity.last_line_at, line_at);
}

// Reports from time to time while answers are slow, and once more when they no longer are.
void EndpointMonitor::on_answer(TunnelId id, std::uint32_t endpoint_index, Ticks took) {
    Activity& activity = activity_of(endpoint_index);
    const Ticks now = registry_.loop.now();
    const bool slow = took > slow_threshold_;
    if (slow && now - activity.slow_reported_at < slow_reported_every) return;
    if (!slow && !activity.reported_slow) return;
    activity.slow_reported_at = now;
    activity.reported_slow = slow;
    const std::uint32_t endpoint = registry_.endpoints[endpoint_index].number;
    registry_.log.debug() << "a message takes " << took / ticks_per_ms << " ms at endpoint " << endpoint;
    registry_.balancer_now().on_slow_messages(id, endpoint, took);
}

void EndpointMonitor::add_wait(TunnelId id, const Tunnel& tunnel) {
    Waits& waits = waits_[tunnel.endpoint_index];
    ++waits.open_tunnels;
    // Where its client takes nothing the endpoint is not to blame.
    if (tunnel.unanswered_lines == 0 || !tunnel.downstream.buffer.empty()) return;
    const Ticks now = registry_.loop.now();
    const Ticks wait = now - tunnel.unanswered_since;
    if (wait >= stalled_unanswered_for && now - tunnel.last_input_at >= stalled_after) stalled_.push_back(id);
    if (activity_of(tunnel.endpoint_index).last_line_at > tunnel.unanswered_since) return;
    waits.second_longest = std::max(waits.second_longest, std::min(waits.longest, wait));
    waits.longest = std::max(waits.longest, wait);
}

// One tunnel that has stopped does not speak for its endpoint: where there are others, two must have waited.
void EndpointMonitor::report_unresponsive() {
    for (std::uint32_t index = 0; index < waits_.size(); ++index) {
        const Waits& waits = waits_[index];
        const Ticks silent_for = waits.open_tunnels == 1 ? waits.longest : waits.second_longest;
        if (silent_for >= unresponsive_after)
            registry_.balancer_now().on_unresponsive(registry_.endpoints[index].number, silent_for);
    }
}

const std::vector<TunnelId>& EndpointMonitor::check() {
    waits_.assign(registry_.endpoints.size(), {});
    stalled_.clear();
    registry_.for_each([&](std::uint32_t index, const Tunnel& tunnel) {
        const bool ending = tunnel.upstream.source_ended || tunnel.downstream.source_ended;
        if (tunnel.state == TunnelState::open && !ending) add_wait(registry_.id_of(index), tunnel);
    });
    report_unresponsive();
    return stalled_;
}

}  // namespace lemonstair::tunnel
