#include "config/node_config.h"

#include <algorithm>
#include <charconv>

#include "config/settings.h"
#include "json/text.h"

namespace lemonstair::config {

namespace {

constexpr std::uint64_t default_max_descriptors = 4096;
constexpr double default_connect_timeout_s = 0.25;
// The share of the node's descriptors that the admin server gets, within the limits below.
constexpr std::size_t descriptors_per_admin_connection = 16;
constexpr std::size_t min_admin_connections = 2, max_admin_connections = 24;
constexpr std::size_t max_traffic_classes = 1000;
constexpr std::uint32_t max_nodes = 100000;

bool is_set(const char* variable) { return variable != nullptr && *variable != '\0'; }

net::Address parse_address(const json::Value& file, std::string_view key) {
    const auto address = net::parse_address(file.text(key));
    if (!address) file.fail(key, "must be an address and a port");
    return *address;
}

std::optional<net::Address> parse_optional_address(const json::Value& file, std::string_view key) {
    if (!file.has(key)) return std::nullopt;
    return parse_address(file, key);
}

// Many processes may share one file, so the environment of this process takes precedence.
std::optional<net::Address> parse_admin_address(const json::Value& file, const Environment& environment) {
    if (!is_set(environment.admin_addr)) return parse_optional_address(file, "admin_addr");
    const auto address = net::parse_address(environment.admin_addr);
    if (!address)
        throw json::Malformed("NODE_ADMIN_ADDR must be an address and a port, got " +
                              json::quoted_excerpt(environment.admin_addr));
    return address;
}

std::optional<int> parse_inherited_listener(const Environment& environment) {
    if (!is_set(environment.inherited_fd)) return std::nullopt;
    const std::string_view digits = environment.inherited_fd;
    int fd = -1;
    const auto [stop, error] = std::from_chars(digits.data(), digits.data() + digits.size(), fd);
    if (error != std::errc{} || stop != digits.data() + digits.size() || fd < 0)
        throw json::Malformed("NODE_INHERITED_FD must be the number of a descriptor, got " +
                              json::quoted_excerpt(digits));
    return fd;
}

// The nodes of a machine may share a directory, so the path of each socket contains the listen address.
std::string hot_restart_path(const json::Value& file, const Environment& environment) {
    if (!is_set(environment.tmpdir)) return {};
    std::string name(file.text("listen"));
    std::replace(name.begin(), name.end(), ':', '-');
    return std::string(environment.tmpdir).append("/lemonstair-").append(name);
}

// The seed must not appear in errors, which are logged: whoever knows it can predict the node's choices.
std::uint64_t parse_seed(const json::Value& configuration) {
    const json::Value file = configuration.without_shown_values();
    const auto digits = file.text("seed");
    std::uint64_t seed = 0;
    const char* end = digits.data() + digits.size();
    const auto [stop, error] = std::from_chars(digits.data(), end, seed, 16);
    if (digits.empty() || error != std::errc{} || stop != end)
        file.fail("seed", "must be a 64-bit number in hex digits");
    return seed;
}

void check(const json::Value& settings, const BalancerConfig& config) {
    if (config.traffic_classes.empty()) settings.fail("profiles", "must hold at least one profile");
    if (config.traffic_classes.size() > max_traffic_classes)
        settings.fail("profiles", "must hold at most " + std::to_string(max_traffic_classes) +
                                      " profiles, got " + std::to_string(config.traffic_classes.size()));
    if (config.node_count == 0 || config.node_count > max_nodes)
        settings.fail("balancers", "must be from 1 to " + std::to_string(max_nodes));
    if (config.own_node >= config.node_count)
        settings.fail("me", "must be below 'balancers', which is " + std::to_string(config.node_count));
    if (config.limits.max_attempts < 1) settings.fail("max_setups", "must be from 1 to 2147483647");
    for (const auto& traffic_class : config.traffic_classes)
        if (traffic_class.client_timeout <= 0 || traffic_class.latency_objective <= 0)
            settings.fail("client_timeout", "and 'setup_goal' of each profile must be at least 0.0001 s");
}

void parse_peers(const json::Value& file, NodeConfig& config) {
    config.peer_listen = parse_optional_address(file, "peer_listen");
    config.peer_broadcast = parse_optional_address(file, "peers_all");
    file.for_each("peers", [&](const json::Value& entry) {
        const auto address = net::parse_address(entry.type() == json::Type::text ? entry.raw() : "");
        if (!address)
            file.fail("peers",
                      "must be a list of addresses with ports, got " + json::quoted_excerpt(entry.raw()));
        config.peer_addresses.push_back(*address);
    });
    const bool has_peers = config.balancer.limits.gossip_enabled && config.balancer.node_count > 1;
    if (has_peers && (config.peer_addresses.size() != config.balancer.node_count || !config.peer_listen))
        file.fail("peers", "must list one address for each of the " +
                               std::to_string(config.balancer.node_count) + " nodes, got " +
                               std::to_string(config.peer_addresses.size()) +
                               "; 'peer_listen' must be set, too");
}

void parse_names(const json::Value& settings, NodeConfig& config) {
    settings.for_each("profiles", [&](const json::Value& profile) {
        config.traffic_class_names.emplace_back(profile.text("name"));
    });
    settings.for_each("zones", [&](const json::Value& zone) {
        if (zone.type() != json::Type::text) settings.fail("zones", "must be a list of strings");
        config.zone_names.emplace_back(zone.raw());
    });
}

}  // namespace

NodeConfig parse_node_config(const json::Value& file, const Environment& environment) {
    if (file.type() != json::Type::object) throw json::Malformed("the configuration must be an object");
    NodeConfig config;
    const json::Value settings = file.object("settings").with_context("settings");
    const json::Value limits = file.object("limits");
    if (!file.has("settings")) file.fail("settings", "is missing, expected an object");
    config.balancer = parse_settings(settings, parse_seed(file));
    check(settings, config.balancer);
    config.name = file.text("name", "node");
    config.listen = parse_address(file, "listen");
    config.discovery = parse_address(file, "discovery");
    config.admin = parse_admin_address(file, environment);
    config.inherited_listener = parse_inherited_listener(environment);
    if (config.inherited_listener) config.hot_restart_path = hot_restart_path(file, environment);
    parse_peers(file, config);
    parse_names(settings, config);
    const json::Value setting_limits = settings.object("limits");
    config.connect_timeout =
        round_down_to_ticks(setting_limits.number("connect_timeout", default_connect_timeout_s));
    if (config.connect_timeout <= 0) setting_limits.fail("connect_timeout", "must be at least 0.0001 s");
    config.max_descriptors = limits.uint64("sockets", default_max_descriptors);
    if (config.max_descriptors < min_descriptors)
        limits.fail("sockets", "must be at least 32, which a node needs to serve");
    if (config.admin)
        config.max_admin_connections =
            std::clamp<std::size_t>(config.max_descriptors / descriptors_per_admin_connection,
                                    min_admin_connections, max_admin_connections);
    // An endpoint answers a health check at once, however many messages wait there. So the answer says
    // nothing about the delay of messages.
    config.balancer.reports_message_delay = false;
    config.load_reports_enabled = settings.object("report").text("via", "none") != "none";
    return config;
}

std::string apply_reload(NodeConfig& current, NodeConfig&& reloaded) {
    std::string unchanged_keys;
    const auto check_same = [&](const char* key, bool same) {
        if (!same) unchanged_keys.append(unchanged_keys.empty() ? "" : ", ").append(key);
        return same;
    };
    check_same("listen", current.listen == reloaded.listen);
    check_same("peer_listen", current.peer_listen == reloaded.peer_listen);
    check_same("admin_addr", current.admin == reloaded.admin);
    // Tunnels, records and other nodes refer to nodes, zones and traffic classes by number, so these must not
    // change. The operator & does not stop at the first difference, so that all keys that differ are named.
    const BalancerConfig &now = current.balancer, &next = reloaded.balancer;
    const bool compatible =
        check_same("balancers", now.node_count == next.node_count) &
        check_same("me", now.own_node == next.own_node) &
        check_same("zone", now.zone == next.zone && current.zone_names == reloaded.zone_names) &
        check_same("profiles", current.traffic_class_names == reloaded.traffic_class_names) &
        check_same("membership_mode", now.must_poll == next.must_poll) &
        check_same("mode", now.packet_passthrough == next.packet_passthrough) &
        check_same("peers", now.limits.gossip_enabled == next.limits.gossip_enabled);
    if (compatible) {
        reloaded.balancer.seed = current.balancer.seed;
        current.balancer = reloaded.balancer;
        current.peer_addresses = std::move(reloaded.peer_addresses);
        current.peer_broadcast = reloaded.peer_broadcast;
        current.load_reports_enabled = reloaded.load_reports_enabled;
        current.connect_timeout = reloaded.connect_timeout;
    }
    current.discovery = reloaded.discovery;
    current.max_descriptors = reloaded.max_descriptors;
    return unchanged_keys;
}

}  // namespace lemonstair::config
