#include "simulation/fault_catalogue.h"

#include <algorithm>

namespace lemonstair::simulation {

namespace {

using K = FaultKind;
using Target = FaultInfo::Target;

std::vector<FaultInfo> node_faults() {
    return {
        {K::node_kill, "node_kill", Target::node, true, false, false,
         "the node's process is killed; a new one starts after for_s"},
        {K::node_leave, "node_leave", Target::node, true, false, false,
         "the node gets SIGTERM, and SIGKILL 3.7 s later; a new process starts for_s after that"},
        {K::node_stall, "node_stall", Target::node, true, false, false,
         "the node's process gets no processor time for for_s"},
        {K::node_starve, "node_starve", Target::node, true, false, false,
         "the node's accept fails with ENFILE and its connect with ENOBUFS"},
        {K::node_vanish, "node_vanish", Target::node, true, false, false,
         "the node's machine is cut off from the network for for_s; its process keeps running"},
        {K::node_reload, "node_reload", Target::node, false, false, false,
         "the node gets SIGHUP with an unchanged configuration file"},
        {K::node_reload_broken, "node_reload_broken", Target::node, true, false, false,
         "the node gets SIGHUP with a truncated configuration file, and after for_s with the valid one"},
        {K::node_upgrade, "node_upgrade", Target::node, false, false, false,
         "a new process starts beside the node's process, which gets SIGTERM once the new one is healthy"},
        {K::node_upgrade_fails, "node_upgrade_fails", Target::node, true, false, false,
         "like node_upgrade, but the new process dies for_s after its start"},
        {K::node_drain, "node_drain", Target::node, true, false, false,
         "operators drain the node, and end the drain 4 s + for_s later"},
        {K::node_idle_connections, "node_callers", Target::node, false, false, true,
         "`count` connections to the admin address stay open with no request or half of one"},
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
         "the server accepts bytes and sends nothing"},
        {K::server_kill, "host_kill", Target::server, true, false, false,
         "the server's process is killed; a new one starts after for_s, in slow start"},
        {K::server_vanish, "host_vanish", Target::server, true, false, false,
         "the server's machine is cut off; after for_s it has rebooted and is in slow start"},
        {K::server_drain, "host_drain", Target::server, true, false, false,
         "the server drains, stops after for_s (at least 3 s) and starts 2 s later, in slow start"},
        {K::server_resets, "host_resets", Target::server, false, true, false,
         "the server resets the share `much` of its connections"},
        {K::server_moves_clients, "host_sends_away", Target::server, true, false, false,
         "the server sends MOVE to all its clients within for_s"},
    };
}

std::vector<FaultInfo> discovery_faults() {
    return {
        {K::discovery_down, "discovery_down", Target::none, true, false, false,
         "discovery refuses requests and resets its watches"},
        {K::discovery_silent, "discovery_silent", Target::none, true, false, false,
         "discovery leaves watches open without updates and requests unanswered; at the end all are reset"},
        {K::discovery_slow, "discovery_slow", Target::none, true, true, false,
         "each answer of discovery takes `much` seconds longer"},
        {K::discovery_corrupt, "discovery_spoilt", Target::none, false, false, true,
         "the next change is sent as no list (count 1), with an invalid entry (2) or after an outdated list "
         "(3)"},
        {K::discovery_restart, "discovery_anew", Target::none, false, false, false,
         "discovery restarts and counts revisions from 1"},
        {K::discovery_move, "discovery_move", Target::none, false, false, false,
         "another discovery with lower revisions replaces it; nodes reload; the old one stops 1.5 s later"},
        {K::discovery_unreachable, "discovery_unreachable", Target::none, true, false, false,
         "no bytes pass to or from discovery"},
        {K::discovery_mute, "discovery_mute", Target::none, true, false, false,
         "discovery sends nothing on any connection that was made before the end, also afterwards"},
        {K::discovery_cuts_answers, "discovery_cuts_answers", Target::none, true, false, true,
         "watches are reset, and each answer breaks off in its first line: with a reset (`count` 1) or with "
         "silence (2)"},
    };
}

std::vector<FaultInfo> network_faults() {
    return {
        {K::network_slow, "network_slow", Target::none, true, true, false,
         "all network delays are `much` times as long"},
        {K::datagrams_lost, "datagrams_lost", Target::none, true, true, false,
         "the share `much` of datagrams is lost"},
        {K::datagrams_late, "datagrams_late", Target::none, true, true, false,
         "datagrams arrive up to `much` seconds late and out of order"},
        {K::datagrams_old, "datagrams_old", Target::node, false, false, true,
         "up to `count` datagrams that the node sent last, also in an earlier incarnation, arrive again"},
        {K::path_cut, "path_cut", Target::node, true, false, false,
         "no bytes pass between the server and the node, or `count` nodes from this one on"},
        {K::datagrams_doubled, "datagrams_doubled", Target::none, true, true, false,
         "the share `much` of datagrams arrives twice"},
        {K::nodes_deaf, "nodes_deaf", Target::node, true, false, true,
         "`count` nodes from this one on receive no datagrams from other nodes"},
        {K::nodes_mute, "nodes_mute", Target::node, true, false, true,
         "no other node receives the datagrams of `count` nodes from this one on"},
        {K::nodes_apart, "nodes_apart", Target::node, true, false, true,
         "`count` nodes from this one on are partitioned from the rest: datagrams pass within each side "
         "only"},
        {K::nodes_cut_from_servers, "nodes_cut_from_hosts", Target::node, true, false, true,
         "no bytes pass between any server and `count` nodes from this one on"},
        {K::client_surge, "crowd", Target::none, true, false, true,
         "`count` more clients arrive within for_s"},
        {K::misbehaving_clients, "rude", Target::none, false, false, true,
         "`count` misbehaving clients of the kind `which` (0 to 9) connect; with an even count they do so "
         "again"},
    };
}

}  // namespace

// Seeds draw faults by index: a new kind that seeds draw changes the scenarios of all seeds.
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

bool is_discovery_outage(FaultKind kind) {
    return kind == FaultKind::discovery_down || kind == FaultKind::discovery_silent ||
           kind == FaultKind::discovery_unreachable || kind == FaultKind::discovery_mute ||
           kind == FaultKind::discovery_cuts_answers;
}

}  // namespace lemonstair::simulation
