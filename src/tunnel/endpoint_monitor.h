// Watches how endpoints answer on open tunnels: reports slow answers and endpoints that have fallen silent to
// the balancer, and finds tunnels that no longer get answers.
#pragma once

#include <vector>

#include "tunnel/tunnel_registry.h"

namespace lemonstair::tunnel {

// Endpoints are named by their index in the directory.
class EndpointMonitor {
  public:
    explicit EndpointMonitor(TunnelRegistry& registry);
    // A line that was not a load report has come from the endpoint now.
    void on_line(std::uint32_t endpoint_index);
    // Another process saw a line at `line_at`, on a tunnel that it transferred to this one.
    void on_transferred_line(std::uint32_t endpoint_index, Ticks line_at);
    // The endpoint has answered a line of the client, which took so long.
    void on_answer(TunnelId id, std::uint32_t endpoint_index, Ticks took);
    // To be called every few tenths of a second: reports silent endpoints, and returns the open tunnels that
    // have stalled. The list stays valid until the next call.
    const std::vector<TunnelId>& check();

  private:
    struct Activity {
        Ticks last_line_at = 0;
        Ticks slow_reported_at = 0;
        bool reported_slow = false;
    };
    // Of an endpoint's tunnels, those that have waited longest with no line on any tunnel since.
    struct Waits {
        Ticks longest = 0, second_longest = 0;
        int open_tunnels = 0;
    };
    Activity& activity_of(std::uint32_t endpoint_index);
    void add_wait(TunnelId id, const Tunnel& tunnel);
    void report_unresponsive();

    TunnelRegistry& registry_;
    std::vector<Activity> activities_;  // by endpoint
    std::vector<Waits> waits_;          // by endpoint
    std::vector<TunnelId> stalled_;
    Ticks slow_threshold_;
};

}  // namespace lemonstair::tunnel
