// Soak scenarios: overlapping faults, drawn from a seed, for many real processes; and the plan of the fault
// shim for each process. The same seed draws the same.
#pragma once

#include <cstdint>

#include "simulation/scenario.h"
#include "soak/fault_plan.h"

namespace lemonstair::soak {

// `nodes`: so many processes; 0: drawn.
simulation::Scenario draw_soak_scenario(std::uint64_t seed, std::uint32_t nodes);

// For one incarnation of one process.
FaultPlan draw_plan(std::uint64_t seed, std::uint32_t node, std::uint32_t incarnation);

}  // namespace lemonstair::soak
