#include "tunnel/endpoint_monitor.h"

#include <algorithm>

namespace lemonstair::tunnel {

namespace {

// Clients send a line every few seconds, and a healthy endpoint answers at once. A tunnel has stalled if the
// endpoint has sent no line for `stalled_after` and the client has waited for one for half of that time.
constexpr Ticks stalled_after = 60000, stalled_unanswered_for = 30000;
// An endpoint that has sent no line on any of its tunnels is reported much earlier.
constexpr Ticks unresponsive_after = 5000;
constexpr Ticks min_slow_report_interval = 10000;
// An answer is slow if it takes longer than the strictest message latency objective divided by
// slow_threshold_divisor, or than max_slow_threshold if that is less.
constexpr Ticks max_slow_threshold = 10000;
constexpr int slow_threshold_divisor = 3;
constexpr Ticks ticks_per_ms = 10;

}  // namespace

EndpointMonitor::EndpointMonitor(TunnelRegistry& registry)
    : registry_(registry), slow_threshold_(max_slow_threshold) {
    for (const TrafficClass& traffic_class : registry.config.balancer.traffic_classes) {
        const Ticks objective = traffic_class.message_latency_objective;
        if (objective > 0) slow_threshold_ = std::min(slow_threshold_, objective / slow_threshold_divisor);
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

// Reports at intervals while answers are slow, and once more when they are fast again.
void EndpointMonitor::on_answer(TunnelId id, std::uint32_t endpoint_index, Ticks took) {
    Activity& activity = activity_of(endpoint_index);
    const Ticks now = registry_.loop.now();
    const bool slow = took > slow_threshold_;
    if (slow && now - activity.slow_reported_at < min_slow_report_interval) return;
    if (!slow && !activity.reported_slow) return;
    activity.slow_reported_at = now;
    activity.reported_slow = slow;
    const std::uint32_t endpoint = registry_.endpoints[endpoint_index].number;
    registry_.log.debug() << "message answered after " << took / ticks_per_ms << " ms by endpoint "
                          << endpoint;
    registry_.balancer_now().on_slow_messages(id, endpoint, took);
}

void EndpointMonitor::add_wait(TunnelId id, const Tunnel& tunnel) {
    Waits& waits = waits_[tunnel.endpoint_index];
    ++waits.open_tunnels;
    // If the client does not read, the delay is not the endpoint's fault.
    if (tunnel.unanswered_lines == 0 || !tunnel.downstream.writable().empty()) return;
    const Ticks now = registry_.loop.now();
    const Ticks wait = now - tunnel.unanswered_since;
    if (wait >= stalled_unanswered_for && now - tunnel.last_input_at >= stalled_after) stalled_.push_back(id);
    if (activity_of(tunnel.endpoint_index).last_line_at > tunnel.unanswered_since) return;
    waits.second_longest = std::max(waits.second_longest, std::min(waits.longest, wait));
    waits.longest = std::max(waits.longest, wait);
}

// A single stuck tunnel does not prove that its endpoint is unresponsive: if the endpoint has several
// tunnels, at least two of them must have waited that long.
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
