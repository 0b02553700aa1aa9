/// Data that load estimates are computed from.
#pragma once
#include <algorithm>
#include <cstdint>

#include "balance/endpoint.h"

namespace lemonstair {

/// A placement that load totals and reports do not contain yet.
struct RecentPlacement {
    Ticks placed_at = 0;
    std::uint32_t endpoint_index = 0;
    double load = 0;
};

/// The running mean of about the last 64 samples.
struct RunningMean {
    double value = 0;
    int count = 0;
    void add(double sample) {
        count = std::min(count + 1, 64);
        value += (sample - value) / count;
    }
};

}  // namespace lemonstair
