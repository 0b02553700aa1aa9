#include "simulation/fault_catalogue.h"

#include <algorithm>

namespace lemonstair::simulation {

namespace {

using K = FaultKind;
using Target = FaultInfo::Target;

std::vector<FaultInfo> node_faults() {
    return {
        {K::node_kill, "node_kill", Target::node, true, false, false,
         "the node's process dies; another starts after for_s"},
        {K::node_leave, "node_leave", Target::node, true, false, false,
         "SIGTERM; SIGKILL after 3.7 s; another starts for_s after that"},
        {K::node_stall, "node_stall", Target::node, true, false, false,
         "the node gets no processor for for_s"},
        {K::node_starve, "node_starve", Target::node, true, false, false,
         "no descriptor for accept (ENFILE) nor memory for connect (ENOBUFS)"},
        {K::node_vanish, "node_vanish", Target::node, true, false, false,
         "the node's machine is cut off for for_s; its process goes on"},
        {K::node_reload, "node_reload", Target::node, false, false, false, "SIGHUP, with the file as it was"},
        {K::node_reload_broken, "node_reload_broken", Target::node, true, false, false,
         "SIGHUP with half a file, and again with the good one after for_s"},
        {K::node_upgrade, "node_upgrade", Target::node, false, false, false,
         "a new version is started beside the node's process, which has SIGTERM when the new one says yes"},
        {K::node_upgrade_fails, "node_upgrade_fails", Target::node, true, false, false,
         "the same, but the new one dies for_s after its start"},
        {K::node_drain, "node_drain", Target::node, true, false, false,
         "operators send the node's clients away, and take them again after for_s and 4 s"},
        {K::node_idle_connections, "node_callers", Target::node, false, false, true,
         "`count` callers of operators come, say nothing or half a call, and stay"},
    };
}

std::vector<FaultInfo> server_faults() {
    return {
        {K::server_slow, "host_slow", Target::server, true, true, false,
         "the server's work takes `much` times as long"},
        {K::server_errors, "host_errors", Target::server, true, false, false,
         "the server answers each setup with ERR at once"},
        {K::server_full, "host_full", Target::server, true, false, false,
         "the server answers each setup with BUSY"},
        {K::server_hang, "host_hang", Target::server, true, false, false,
         "the server takes bytes and says nothing"},
        {K::server_kill, "host_kill", Target::server, true, false, false,
         "the server's process dies; another starts cold after for_s"},
        {K::server_vanish, "host_vanish", Target::server, true, false, false,
         "the server's machine says nothing; after for_s it has restarted, cold"},
        {K::server_drain, "host_drain", Target::server, true, false, false,
         "the server drains, stops after for_s (3 s at least) and is back, cold, 2 s later"},
        {K::server_resets, "host_resets", Target::server, false, true, false,
         "the server resets a share `much` of its connections"},
        {K::server_moves_clients, "host_sends_away", Target::server, true, false, false,
         "the server sends MOVE to all its clients within for_s"},
    };
}

std::vector<FaultInfo> discovery_faults() {
    return {
        {K::discovery_down, "discovery_down", Target::none, true, false, false,
         "calls are refused, watches are reset"},
        {K::discovery_silent, "discovery_silent", Target::none, true, false, false,
         "watches stand and say nothing, calls get no answer; then all are reset"},
        {K::discovery_slow, "discovery_slow", Target::none, true, true, false,
         "an answer takes `much` seconds longer"},
        {K::discovery_corrupt, "discovery_spoilt", Target::none, false, false, true,
         "the next change comes as no list (count 1), with an unreadable entry (2), behind an old list (3)"},
        {K::discovery_restart, "discovery_anew", Target::none, false, false, false,
         "discovery restarts and counts its revisions from 1"},
        {K::discovery_move, "discovery_move", Target::none, false, false, false,
         "another service with lower revisions; new files and SIGHUP; the old one ends 1.5 s later"},
    };
}

std::vector<FaultInfo> network_faults() {
    return {
        {K::network_slow, "network_slow", Target::none, true, true, false,
         "all delays are `much` times as long"},
        {K::datagrams_lost, "datagrams_lost", Target::none, true, true, false,
         "a share `much` of datagrams is lost"},
        {K::datagrams_late, "datagrams_late", Target::none, true, true, false,
         "datagrams come up to `much` seconds late, and overtake"},
        {K::datagrams_old, "datagrams_old", Target::node, false, false, true,
         "`count` datagrams that the node sent in an earlier life come again"},
        {K::path_cut, "path_cut", Target::node, true, false, false,
         "nothing passes between the node, or `count` nodes from it on, and the server"},
        {K::datagrams_doubled, "datagrams_doubled", Target::none, true, true, false,
         "a share `much` of datagrams comes twice"},
        {K::nodes_deaf, "nodes_deaf", Target::node, true, false, true,
         "`count` nodes from this one on hear nothing from other nodes"},
        {K::nodes_mute, "nodes_mute", Target::node, true, false, true,
         "`count` nodes from this one on are heard by no other"},
        {K::nodes_apart, "nodes_apart", Target::node, true, false, true,
         "`count` nodes from this one on hear only each other, and the rest only each other"},
        {K::nodes_cut_from_servers, "nodes_cut_from_hosts", Target::node, true, false, true,
         "nothing passes between `count` nodes from this one on and any server"},
        {K::client_surge, "crowd", Target::none, true, false, true, "`count` more clients come within for_s"},
        {K::misbehaving_clients, "rude", Target::none, false, false, true,
         "`count` bad clients of the kind `other` (0 to 8) come, and some come again"},
    };
}

}  // namespace

// The order is part of what a seed draws.
const std::vector<FaultInfo>& fault_catalogue() {
    static const std::vector<FaultInfo> rows = [] {
        std::vector<FaultInfo> all;
        for (const auto& part : {node_faults(), server_faults(), discovery_faults(), network_faults()})
            all.insert(all.end(), part.begin(), part.end());
        return all;
    }();
    return rows;
}

const FaultInfo& fault_info(FaultKind kind) {
    return *std::find_if(fault_catalogue().begin(), fault_catalogue().end(),
                         [&](const FaultInfo& r) { return r.kind == kind; });
}

bool is_operator_fault(FaultKind kind) {
    return kind == FaultKind::node_upgrade || kind == FaultKind::node_upgrade_fails ||
           kind == FaultKind::node_drain || kind == FaultKind::node_idle_connections;
}

bool is_fleet_fault(FaultKind kind) {
    return kind == FaultKind::datagrams_doubled || kind == FaultKind::nodes_deaf ||
           kind == FaultKind::nodes_mute || kind == FaultKind::nodes_apart ||
           kind == FaultKind::nodes_cut_from_servers;
}

}  // namespace lemonstair::simulation
