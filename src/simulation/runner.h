// Runs many scenarios on many threads. Each is a simulation of its own, so results do not depend on the
// threads.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "simulation/simulation.h"

namespace lemonstair::simulation {

// Both ends are included.
struct SeedRange {
    std::uint64_t first = 1, last = 1;
};

// "7" or "1..10000"; throws std::invalid_argument, in one sentence.
SeedRange parse_seeds(const std::string& text);

// The scenario of a seed: drawn from it, or one file's with this seed for its random draws.
using ScenarioSource = std::function<Scenario(std::uint64_t seed)>;

// Plays all seeds on so many threads; `each` is called in the seeds' order, by one thread at a time. Rethrows
// what a run throws.
void play_all(const SeedRange& seeds, unsigned jobs, const ScenarioSource& scenario_of,
              const std::function<void(const Verdict&)>& each);

// One line of JSON, with its line end.
std::string json_of(const Verdict& verdict);

}  // namespace lemonstair::simulation
