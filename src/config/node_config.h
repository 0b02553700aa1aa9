/// The configuration of a node. The file and the environment are decoded, checked and completed with defaults
/// here and nowhere else. Only this directory knows the keys of the file and of the settings; all other code
/// uses the fields below.
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

/// A node cannot serve with fewer descriptors.
constexpr std::size_t min_descriptors = 32;

/// The checked configuration of a node. Times are in ticks of a tenth of a millisecond.
struct NodeConfig {
    BalancerConfig balancer;
    std::string name;
    std::vector<std::string> traffic_class_names, zone_names;  // in the order of the settings
    net::Address listen, discovery;
    std::optional<net::Address> peer_listen;     // receives gossip datagrams
    std::optional<net::Address> peer_broadcast;  // a datagram to it reaches all peers
    std::vector<net::Address> peer_addresses;    // by node number, including this node's own
    std::optional<net::Address> admin;           // of the admin server; none: no admin server
    std::size_t max_admin_connections = 0;       // for which descriptors are reserved
    std::optional<int> inherited_listener;       // the clients' listening socket, if the platform passed one
    std::string hot_restart_path;                // of the local socket; empty: no hot restart
    Ticks connect_timeout = 0;                   // to endpoints
    std::size_t max_descriptors = 0;             // the most that the node may have open
    bool load_reports_enabled = false;           // health checks ask endpoints for their load
};

/// Environment variables. One that is set takes precedence over the file; null and empty mean that it is not
/// set.
struct Environment {
    const char* admin_addr = nullptr;    // $NODE_ADMIN_ADDR
    const char* inherited_fd = nullptr;  // $NODE_INHERITED_FD
    const char* tmpdir = nullptr;        // $TMPDIR
};

/// Decodes and checks the configuration. Throws json::Malformed, which names the invalid key or variable.
NodeConfig parse_node_config(const json::Value& file, const Environment& environment = {});

/// Copies from `reloaded` to `current` what can change while the node serves. Returns the keys, separated by
/// commas, that differ but cannot change before a restart; these keep their current values.
std::string apply_reload(NodeConfig& current, NodeConfig&& reloaded);

}  // namespace lemonstair::config
