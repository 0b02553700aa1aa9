// Placement in a fleet whose nodes may not gossip and whose endpoints, in most cases, report no load. A node
// then sees only a part of the tunnels. It must neither follow the one low load that it sees nor use too few
// endpoints, and must still find the endpoint of a tunnel that arrives mid-flow.
#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <string>
#include <utility>
#include <vector>

#include "balancer_fixture.h"

using namespace fake;

namespace {

// One of three nodes without gossip and without health checks, which are the source of load reports.
BalancerConfig config_without_gossip(std::uint32_t own_node) {
    auto config = BalancerFixture::default_config(own_node, 3);
    config.limits.gossip_enabled = config.limits.health_checks_enabled = false;
    config.packet_passthrough = true;
    config.costs.cross_zone = 0.01;
    config.seed = own_node + 1;
    return config;
}

BalancerConfig config_with_groups(std::uint32_t own_node) {
    auto config = config_without_gossip(own_node);
    config.groups_enabled = true;
    return config;
}

}  // namespace

TEST_CASE("without gossip the endpoint of a mid-flow tunnel is found by its key") {
    BalancerFixture node_a(config_without_gossip(0)), node_b(config_without_gossip(1));
    for (auto* node : {&node_a, &node_b}) node->set_endpoints({1, 2, 3, 4, 5, 6, 7, 8});
    std::vector<int> used(9);
    for (std::uint64_t tunnel = 1; tunnel <= 40; ++tunnel) {
        for (auto* node : {&node_a, &node_b}) node->advance(3 * s);
        node_a.on_request(tunnel, key_of(tunnel));
        const auto endpoint = node_a.last_attempt().endpoint;
        ++used[endpoint];
        node_a.open(tunnel);
        node_b.on_request(100 + tunnel, key_of(tunnel), true);
        REQUIRE(node_b.attempts_of(100 + tunnel) == 1);
        CHECK(node_b.last_attempt().endpoint == endpoint);
    }
    CHECK(std::count(used.begin(), used.end(), 0) <= 2);
    CHECK(node_a.gossip.empty());
}

TEST_CASE("without load reports endpoints in another zone get some tunnels despite the cost of crossing") {
    BalancerFixture node(config_without_gossip(0));
    node.balancer->begin_endpoint_list(EndpointListKind::complete);
    for (std::uint32_t i = 1; i <= 8; ++i)
        node.balancer->add_endpoint(i, i % 2, 0, EndpointState::active, 1, 0);
    node.balancer->end_endpoint_list();
    int in_other_zone = 0;
    for (std::uint64_t tunnel = 1; tunnel <= 200; ++tunnel) {
        node.advance(1 * s);
        node.on_request(tunnel, key_of(tunnel));
        in_other_zone += node.last_attempt().endpoint % 2 != 0 ? 1 : 0;
        node.open(tunnel);
    }
    CHECK(in_other_zone >= 40);
    CHECK(in_other_zone < 100);  // the node's own zone is preferred
}

TEST_CASE("without load reports the tunnels of a group share a few endpoints from the first second") {
    std::array<BalancerFixture, 3> nodes{BalancerFixture(config_with_groups(0)),
                                         BalancerFixture(config_with_groups(1)),
                                         BalancerFixture(config_with_groups(2))};
    std::vector<std::uint32_t> endpoints(40);
    for (std::uint32_t i = 0; i < 40; ++i) endpoints[i] = 1001 + 17 * i;
    for (auto& node : nodes) node.set_endpoints(endpoints);
    std::vector<std::vector<std::uint32_t>> used(5);
    for (std::uint64_t tunnel = 1; tunnel <= 200; ++tunnel) {
        BalancerFixture& node = nodes[tunnel % 3];
        for (auto& each : nodes) each.advance(20 * ms);
        const std::string key = key_of(tunnel), group = group_of(tunnel % 5);
        node.balancer->on_request(tunnel, {.key = key, .group = group, .deadline = node.now + 3 * s});
        REQUIRE(node.attempts_of(tunnel) == 1);
        used[tunnel % 5].push_back(node.last_attempt().endpoint);
        node.open(tunnel);
        // Another node finds the endpoint by the key and the group.
        BalancerFixture& other = nodes[(tunnel + 1) % 3];
        other.balancer->on_request(
            1000 + tunnel, {.key = key, .group = group, .deadline = node.now + 3 * s, .mid_flow = true});
        CHECK(other.last_attempt().endpoint == node.last_attempt().endpoint);
        other.open(1000 + tunnel);
        other.end(1000 + tunnel, Outcome::ok, true);
    }
    for (auto& of_group : used) {
        std::sort(of_group.begin(), of_group.end());
        of_group.erase(std::unique(of_group.begin(), of_group.end()), of_group.end());
        CHECK(of_group.size() <= 4);
        CHECK(of_group.size() >= 3);  // a large group is too much load for one endpoint
    }
}

