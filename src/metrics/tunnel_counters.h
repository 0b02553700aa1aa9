// What became of the tunnels that a node took since its start, for each profile. A tunnel counts once.
#pragma once

#include <cstdint>
#include <vector>

namespace lemonstair::metrics {

enum class FinalAnswer : std::uint8_t { none, opened, declined, closed_with_error };

struct TunnelCounters {
    struct Row {
        std::uint64_t opened = 0, declined = 0, closed_with_error = 0;
        std::uint64_t setups_written = 0;  // lines written whole to hosts
    };
    explicit TunnelCounters(std::size_t profiles) : of(profiles) {}
    void count(std::uint32_t profile, FinalAnswer outcome) {
        Row& row = of[profile];
        if (outcome == FinalAnswer::opened) ++row.opened;
        if (outcome == FinalAnswer::declined) ++row.declined;
        if (outcome == FinalAnswer::closed_with_error) ++row.closed_with_error;
    }
    std::vector<Row> of;  // by profile
};

}  // namespace lemonstair::metrics
