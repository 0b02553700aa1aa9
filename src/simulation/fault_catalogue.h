// Catalogue of the faults that a scenario may hold: their names in scenario files, what each one affects and
// which parameters it takes. Times are tenths of a ms.
#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "simnet/event_queue.h"

namespace lemonstair::simulation {

using simnet::Ticks;

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
    node_callers,
    host_slow,
    host_errors,
    host_full,
    host_hang,
    host_kill,
    host_vanish,
    host_drain,
    host_resets,
    host_sends_away,
    discovery_down,
    discovery_silent,
    discovery_slow,
    discovery_spoilt,
    discovery_anew,
    discovery_move,
    network_slow,
    datagrams_lost,
    datagrams_late,
    datagrams_old,
    path_cut,
    datagrams_doubled,
    nodes_deaf,
    nodes_mute,
    nodes_apart,
    nodes_cut_from_hosts,
    crowd,
    rude
};

struct Fault {
    FaultKind kind;
    Ticks at = 0;
    Ticks span = 0;
    std::uint32_t who = 0;    // a node's or a host's number, as the kind wants
    std::uint32_t other = 0;  // path_cut: the host; rude: which kind of client
    double much = 1;
    std::uint32_t count = 0;
};

// What a kind of fault wants to be told, and what it does.
struct FaultRow {
    FaultKind kind;
    std::string_view name;
    enum class Who : std::uint8_t { nobody, node, host } who;
    bool spans, measured, counted;  // takes for_s, much, count
    std::string_view does;
};
const std::vector<FaultRow>& fault_rows();
const FaultRow& row_of(FaultKind kind);
// Done by those who operate the nodes.
bool by_operators(FaultKind kind);
// Met by days that are written, or drawn for what nodes share.
bool among_nodes(FaultKind kind);

}  // namespace lemonstair::simulation
