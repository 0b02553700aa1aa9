// The metrics page: counters and levels of a node as JSON, under the operators' names for them.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "metrics/tunnel_counters.h"

namespace lemonstair::admin {

struct MetricsSnapshot {
    const std::vector<std::string>& traffic_class_names;
    const metrics::TunnelCounters& tunnels;  // of the same traffic classes, in the same order
    std::size_t open_tunnels = 0;            // admitted and not ended
    std::uint32_t endpoints_listed = 0, endpoints_excluded = 0;
};

std::string write_metrics_page(const MetricsSnapshot& snapshot);

}  // namespace lemonstair::admin
