/// Counters of the final answers to clients since the node's start, by traffic class. Each tunnel counts
/// once.
#pragma once

#include <cstdint>
#include <vector>

namespace lemonstair::metrics {

/// The last answer that the client of a tunnel got; none: no answer yet, or the client left without one.
enum class FinalAnswer : std::uint8_t { none, opened, declined, closed_with_error };

struct TunnelCounters {
    struct Counters {
        std::uint64_t opened = 0, declined = 0, closed_with_error = 0;
        std::uint64_t setups_written = 0;  // setup lines written completely to endpoints
    };
    explicit TunnelCounters(std::size_t traffic_classes) : by_traffic_class(traffic_classes) {}
    void count(std::uint32_t traffic_class, FinalAnswer answer) {
        Counters& counters = by_traffic_class[traffic_class];
        if (answer == FinalAnswer::opened) ++counters.opened;
        if (answer == FinalAnswer::declined) ++counters.declined;
        if (answer == FinalAnswer::closed_with_error) ++counters.closed_with_error;
    }
    std::vector<Counters> by_traffic_class;
};

}  // namespace lemonstair::metrics
