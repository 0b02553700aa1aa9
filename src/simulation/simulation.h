// Simulation of one scenario: the product's own nodes on simulated machines, between fakes of all others,
// judged by the invariants. One thread, simulated time, no descriptors. Times are tenths of a ms.
#pragma once

#include <cstdint>
#include <iosfwd>
#include <memory>
#include <string>
#include <vector>

#include "node/node.h"
#include "simulation/invariants.h"
#include "simulation/scenario.h"

namespace lemonstair::simulation {

// Hook of tests: wraps the system that a node runs on, or replaces its balancer, to see that the invariants
// find what is then wrong.
class TestHooks {
  public:
    TestHooks() = default;
    TestHooks(const TestHooks&) = delete;
    TestHooks& operator=(const TestHooks&) = delete;
    virtual ~TestHooks() = default;
    // The system for the node, on top of the real one, which outlives it; null: the real one.
    virtual std::unique_ptr<net::System> wrap_system(net::System& real) = 0;
    // The balancer for the node; null: the real one.
    virtual std::unique_ptr<Balancer> make_balancer(BalancerConfig config, BalancerDelegate& delegate,
                                                    Ticks now) = 0;
};

// What a run gave: the rules that broke, and figures of what happened.
struct Verdict {
    std::uint64_t seed = 0, hash = 0;
    std::vector<Violation> broken;
    Invariants::Tally tally;
    fakes::FakeClients::Tally clients;
    std::uint64_t steps = 0, passes = 0;
    std::size_t most_descriptors = 0, longest_spin = 0, most_timers = 0;
    Ticks simulated = 0;
    double most_of_budget = 0;  // share that any server in slow start was sent, in any budget window
    // The rule broken first; empty where all were kept.
    std::string rule() const { return broken.empty() ? std::string() : broken.front().rule; }
};

// Plays a scenario to its end; `trace`: all that happened, as text. The same scenario gives the same trace
// and hash on every machine, whatever else the process does.
Verdict play(const Scenario& scenario, std::ostream* trace = nullptr, TestHooks* hooks = nullptr);

}  // namespace lemonstair::simulation