TEST_CASE("without load reports slow-start quotas are used and not exceeded") {
    auto config = config_with_groups(0);
    config.rules.slow_start_duration = 20 * s;
    config.rules.slow_start_initial_factor = 0.2;
    BalancerFixture node(config);
    node.set_endpoints({1, 2, 3, 4, 5, 6, 7, 8});
    node.advance(30 * s);
    node.balancer->begin_endpoint_list(EndpointListKind::changes);
    for (std::uint32_t i = 11; i <= 18; ++i)
        node.balancer->add_endpoint(i, 0, 0, EndpointState::active, 1, node.now);
    node.balancer->end_endpoint_list();
    int in_slow_start = 0;
    for (std::uint64_t tunnel = 1; tunnel <= 300; ++tunnel) {
        node.advance(50 * ms);
        const std::string key = key_of(tunnel), group = group_of(tunnel % 40);
        node.balancer->on_request(tunnel, {.key = key, .group = group, .deadline = node.now + 3 * s});
        REQUIRE(node.attempts_of(tunnel) == 1);
        in_slow_start += node.last_attempt().endpoint > 10 ? 1 : 0;
        node.open(tunnel);
    }
    CHECK(in_slow_start >= 60);  // this node's third of the quota of eight endpoints is about 120
    CHECK(in_slow_start < 200);
}

TEST_CASE("without reports a node sheds load when connections are lost, uses new endpoints and recovers") {
    auto config = config_with_groups(0);
    config.rules.slow_start_duration = 20 * s;
    config.rules.slow_start_initial_factor = 0.2;
    BalancerFixture node(config);
    std::vector<std::uint32_t> endpoints(30);
    for (std::uint32_t i = 0; i < 30; ++i) endpoints[i] = i + 1;
    node.set_endpoints(endpoints);
    node.advance(30 * s);
    std::uint64_t tunnel = 0;
    // Requests tunnels one after another: a rejected one takes 100 ms, others 200 or 300 ms. With `cut`,
    // tunnels to the old endpoints lose their connections after 100 ms. Returns how many tunnels were sent
    // and how many were rejected.
    const auto request = [&](int tunnels, bool cut) {
        const auto sent_before = node.attempts.size(), rejected_before = node.rejected.size();
        for (int i = 0; i < tunnels; ++i) {
            ++tunnel;
            node.on_request(tunnel, key_of(tunnel));
            if (node.attempts_of(tunnel) > 0) {
                node.open(tunnel);
                const bool to_old_endpoint = node.last_attempt().endpoint <= 30;
                node.advance(100 * ms);
                if (to_old_endpoint && cut)
                    node.end(tunnel, Outcome::connection_lost, true);
                else
                    node.advance(100 * ms);
            }
            node.advance(100 * ms);
        }
        return std::pair(node.attempts.size() - sent_before, node.rejected.size() - rejected_before);
    };
    const auto [sent_at_first, rejected_at_first] = request(100, false);
    CHECK(sent_at_first == 100);
    CHECK(rejected_at_first == 0);
    static_cast<void>(request(30, true));
    const auto [sent_in_overload, rejected_in_overload] = request(200, true);
    CHECK(sent_in_overload < 60);
    CHECK(sent_in_overload > 2);  // a few are let through, so that recovery is noticed
    CHECK(rejected_in_overload + sent_in_overload == 200);
    node.balancer->begin_endpoint_list(EndpointListKind::changes);
    for (std::uint32_t i = 41; i <= 70; ++i)
        node.balancer->add_endpoint(i, 0, 0, EndpointState::active, 1, node.now);
    node.balancer->end_endpoint_list();
    const auto attempts_before = node.attempts.size();
    static_cast<void>(request(100, true));
    CHECK(std::count_if(node.attempts.begin() + static_cast<std::ptrdiff_t>(attempts_before),
                        node.attempts.end(),
                        [](const Attempt& attempt) { return attempt.endpoint > 40; }) >= 40);
    static_cast<void>(request(30, false));
    const auto [sent_at_last, rejected_at_last] = request(100, false);
    CHECK(sent_at_last >= 95);
    CHECK(rejected_at_last <= 5);
}

TEST_CASE("without load reports an endpoint that loses an open tunnel gets no new ones for a while") {
    BalancerFixture node(config_without_gossip(0));
    node.set_endpoints({1, 2, 3, 4});
    node.on_request(1, "first");
    const auto overloaded = node.last_attempt().endpoint;
    node.open(1);
    node.end(1, Outcome::connection_lost, true);
    const auto sent_to_it = [&](std::uint64_t first_tunnel) {
        for (std::uint64_t tunnel = first_tunnel; tunnel < first_tunnel + 40; ++tunnel) {
            node.on_request(tunnel, key_of(tunnel));
            node.open(tunnel);
            node.end(tunnel, Outcome::ok, true);
        }
        return std::count_if(node.attempts.end() - 40, node.attempts.end(),
                             [&](const Attempt& attempt) { return attempt.endpoint == overloaded; });
    };
    node.advance(1 * s);
    CHECK(sent_to_it(100) == 0);
    node.advance(16 * s);
    CHECK(sent_to_it(200) > 0);
}

