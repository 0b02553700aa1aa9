// What a node is told at its start: read, checked and given defaults here and nowhere else.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "balance/balance.h"
#include "json/json.h"
#include "net/clock.h"
#include "net/transfer.h"

namespace lemonstair::config {

// With fewer descriptors a node cannot serve.
constexpr std::size_t fewest_sockets = 32;

struct NodeConfig {
    BalancerConfig terms;
    std::string name;
    std::vector<std::string> profiles, zones;  // names, in the settings' order
    net::Address listen, discovery;
    std::optional<net::Address> peer_listen, peers_all;
    std::optional<net::Address> admin;  // where operators call
    std::size_t callers = 0;            // that may call at a time; descriptors are set aside for them
    std::optional<int> inherited;       // the clients' listening socket, where the platform holds it
    std::string nearby;                 // where the process that this one replaces is found; empty: nowhere
    std::vector<net::Address> peers;    // in the order of the nodes' numbers, this one's own among them
    Ticks connect_timeout = 0;
    std::size_t sockets = 0;  // descriptors that the node may hold
    bool reports = false;     // hosts tell their load when probed
};

// What the environment tells beside the file; what it names goes before the file's keys.
struct Environment {
    const char* admin_addr = nullptr;    // $NODE_ADMIN_ADDR
    const char* inherited_fd = nullptr;  // $NODE_INHERITED_FD
    const char* tmpdir = nullptr;        // $TMPDIR
};

// Throws json::Malformed, which names the faulty key.
NodeConfig parse_node_config(const json::Value& file, const Environment& around = {});

// Takes over what may change while the node serves. What it was started with and cannot change keeps its old
// value; the names of those keys that the new one has otherwise are given back.
std::string renew(NodeConfig& now, NodeConfig&& next);

}  // namespace lemonstair::config
