// A day of the lab: the town, its traffic, and the faults that meet it. Drawn from a seed, or read from TOML.
// Times are tenths of a ms since dawn.
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

// As many as machines and ports of the rig's blocks of the loopback leave room for (rig/places.h).
inline constexpr std::uint32_t most_nodes = 4096, most_hosts = 2048;

struct Scenario {
    std::uint64_t seed = 1;
    Ticks span = 200000;
    std::uint32_t nodes = 3, hosts = 5, members = 100;
    std::uint32_t cold_hosts = 0;                      // the last of them have just started at dawn
    bool alike = false;                                // hosts and tunnels are of one size
    bool must_poll = false;                            // membership_mode "ask"
    double probe_price = 0.0016, peer_price = 0.0001;  // in credits; a datagram of 256 bytes

    bool packet_passthrough = true, peers = true, probing = true, groups = true;
    std::uint32_t sockets = 256;  // descriptors of a node
    int max_attempts = 3;
    bool operated = false;        // operators call, and the platform holds the clients' listeners
    double known = 1;             // share of the hosts that the nodes know at their start
    Ticks clocks_apart = 0;       // nodes' clocks are ahead by up to this
    Ticks notices_after = 20000;  // the front, that a node has died
    Ticks told_after = 5000;      // discovery, that a host has changed
    Ticks pass_takes = 1;
    double load = 0.4;                             // of all hosts, by all members together
    Ticks arrive_within = 80000;                   // members come evenly within this span
    Ticks least_life = 20000, more_life = 120000;  // of a tunnel: at least, and a mean beyond that
    double tunnel_load = 0;                        // mean of a tunnel, in cores; 0: from `load`
    simnet::NetworkConditions weather;
    fakes::ClientBehavior manners;
    fakes::ServerTraits host;  // what hosts have in common; sizes are drawn around it
    // Of each cold host's budget, in any window of host.fall, judged from the wire at the end; 0: not judged.
    double most_of_budget = 0;
    // Of the soak: a process may be held up for so long between reading its clock and writing; an answer
    // counts as missing so long after its time; the bound on what a cold host is sent is judged.
    Ticks held_up = 0, answer_slack = 500;
    bool slow_start_judged = false;
    std::vector<Fault> faults;
};

// A fault of the file: its name, line and key, and what is wrong, in one sentence.
struct InvalidScenario : std::runtime_error {
    using std::runtime_error::runtime_error;
};

Scenario draw_day(std::uint64_t seed);
// The same, with operators who call, drain and upgrade nodes: the faults of the day and these.
Scenario draw_operated_day(std::uint64_t seed);
// Keys that the file leaves out keep what `Day` gives them. Throws InvalidScenario.
Scenario read_day(const std::string& path);
Scenario parse_day(std::string_view text, const std::string& name);
std::string write_day(const Scenario& day);

}  // namespace lemonstair::simulation
