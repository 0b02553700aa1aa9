// Shrinks a scenario that breaks a rule, as long as the same rule still breaks.
#pragma once

#include <functional>
#include <string>

#include "simulation/simulation.h"

namespace lemonstair::simulation {

// The smallest scenario so far, and how many were played for it.
struct ShrinkResult {
    Scenario scenario;
    std::string rule;
    int plays = 0;
};

// Plays a scenario, with the tampering of its test if there is any.
using Player = std::function<Verdict(const Scenario&)>;

// Drops faults, then what the scenario does not need; at most so many scenarios are played. `on_progress` is
// called after each play.
ShrinkResult shrink(const Scenario& scenario, const std::string& rule, const Player& player,
                    int most_plays = 400, const std::function<void(const ShrinkResult&)>& on_progress = {});

}  // namespace lemonstair::simulation
