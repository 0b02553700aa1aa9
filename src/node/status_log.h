/// The node's periodic log lines: tunnel totals every 10 s, and the resources used in each second.
#pragma once

#include "health_check/health_checker.h"
#include "metrics/resource_counters.h"
#include "net/loop.h"
#include "tunnel/tunnel_registry.h"

namespace lemonstair::node {

class StatusLog final : public net::EventHandler {
  public:
    StatusLog(tunnel::TunnelRegistry& registry, const health_check::HealthChecker& health_checker)
        : registry_(registry), health_checker_(health_checker) {}
    void start();
    void on_ready(std::uint64_t, short) override {}
    void on_timer(std::uint64_t token) override;

  private:
    void log_totals();
    void log_resources();

    tunnel::TunnelRegistry& registry_;
    const health_check::HealthChecker& health_checker_;
    metrics::ResourceCounters logged_;  // the counters at the time of the last line
};

}  // namespace lemonstair::node
