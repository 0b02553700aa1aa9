// The figures that operators fetch, written in their words.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "metrics/tunnel_counters.h"

namespace lemonstair::admin {

struct MetricsSnapshot {
    const std::vector<std::string>& profiles;
    const metrics::TunnelCounters& outcomes;
    std::size_t open = 0;                    // tunnels taken and not ended
    std::uint32_t listed = 0, excluded = 0;  // hosts
};

std::string write_figures(const MetricsSnapshot& figures);

}  // namespace lemonstair::admin
