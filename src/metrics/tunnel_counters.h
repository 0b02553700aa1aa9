// What became of the tunnels that a node took since its start, for each profile. A tunnel counts once.
#pragma once

#include <cstdint>
#include <vector>

namespace lemonstair::account {

enum class Outcome : std::uint8_t { none, opened, declined, closed_with_error };

struct Outcomes {
    struct Row {
        std::uint64_t opened = 0, declined = 0, closed_with_error = 0;
        std::uint64_t setups_written = 0;  // lines written whole to hosts
    };
    explicit Outcomes(std::size_t profiles) : of(profiles) {}
    void count(std::uint32_t profile, Outcome outcome) {
        Row& row = of[profile];
        if (outcome == Outcome::opened) ++row.opened;
        if (outcome == Outcome::declined) ++row.declined;
        if (outcome == Outcome::closed_with_error) ++row.closed_with_error;
    }
    std::vector<Row> of;  // by profile
};

}  // namespace lemonstair::account
