// Many scenarios on many threads: each scenario is a world of its own, so what one gives depends on no other.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "simulation/simulation.h"

namespace lemonstair::simulation {

struct SeedRange {
    std::uint64_t first = 1, last = 1;
};

// "7" or "1..10000"; throws std::invalid_argument, in one sentence.
SeedRange parse_seeds(const std::string& text);

// The scenario of a seed: drawn from it, or the same scenario each time with its chances drawn anew.
using ScenarioSource = std::function<Scenario(std::uint64_t seed)>;

// Plays all seeds on so many threads; `each` hears of them in the seeds' order, from one thread at a time.
void play_all(const SeedRange& seeds, unsigned jobs, const ScenarioSource& scenario_of,
              const std::function<void(const Verdict&)>& each);

// One line of JSON, with its end.
std::string json_of(const Verdict& verdict);

}  // namespace lemonstair::simulation
