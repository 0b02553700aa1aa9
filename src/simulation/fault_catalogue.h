// Catalogue of the faults that a scenario can contain: their names in scenario files, what each one affects
// and which parameters it takes. Times are in tenths of a ms.
#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "simnet/event_queue.h"

namespace lemonstair::simulation {

using simnet::Ticks;

// Some kinds have another name in scenario files: FaultInfo::name.
enum class FaultKind : std::uint8_t {
    node_kill,
    node_leave,
    node_stall,
    node_starve,
    node_vanish,
    node_reload,
    node_reload_broken,
    node_upgrade,
    node_upgrade_fails,
    node_drain,
    node_idle_connections,
    server_slow,
    server_errors,
    server_full,
    server_hang,
    server_kill,
    server_vanish,
    server_drain,
    server_resets,
    server_moves_clients,
    discovery_down,
    discovery_silent,
    discovery_slow,
    discovery_corrupt,
    discovery_restart,
    discovery_move,
    discovery_unreachable,
    discovery_mute,
    discovery_cuts_answers,
    network_slow,
    datagrams_lost,
    datagrams_late,
    datagrams_old,
    path_cut,
    datagrams_doubled,
    nodes_deaf,
    nodes_mute,
    nodes_apart,
    nodes_cut_from_servers,
    client_surge,
    misbehaving_clients
};

// One fault of a scenario. FaultInfo tells which of the fields its kind uses.
struct Fault {
    FaultKind kind;
    Ticks start = 0;  // since the scenario's start
    Ticks duration = 0;
    std::uint32_t target = 0;         // index of a node or a server
    std::uint32_t second_target = 0;  // path_cut: index of the server; misbehaving_clients: their kind
    double magnitude = 1;
    std::uint32_t count = 0;
};

// Describes a kind of fault: its name in scenario files, the parameters it takes, and its effect.
struct FaultInfo {
    enum class Target : std::uint8_t { none, node, server };
    FaultKind kind;
    std::string_view name;
    Target target;
    bool has_duration, has_magnitude, has_count;  // keys for_s, much, count
    std::string_view description;
};

// All kinds. Seeds draw faults by their index here, so the order must not change.
const std::vector<FaultInfo>& fault_catalogue();
const FaultInfo& fault_info(FaultKind kind);
// Whether the fault is an action of operators, such as an upgrade or a drain. Drawn for operated scenarios
// only.
bool is_operator_fault(FaultKind kind);
// Whether the fault affects datagrams or paths of several nodes at once. draw_scenario never draws these.
bool is_fleet_fault(FaultKind kind);
// Whether discovery cannot be reached, does not answer, or cuts its answers off while the fault lasts.
bool is_discovery_outage(FaultKind kind);

}  // namespace lemonstair::simulation
