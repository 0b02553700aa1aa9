// Process harness: plays a scenario in real time on real processes of the program on the loopback, between
// the same fakes and under the same invariants as the simulation.
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

// How to start the nodes.
struct HarnessOptions {
    std::string program;     // the node's
    std::string log_folder;  // empty: their logs are thrown away
    // Environment variables of one incarnation, beside its configuration; null: none.
    std::function<std::vector<std::string>(std::uint32_t node, std::uint32_t incarnation)> environment;
};

// What one server was sent.
struct ServerRow {
    bool cold = false;
    std::size_t setups = 0, most_at_once = 0;  // the latter within one budget window
    double most_of_budget = 0;                 // in slow start, in any such window
};

struct NodeCosts {  // means of a node and second
    double datagrams = 0, bytes = 0, processor_ms = 0;
    std::uint64_t memory_kb = 0;  // of the largest
};

// What a run gave.
struct RunResult {
    std::uint64_t seed = 0;
    std::uint32_t nodes = 0;
    std::vector<simulation::Violation> broken;
    simulation::Invariants::Tally tally;
    fakes::FakeClients::Tally clients;
    std::vector<ServerRow> servers;
    std::uint64_t declined = 0, declined_idle = 0;  // idle: while a server was less than half loaded
    NodeCosts costs;
    std::uint64_t calls_of_nodes = 0, too_long = 0;
    double took_s = 0;
    Ticks max_lag = 0;           // by which the harness itself was behind the clock
    double max_core_wait_s = 0;  // a node waited for a core within one second
    bool interrupted = false;
    // Whether the machine was fast enough to blame the program for violations.
    bool is_conclusive() const;
};

// Plays a scenario in real time. Throws std::exception where it cannot be played at all. It stops early where
// `stop` becomes true; whatever happens, no process that it started is left.
RunResult play(const Scenario& scenario, const HarnessOptions& options, const volatile bool& stop);

// One line of JSON, with its line end.
std::string json_of(const RunResult& outcome);

}  // namespace lemonstair::process_harness
