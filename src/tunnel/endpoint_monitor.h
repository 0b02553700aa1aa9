/// Monitors how endpoints answer on open tunnels: reports slow answers and unresponsive endpoints to the
/// balancer, and finds tunnels that no longer get answers.
#pragma once

#include <vector>

#include "tunnel/tunnel_registry.h"

namespace lemonstair::tunnel {

/// Endpoints are identified by their index in the endpoint directory.
class EndpointMonitor {
  public:
    explicit EndpointMonitor(TunnelRegistry& registry);
    /// The endpoint has just sent a line that is not a load report.
    void on_line(std::uint32_t endpoint_index);
    /// The process that transferred a tunnel to this one had received a line on it at `line_at`.
    void on_transferred_line(std::uint32_t endpoint_index, Ticks line_at);
    /// The endpoint has answered a line of the client after `took`.
    void on_answer(TunnelId id, std::uint32_t endpoint_index, Ticks took);
    /// To be called several times a second: reports unresponsive endpoints to the balancer and returns the
    /// open tunnels that have stalled. The list is valid until the next call.
    const std::vector<TunnelId>& check();

  private:
    struct Activity {
        Ticks last_line_at = 0;
        Ticks slow_reported_at = 0;
        bool reported_slow = false;
    };
    // The two longest waits for a line among an endpoint's tunnels. A wait does not count if the endpoint has
    // sent a line on any tunnel since it began.
    struct Waits {
        Ticks longest = 0, second_longest = 0;
        int open_tunnels = 0;  // also those whose client does not wait
    };
    Activity& activity_of(std::uint32_t endpoint_index);
    void add_wait(TunnelId id, const Tunnel& tunnel);
    void report_unresponsive();

    TunnelRegistry& registry_;
    std::vector<Activity> activities_;  // by endpoint index
    std::vector<Waits> waits_;          // by endpoint index
    std::vector<TunnelId> stalled_;
    Ticks slow_threshold_;
};

}  // namespace lemonstair::tunnel
