// One scenario of the rig: real processes of the program on the loopback, between the stand-ins, judged by
// the same rules as in the lab, with faults put between them.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "fakes/clients.h"
#include "simulation/invariants.h"
#include "simulation/scenario.h"

namespace lemonstair::process_harness {

using net::Ticks;
using simulation::Scenario;

struct HarnessOptions {
    std::string program;     // the node's
    std::string log_folder;  // empty: their logs are thrown away
    // What one life of a process finds in its environment beside its configuration; empty: nothing.
    std::function<std::vector<std::string>(std::uint32_t node, std::uint32_t incarnation)> environment;
};

struct ServerRow {
    bool cold = false;
    std::size_t setups = 0, most_at_once = 0;  // the latter within `fall` of the rule on cold servers
    double most_of_budget = 0;                 // while it was cold, in any such window
};

struct NodeCosts {  // means of a node and second
    double datagrams = 0, bytes = 0, processor_ms = 0;
    std::uint64_t memory_kb = 0;  // of the largest
};

struct RunResult {
    std::uint64_t seed = 0;
    std::uint32_t nodes = 0;
    std::vector<simulation::Broken> broken;
    simulation::Invariants::Tally tally;
    fakes::FakeClients::Tally clients;
    std::vector<ServerRow> servers;
    std::uint64_t declined = 0, declined_idle = 0;  // idle: while a server stood at less than half
    NodeCosts costs;
    std::uint64_t calls_of_nodes = 0, too_long = 0;
    double took_s = 0;
    Ticks max_lag = 0;           // the rig was behind its own clock by so much at most
    double max_core_wait_s = 0;  // a node waited for a core so long within one second
    bool interrupted = false;
    // Whether the machine kept up well enough to blame the program for what broke.
    bool is_conclusive() const;
};

// Plays a scenario in real time. Throws std::exception where it cannot be played at all. It stops early where
// `stop` becomes true; whatever happens, no process that it started is left.
RunResult play(const Scenario& scenario, const HarnessOptions& options, const volatile bool& stop);

// One line of JSON, with its end.
std::string json_of(const RunResult& outcome);

}  // namespace lemonstair::process_harness
