#include "config/node_config.h"

#include <algorithm>
#include <charconv>

#include "config/settings.h"

namespace lemonstair::config {

namespace {

constexpr std::uint64_t usual_sockets = 4096;
constexpr double usual_connect_timeout_s = 0.25;
constexpr std::size_t fewest_callers = 2, most_callers = 24;

net::Address read_address(const json::Value& file, std::string_view key) {
    const auto at = net::parse_address(file.text(key));
    if (!at) file.fail(key, "is not an address and a port");
    return *at;
}

std::optional<net::Address> read_address_if_any(const json::Value& file, std::string_view key) {
    if (!file.has(key)) return std::nullopt;
    return read_address(file, key);
}

// The environment is of this process alone, the file may be written once for many: the former goes first.
std::optional<net::Address> read_admin(const json::Value& file, const Environment& around) {
    if (around.admin_addr == nullptr || *around.admin_addr == '\0')
        return read_address_if_any(file, "admin_addr");
    const auto at = net::parse_address(around.admin_addr);
    if (!at) throw json::Malformed("NODE_ADMIN_ADDR is not an address and a port");
    return at;
}

std::optional<int> read_inherited(const Environment& around) {
    if (around.inherited_fd == nullptr || *around.inherited_fd == '\0') return std::nullopt;
    const std::string_view digits = around.inherited_fd;
    int fd = -1;
    const auto [stop, error] = std::from_chars(digits.data(), digits.data() + digits.size(), fd);
    if (error != std::errc{} || stop != digits.data() + digits.size() || fd < 0)
        throw json::Malformed("NODE_INHERITED_FD is not the number of a descriptor");
    return fd;
}

// A folder may be shared by the nodes of a machine: the name tells whose it is.
std::string nearby_name(const json::Value& file, const Environment& around) {
    if (around.tmpdir == nullptr || *around.tmpdir == '\0') return {};
    std::string name(file.text("listen"));
    std::replace(name.begin(), name.end(), ':', '-');
    return std::string(around.tmpdir).append("/lemonstair-").append(name);
}

std::uint64_t read_seed(const json::Value& file) {
    const auto digits = file.text("seed");
    std::uint64_t seed = 0;
    const char* end = digits.data() + digits.size();
    const auto [stop, error] = std::from_chars(digits.data(), end, seed, 16);
    if (digits.empty() || error != std::errc{} || stop != end) file.fail("seed", "is not hex digits");
    return seed;
}

void check(const json::Value& settings, const BalancerConfig& config) {
    if (config.traffic_classes.empty()) settings.fail("profiles", "names no profile");
    if (config.traffic_classes.size() > 1000) settings.fail("profiles", "holds too many");
    if (config.node_count == 0 || config.node_count > 100000) settings.fail("balancers", "is out of range");
    if (config.own_node >= config.node_count) settings.fail("me", "is not below 'balancers'");
    if (config.limits.max_attempts < 1) settings.fail("max_setups", "is not 1 or more");
    for (const auto& p : config.traffic_classes)
        if (p.client_timeout <= 0 || p.latency_objective <= 0)
            settings.fail("client_timeout", "or 'setup_goal' is not above 0");
}

}  // namespace

NodeConfig parse_node_config(const json::Value& file, const Environment& around) {
    if (file.type() != json::Type::object) throw json::Malformed("the configuration is not an object");
    NodeConfig l;
    const json::Value settings = file.inner("settings").with_context("settings"),
                      limits = file.inner("limits");
    if (!file.has("settings")) file.fail("settings", "is missing");
    l.terms = parse_settings(settings, read_seed(file));
    check(settings, l.terms);
    l.name = file.text("name", "node");
    l.listen = read_address(file, "listen");
    l.discovery = read_address(file, "discovery");
    l.admin = read_admin(file, around);
    l.inherited = read_inherited(around);
    if (l.inherited) l.nearby = nearby_name(file, around);
    l.peer_listen = read_address_if_any(file, "peer_listen");
    l.peers_all = read_address_if_any(file, "peers_all");
    file.each("peers", [&](const json::Value& one) {
        const auto at = net::parse_address(one.type() == json::Type::text ? one.raw() : "");
        if (!at) file.fail("peers", "holds what is not an address and a port");
        l.peers.push_back(*at);
    });
    if (l.terms.limits.gossip_enabled && l.terms.node_count > 1 &&
        (l.peers.size() != l.terms.node_count || !l.peer_listen))
        file.fail("peers", "does not name one address a node, or 'peer_listen' is missing");
    settings.each("profiles", [&](const json::Value& one) { l.profiles.emplace_back(one.text("name")); });
    settings.each("zones", [&](const json::Value& one) {
        if (one.type() != json::Type::text) settings.fail("zones", "holds what is not a name");
        l.zones.emplace_back(one.raw());
    });
    const json::Value allowed = settings.inner("limits");
    l.connect_timeout = down(allowed.number("connect_timeout", usual_connect_timeout_s));
    if (l.connect_timeout <= 0) allowed.fail("connect_timeout", "is not above 0");
    l.sockets = limits.whole("sockets", usual_sockets);
    if (l.sockets < fewest_sockets) limits.fail("sockets", "is under 32: too few to serve");
    if (l.admin) l.callers = std::clamp<std::size_t>(l.sockets / 16, fewest_callers, most_callers);
    // A line is answered at once whatever waits at its host: how long messages take there shows in no answer.
    l.terms.reports_message_delay = false;
    l.reports = settings.inner("report").text("via", "none") != "none";
    return l;
}

std::string renew(NodeConfig& now, NodeConfig&& next) {
    std::string kept;
    const auto keep = [&](const char* key, bool same) {
        if (!same) kept.append(kept.empty() ? "" : ", ").append(key);
        return same;
    };
    keep("listen", now.listen == next.listen);
    keep("peer_listen", now.peer_listen == next.peer_listen);
    keep("admin_addr", now.admin == next.admin);
    // Tunnels, records and other nodes go by these numbers.
    const bool alike = keep("balancers", now.terms.node_count == next.terms.node_count) &
                       keep("me", now.terms.own_node == next.terms.own_node) &
                       keep("zone", now.terms.zone == next.terms.zone && now.zones == next.zones) &
                       keep("profiles", now.profiles == next.profiles) &
                       keep("membership_mode", now.terms.must_poll == next.terms.must_poll) &
                       keep("mode", now.terms.packet_passthrough == next.terms.packet_passthrough) &
                       keep("peers", now.terms.limits.gossip_enabled == next.terms.limits.gossip_enabled);
    if (alike) {
        next.terms.seed = now.terms.seed;
        now.terms = next.terms;
        now.peers = std::move(next.peers);
        now.peers_all = next.peers_all;
        now.reports = next.reports;
        now.connect_timeout = next.connect_timeout;
    }
    now.discovery = next.discovery;
    now.sockets = next.sockets;
    return kept;
}

}  // namespace lemonstair::config
