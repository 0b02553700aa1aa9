// Scenario of a run of the simulation or the process harness: the fleet, its traffic, the network and the
// faults. Drawn from a seed, or read from a TOML file. Times are in tenths of a ms since the scenario's
// start.
#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "fakes/clients.h"
#include "fakes/misbehaving_clients.h"
#include "fakes/server.h"
#include "simnet/network.h"
#include "simulation/fault_catalogue.h"

namespace lemonstair::simulation {

// The process harness has loopback addresses and ports for no more than these (address_plan.h).
inline constexpr std::uint32_t max_nodes = 4096, max_servers = 2048;

// Durations are in tenths of a ms, work is in cores.
struct Scenario {
    std::uint64_t seed = 1;
    Ticks duration = 200000;

    // ---- fleet
    std::uint32_t nodes = 3, servers = 5, clients = 100;
    std::uint32_t cold_servers = 0;  // the last so many servers begin in slow start
    bool uniform = false;            // all servers have the same size, all tunnels the same load
    bool must_poll = false;          // membership_mode "ask"
    double probe_price = 0.0016, peer_price = 0.0001;  // in credits; peer_price: of a datagram of 256 bytes
    bool packet_passthrough = true, peers = true, probing = true, groups = true;
    std::uint32_t sockets = 256;  // descriptor limit of a node
    int max_attempts = 3;
    bool operated = false;          // operators act, and the platform holds the nodes' client listeners
    double known_share = 1;         // share of the servers that the nodes' configuration files list
    Ticks max_clock_skew = 0;       // each node's clock is ahead by a random time up to this
    Ticks detection_delay = 20000;  // until the front notices that a node has ended
    Ticks discovery_delay = 5000;   // until discovery publishes a server's change
    Ticks drain_grace = 30000;      // how long a node may still send to a server that drains
    Ticks loop_pass_time = 1;       // duration of one pass of a node's event loop

    // ---- traffic
    double load = 0.4;             // of all clients together, as a share of all servers' capacity
    Ticks arrival_window = 80000;  // clients arrive evenly spread over it
    Ticks min_lifetime = 20000, mean_extra_lifetime = 120000;  // of a tunnel
    double tunnel_load = 0;  // mean load of a tunnel, in cores; 0: derived from `load`
    fakes::ClientBehavior client_behavior;

    simnet::NetworkConditions network;
    fakes::ServerTraits server;  // of all servers; unless uniform, sizes are drawn around it

    // ---- bounds
    // Largest share of its budget that a server in slow start may be sent in any window of
    // server.overload_window; 0: not judged.
    double max_budget_share = 0;
    // Process harness: how long the system may pause a process between reading its clock and writing.
    Ticks max_process_pause = 0;
    Ticks answer_slack = 500;       // how late an answer may be before it is a violation
    bool judge_slow_start = false;  // whether rule slow_start is judged

    std::vector<Fault> faults;
};

// A scenario file is invalid. what() names file, line and key, what was expected and what came.
struct InvalidScenario : std::runtime_error {
    using std::runtime_error::runtime_error;
};

// Draws a scenario. The same seed gives the same scenario in every version.
Scenario draw_scenario(std::uint64_t seed);
// The scenario that draw_scenario gives, with operators and faults of theirs added.
Scenario draw_operated_scenario(std::uint64_t seed);
// Draws a scenario of outages of discovery with servers that drain around their ends, and a short drain
// grace.
Scenario draw_outage_scenario(std::uint64_t seed);
// Reads a TOML file. Keys that it leaves out have Scenario's defaults. Throws InvalidScenario.
Scenario read_scenario(const std::string& path);
// The same for the text of a file. `name`: of the file, for errors.
Scenario parse_scenario(std::string_view text, const std::string& name);
// The scenario as TOML, with all keys. parse_scenario turns it into the same scenario.
std::string write_scenario(const Scenario& scenario);

}  // namespace lemonstair::simulation
