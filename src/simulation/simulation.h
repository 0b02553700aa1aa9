// Simulation of one scenario: the product's nodes on simulated machines, with fakes of clients, servers,
// discovery and operators, judged by the invariants. Uses one thread, simulated time and no descriptors of
// the system. Times are in tenths of a ms.
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

// Lets a test wrap the system that a node runs on, or replace its balancer, in order to check that the
// invariants detect the resulting faults.
class TestHooks {
  public:
    TestHooks() = default;
    TestHooks(const TestHooks&) = delete;
    TestHooks& operator=(const TestHooks&) = delete;
    virtual ~TestHooks() = default;
    // Returns the system for the node, on top of the real one, which outlives it; null to use the real one.
    virtual std::unique_ptr<net::System> wrap_system(net::System& real) = 0;
    // Returns the balancer for the node; null to use the real one.
    virtual std::unique_ptr<Balancer> make_balancer(BalancerConfig config, BalancerDelegate& delegate,
                                                    Ticks now) = 0;
};

// Result of a run: the rules that were broken, and counts of what happened.
struct Verdict {
    std::uint64_t seed = 0, hash = 0;
    std::vector<Violation> broken;
    Invariants::Tally tally;
    fakes::FakeClients::Tally clients;
    std::uint64_t steps = 0, passes = 0;
    std::size_t most_descriptors = 0, longest_spin = 0, most_timers = 0;
    Ticks simulated = 0;
    double most_of_budget = 0;  // largest share that a server in slow start got in any window
    // The rule that was broken first; empty if all were kept.
    std::string rule() const { return broken.empty() ? std::string() : broken.front().rule; }
};

// Plays a scenario to its end. `trace` gets all events as text. The same scenario gives the same trace and
// hash on every machine, whatever else the process does.
Verdict play(const Scenario& scenario, std::ostream* trace = nullptr, TestHooks* hooks = nullptr);

}  // namespace lemonstair::simulation
