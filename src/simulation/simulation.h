// One scenario of the lab: the product's own nodes on simulated machines, between stand-ins, judged by the
// rules.
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

// What a test may put between a node and what it runs on, or in the place of what decides for it.
class Tamper {
  public:
    Tamper() = default;
    Tamper(const Tamper&) = delete;
    Tamper& operator=(const Tamper&) = delete;
    virtual ~Tamper() = default;
    // What the node takes from the system; lives as long as that one.
    virtual std::unique_ptr<net::System> between(net::System& real) = 0;
    virtual std::unique_ptr<Balancer> decides(BalancerConfig terms, BalancerDelegate& delegate,
                                              Ticks now) = 0;
};

struct Verdict {
    std::uint64_t seed = 0, hash = 0;
    std::vector<Broken> broken;
    Invariants::Tally tally;
    fakes::FakeClients::Tally clients;
    std::uint64_t steps = 0, passes = 0;
    std::size_t most_descriptors = 0, longest_spin = 0, most_timers = 0;
    Ticks simulated = 0;
    double most_of_budget = 0;  // of a cold server's, in any window of the rule's length
    // The rule broken first; empty where all were kept.
    std::string rule() const { return broken.empty() ? std::string() : broken.front().rule; }
};

// Plays a scenario to its end. The same scenario gives the same trace, whatever else the process does.
Verdict play(const Scenario& scenario, std::ostream* trace = nullptr, Tamper* tamper = nullptr);

}  // namespace lemonstair::simulation
