// Soak scenarios: a scenario of overlapping troubles, drawn from a seed, for many real processes; and what
// the fault shim does to each process on it. The same seed draws the same scenario.
#pragma once

#include <cstdint>

#include "simulation/scenario.h"
#include "soak/fault_plan.h"

namespace lemonstair::soak {

// `nodes`: so many processes; 0: drawn.
simulation::Scenario draw_soak_scenario(std::uint64_t seed, std::uint32_t nodes);

// Of one life of one process.
FaultPlan draw_plan(std::uint64_t seed, std::uint32_t node, std::uint32_t incarnation);

}  // namespace lemonstair::soak
