/// The metrics page: a node's counters and current levels as JSON, under the names that operators know.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "metrics/tunnel_counters.h"

namespace lemonstair::admin {

struct MetricsSnapshot {
    const std::vector<std::string>& traffic_class_names;
    const metrics::TunnelCounters& tunnels;  // by the same traffic classes, in the same order
    std::size_t open_tunnels = 0;            // admitted tunnels that have not ended
    std::uint32_t endpoints_listed = 0, endpoints_excluded = 0;
};

std::string write_metrics_page(const MetricsSnapshot& snapshot);

}  // namespace lemonstair::admin
