// Plays many scenarios on many threads. Each is a simulation of its own, so the results do not depend on the
// number of threads.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "simulation/simulation.h"

namespace lemonstair::simulation {

// A range of seeds, both ends included.
struct SeedRange {
    std::uint64_t first = 1, last = 1;
};

// Parses "7" or "1..10000". Throws std::invalid_argument, with the text in its message, for anything else.
SeedRange parse_seeds(const std::string& text);

// Returns the scenario of a seed: one drawn from it, or that of a file with this seed for its random draws.
using ScenarioSource = std::function<Scenario(std::uint64_t seed)>;

// Plays all seeds on `jobs` threads. `each` is called in the order of the seeds, by one thread at a time. If
// a run throws, no further seed is started and the exception is rethrown.
void play_all(const SeedRange& seeds, unsigned jobs, const ScenarioSource& scenario_of,
              const std::function<void(const Verdict&)>& each);

// The verdict as one line of JSON, with its line end.
std::string json_of(const Verdict& verdict);

}  // namespace lemonstair::simulation
