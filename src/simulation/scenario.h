// Scenario of a simulation or a process harness run: the fleet, its traffic, the network and the faults that
// meet it. Drawn from a seed, or read from TOML. Times are tenths of a ms since the scenario's start.
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

// The loopback plan of the process harness has addresses and ports for so many (address_plan.h).
inline constexpr std::uint32_t max_nodes = 4096, max_servers = 2048;

// A run's fleet, traffic, network and faults. Durations are tenths of a ms, work is in cores.
struct Scenario {
    std::uint64_t seed = 1;
    Ticks duration = 200000;

    // ---- fleet
    std::uint32_t nodes = 3, servers = 5, clients = 100;
    std::uint32_t cold_servers = 0;                    // the last of them, in slow start at the beginning
    bool uniform = false;                              // servers and tunnels are of one size
    bool must_poll = false;                            // membership_mode "ask"
    double probe_price = 0.0016, peer_price = 0.0001;  // in credits; a datagram of 256 bytes
    bool packet_passthrough = true, peers = true, probing = true, groups = true;
    std::uint32_t sockets = 256;  // descriptors of a node
    int max_attempts = 3;
    bool operated = false;          // operators act, and the platform holds the clients' listeners
    double known_share = 1;         // of the servers, that the nodes know at their start
    Ticks max_clock_skew = 0;       // nodes' clocks are ahead by up to this
    Ticks detection_delay = 20000;  // until the front notices that a node has died
    Ticks discovery_delay = 5000;   // until discovery publishes a change of a server
    Ticks loop_pass_time = 1;       // that a pass of a node's event loop takes

    // ---- traffic
    double load = 0.4;             // of all servers' capacity, by all clients together
    Ticks arrival_window = 80000;  // clients arrive evenly within it
    Ticks min_lifetime = 20000, mean_extra_lifetime = 120000;  // of a tunnel
    double tunnel_load = 0;                                    // mean of a tunnel, in cores; 0: from `load`
    fakes::ClientBehavior client_behavior;

    simnet::NetworkConditions network;
    fakes::ServerTraits server;  // what servers have in common; sizes are drawn around it

    // ---- bounds
    // Share of its budget that a server in slow start may be sent in any window of
    // server.overload_window; 0: not judged.
    double max_budget_share = 0;
    // Process harness: a process may be paused for so long between reading its clock and writing.
    Ticks max_process_pause = 0;
    Ticks answer_slack = 500;       // an answer counts as late when it is so much over its time
    bool judge_slow_start = false;  // whether the slow_start rule is judged

    std::vector<Fault> faults;
};

// A scenario file that cannot be used: what() names file, line and key, in one sentence.
struct InvalidScenario : std::runtime_error {
    using std::runtime_error::runtime_error;
};

// The same seed draws the same scenario in every version.
Scenario draw_scenario(std::uint64_t seed);
// The same scenario, with operators who act: its faults and theirs.
Scenario draw_operated_scenario(std::uint64_t seed);
// Keys that the file leaves out keep Scenario's defaults. Throws InvalidScenario.
Scenario read_scenario(const std::string& path);
// `name`: the file's, for errors.
Scenario parse_scenario(std::string_view text, const std::string& name);
// As TOML, with all keys; parse_scenario gives the same scenario again.
std::string write_scenario(const Scenario& scenario);

}  // namespace lemonstair::simulation
