// Shrinks a scenario that breaks a rule to a smaller one that breaks the same rule.
#pragma once

#include <functional>
#include <string>

#include "simulation/simulation.h"

namespace lemonstair::simulation {

// The smallest scenario so far, the rule that it breaks, and how many scenarios were played to find it.
struct ShrinkResult {
    Scenario scenario;
    std::string rule;
    int plays = 0;
};

// Plays a scenario, with the test hooks if there are any.
using Player = std::function<Verdict(const Scenario&)>;

// Drops faults, network conditions, clients and time as long as the rule is still broken. Plays at most
// `most_plays` scenarios. `on_progress` is called after each of them.
ShrinkResult shrink(const Scenario& scenario, const std::string& rule, const Player& player,
                    int most_plays = 400, const std::function<void(const ShrinkResult&)>& on_progress = {});

}  // namespace lemonstair::simulation