TEST_CASE("a client that reconnects is placed anew; its key does not tie it to one endpoint") {
    BalancerFixture node(config_without_gossip(0));
    node.set_endpoints({1, 2, 3, 4, 5, 6, 7, 8});
    std::vector<int> used(9);
    for (std::uint64_t tunnel = 1; tunnel <= 40; ++tunnel) {
        node.advance(3 * s);
        node.balancer->on_request(tunnel,
                                  {.key = "k", .group = {}, .deadline = node.now + 3 * s, .reconnect = true});
        ++used[node.last_attempt().endpoint];
        node.open(tunnel);
        node.end(tunnel, Outcome::ok, true);
    }
    CHECK(std::count_if(used.begin(), used.end(), [](int tunnels) { return tunnels > 0; }) >= 4);
}

TEST_CASE("without gossip nodes do not all choose the endpoint with the lowest reported load") {
    auto config = config_without_gossip(0);
    config.limits.health_checks_enabled = true;
    std::vector<std::uint32_t> endpoints(20);
    for (std::uint32_t i = 0; i < 20; ++i) endpoints[i] = i + 1;
    BalancerFixture node(config);
    node.set_endpoints(endpoints);
    std::vector<int> used(21);
    for (std::uint64_t tunnel = 1; tunnel <= 400; ++tunnel) {
        node.advance(20 * ms);
        for (const auto endpoint : std::exchange(node.health_checks, {})) {
            LoadReport report;
            report.load = endpoint == 7 ? 0.1 : endpoint == 9 ? 0.95 : 0.45;
            node.balancer->on_health_check(endpoint, Outcome::ok, ms, report);
        }
        node.on_request(tunnel, key_of(tunnel));
        node.open(tunnel);
        ++used[node.last_attempt().endpoint];
        node.end(tunnel, Outcome::ok, true);
    }
    CHECK(used[7] >= 20);  // an even share is 20
    CHECK(used[7] < 80);
    CHECK(used[9] < 10);
}

TEST_CASE("without gossip the first health checks are spread over their interval") {
    auto config = BalancerFixture::default_config(0, 300);
    config.limits.gossip_enabled = false;
    config.costs.health_check = 0.004;
    BalancerFixture node(config);
    std::vector<std::uint32_t> endpoints(80);
    for (std::uint32_t i = 0; i < 80; ++i) endpoints[i] = i + 1;
    node.set_endpoints(endpoints, EndpointListKind::cached);
    std::vector<std::size_t> checks_by_second;  // since the start
    for (int i = 0; i < 8; ++i) {
        node.advance(1 * s);
        checks_by_second.push_back(node.health_checks.size());
        for (const auto endpoint : node.health_checks)
            node.balancer->on_health_check(endpoint, Outcome::ok, ms, {});
    }
    CHECK(checks_by_second[3] >= 20);
    CHECK(checks_by_second[3] <= 60);
    CHECK(checks_by_second[7] >= 75);
}

TEST_CASE("the group in a client's request is ignored if groups are not enabled") {
    auto config = config_without_gossip(0);
    BalancerFixture node(config);
    node.set_endpoints({1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12});
    std::vector<int> used(13);
    for (std::uint64_t tunnel = 1; tunnel <= 200; ++tunnel) {
        node.advance(50 * ms);
        const std::string key = key_of(tunnel);
        node.balancer->on_request(tunnel,
                                  {.key = key, .group = "0000000000000000", .deadline = node.now + 3 * s});
        node.open(tunnel);
        ++used[node.last_attempt().endpoint];
    }
    CHECK(std::count(used.begin() + 1, used.end(), 0) == 0);
}

TEST_CASE("without gossip each node checks the health of all endpoints itself") {
    auto config = config_without_gossip(0);
    config.limits.health_checks_enabled = true;
    BalancerFixture node(config);
    std::vector<std::uint32_t> endpoints(16);
    for (std::uint32_t i = 0; i < 16; ++i) endpoints[i] = i + 1;
    node.set_endpoints(endpoints);
    std::vector<int> health_checks(17);
    for (int i = 0; i < 60; ++i) {
        node.advance(100 * ms);
        for (const auto endpoint : node.health_checks) ++health_checks[endpoint];
        node.answer_health_checks(0.5);
    }
    CHECK(std::count(health_checks.begin() + 1, health_checks.end(), 0) == 0);
    CHECK(*std::min_element(health_checks.begin() + 1, health_checks.end()) >= 2);
}
