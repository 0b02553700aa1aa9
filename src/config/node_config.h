// The configuration of a node: read from its file and its environment, checked and completed with defaults
// here and nowhere else. The keys of the file and the settings appear only in this package; behind it, the
// fields below are used.
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
constexpr std::size_t min_descriptors = 32;

struct NodeConfig {
    BalancerConfig balancer;
    std::string name;
    std::vector<std::string> traffic_class_names, zone_names;  // in the order of the settings
    net::Address listen, discovery;
    std::optional<net::Address> peer_listen;     // of gossip datagrams
    std::optional<net::Address> peer_broadcast;  // reaches all peers with one datagram
    std::vector<net::Address> peer_addresses;    // by node number, this node's own included
    std::optional<net::Address> admin;           // of the admin server
    std::size_t max_admin_connections = 0;       // descriptors are reserved for them
    std::optional<int> inherited_listener;       // the clients' listening socket, where the platform holds it
    std::string hot_restart_path;                // of the local socket; empty: no hot restart
    Ticks connect_timeout = 0;                   // to endpoints
    std::size_t max_descriptors = 0;             // that the node may hold
    bool load_reports_enabled = false;           // endpoints report their load to health checks
};

// Environment variables; those that are set take precedence over the file.
struct Environment {
    const char* admin_addr = nullptr;    // $NODE_ADMIN_ADDR
    const char* inherited_fd = nullptr;  // $NODE_INHERITED_FD
    const char* tmpdir = nullptr;        // $TMPDIR
};

// Throws json::Malformed, which names the faulty key or variable.
NodeConfig parse_node_config(const json::Value& file, const Environment& environment = {});

// Takes over from `reloaded` all that can change while the node serves. Returns the keys, separated by
// commas, that differ but cannot change before a restart; these keep their current values.
std::string apply_reload(NodeConfig& current, NodeConfig&& reloaded);

}  // namespace lemonstair::config
