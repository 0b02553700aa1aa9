// Placement where nodes may not gossip and mostly endpoints report no load.
#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <string>
#include <utility>
#include <vector>

#include "balancer_fixture.h"

using namespace fake;

namespace {

// Another customer's fleet: gossip is off, endpoints report no load.
BalancerConfig mute(std::uint32_t me) {
    auto config = BalancerFixture::default_config(me, 3);
    config.limits.gossip_enabled = config.limits.health_checks_enabled = false;
    config.packet_passthrough = true;
    config.costs.cross_zone = 0.01;
    config.seed = me + 1;
    return config;
}

BalancerConfig mute_groups(std::uint32_t me) {
    auto config = mute(me);
    config.groups_enabled = true;
    return config;
}

}  // namespace

TEST_CASE("without gossip a mid-flow tunnel's endpoint is found by its key") {
    BalancerFixture a(mute(0)), b(mute(1));
    for (auto* n : {&a, &b}) n->set_endpoints({1, 2, 3, 4, 5, 6, 7, 8});
    std::vector<int> used(9);
    for (std::uint64_t t = 1; t <= 40; ++t) {
        for (auto* n : {&a, &b}) n->advance(3 * s);
        a.on_request(t, key_of(t));
        const auto ep = a.last_attempt().endpoint;
        ++used[ep];
        a.open(t);
        b.on_request(100 + t, key_of(t), true);
        REQUIRE(b.attempts_of(100 + t) == 1);
        CHECK(b.last_attempt().endpoint == ep);
    }
    CHECK(std::count(used.begin(), used.end(), 0) <= 2);
    CHECK(a.gossip.empty());
}

TEST_CASE("without load reports endpoints of another zone take a part, though crossing zones has a cost") {
    BalancerFixture n(mute(0));
    n.balancer->begin_endpoint_list(EndpointListKind::complete);
    for (std::uint32_t i = 1; i <= 8; ++i) n.balancer->add_endpoint(i, i % 2, 0, EndpointState::active, 1, 0);
    n.balancer->end_endpoint_list();
    int far = 0;
    for (std::uint64_t t = 1; t <= 200; ++t) {
        n.advance(1 * s);
        n.on_request(t, key_of(t));
        far += n.last_attempt().endpoint % 2 != 0 ? 1 : 0;
        n.open(t);
    }
    CHECK(far >= 40);
    CHECK(far < 100);  // but the node's own zone goes first
}

TEST_CASE("without load reports a group shares a few endpoints from the first second") {
    std::array<BalancerFixture, 3> nodes{BalancerFixture(mute_groups(0)), BalancerFixture(mute_groups(1)),
                                         BalancerFixture(mute_groups(2))};
    std::vector<std::uint32_t> endpoints(40);
    for (std::uint32_t i = 0; i < 40; ++i) endpoints[i] = 1001 + 17 * i;
    for (auto& n : nodes) n.set_endpoints(endpoints);
    std::vector<std::vector<std::uint32_t>> used(5);
    for (std::uint64_t t = 1; t <= 200; ++t) {
        BalancerFixture& n = nodes[t % 3];
        for (auto& each : nodes) each.advance(20 * ms);
        const std::string key = key_of(t), group = group_of(t % 5);
        n.balancer->on_request(t, {.key = key, .group = group, .deadline = n.now + 3 * s});
        REQUIRE(n.attempts_of(t) == 1);
        used[t % 5].push_back(n.last_attempt().endpoint);
        n.open(t);
        // Another node finds it by its key and its group.
        BalancerFixture& other = nodes[(t + 1) % 3];
        other.balancer->on_request(1000 + t,
                                   {.key = key, .group = group, .deadline = n.now + 3 * s, .mid_flow = true});
        CHECK(other.last_attempt().endpoint == n.last_attempt().endpoint);
        other.open(1000 + t);
        other.end(1000 + t, Outcome::ok, true);
    }
    for (auto& at : used) {
        std::sort(at.begin(), at.end());
        at.erase(std::unique(at.begin(), at.end()), at.end());
        CHECK(at.size() <= 4);
        CHECK(at.size() >= 3);  // a big group is not for one
    }
}

TEST_CASE("without load reports slow-start budgets are used and not exceeded") {
    auto config = mute_groups(0);
    config.rules.slow_start_duration = 20 * s;
    config.rules.slow_start_initial_factor = 0.2;
    BalancerFixture n(config);
    n.set_endpoints({1, 2, 3, 4, 5, 6, 7, 8});
    n.advance(30 * s);
    n.balancer->begin_endpoint_list(EndpointListKind::changes);
    for (std::uint32_t i = 11; i <= 18; ++i)
        n.balancer->add_endpoint(i, 0, 0, EndpointState::active, 1, n.now);
    n.balancer->end_endpoint_list();
    int cold_ones = 0;
    for (std::uint64_t t = 1; t <= 300; ++t) {
        n.advance(50 * ms);
        const std::string key = key_of(t), group = group_of(t % 40);
        n.balancer->on_request(t, {.key = key, .group = group, .deadline = n.now + 3 * s});
        REQUIRE(n.attempts_of(t) == 1);
        cold_ones += n.last_attempt().endpoint > 10 ? 1 : 0;
        n.open(t);
    }
    CHECK(cold_ones >= 60);  // the budget of eight, dealt to three nodes, is some 120
    CHECK(cold_ones < 200);
}

TEST_CASE(
    "without reports, when open tunnels are cut off, the node sheds load, uses new endpoints and recovers") {
    auto config = mute_groups(0);
    config.rules.slow_start_duration = 20 * s;
    config.rules.slow_start_initial_factor = 0.2;
    BalancerFixture n(config);
    std::vector<std::uint32_t> endpoints(30);
    for (std::uint32_t i = 0; i < 30; ++i) endpoints[i] = i + 1;
    n.set_endpoints(endpoints);
    n.advance(30 * s);
    std::uint64_t t = 0;
    // Ten tunnels a second; what is sent to the old endpoints lives for 0.2 s.
    const auto come = [&](int tunnels, bool cut) {
        const auto sent_before = n.attempts.size(), declined_before = n.rejected.size();
        for (int i = 0; i < tunnels; ++i) {
            ++t;
            n.on_request(t, key_of(t));
            if (n.attempts_of(t) > 0) {
                n.open(t);
                const bool old = n.last_attempt().endpoint <= 30;
                n.advance(100 * ms);
                if (old && cut)
                    n.end(t, Outcome::connection_lost, true);
                else
                    n.advance(100 * ms);
            }
            n.advance(100 * ms);
        }
        return std::pair(n.attempts.size() - sent_before, n.rejected.size() - declined_before);
    };
    const auto [before, declined] = come(100, false);
    CHECK(before == 100);
    CHECK(declined == 0);
    static_cast<void>(come(30, true));
    const auto [storm, held_back] = come(200, true);
    CHECK(storm < 60);
    CHECK(storm > 2);  // it finds out from time to time
    CHECK(held_back + storm == 200);
    n.balancer->begin_endpoint_list(EndpointListKind::changes);
    for (std::uint32_t i = 41; i <= 70; ++i)
        n.balancer->add_endpoint(i, 0, 0, EndpointState::active, 1, n.now);
    n.balancer->end_endpoint_list();
    const auto from = n.attempts.size();
    static_cast<void>(come(100, true));
    CHECK(std::count_if(n.attempts.begin() + static_cast<std::ptrdiff_t>(from), n.attempts.end(),
                        [](const Attempt& x) { return x.endpoint > 40; }) >= 40);
    static_cast<void>(come(30, false));
    const auto [after, still] = come(100, false);
    CHECK(after >= 95);
    CHECK(still <= 5);
}

TEST_CASE("without load reports an endpoint that cuts a tunnel off gets no other for a while") {
    BalancerFixture n(mute(0));
    n.set_endpoints({1, 2, 3, 4});
    n.on_request(1, "first");
    const auto full = n.last_attempt().endpoint;
    n.open(1);
    n.end(1, Outcome::connection_lost, true);
    const auto sent_there = [&](std::uint64_t from) {
        for (std::uint64_t t = from; t < from + 40; ++t) {
            n.on_request(t, key_of(t));
            n.open(t);
            n.end(t, Outcome::ok, true);
        }
        return std::count_if(n.attempts.end() - 40, n.attempts.end(),
                             [&](const Attempt& x) { return x.endpoint == full; });
    };
    n.advance(1 * s);
    CHECK(sent_there(100) == 0);
    n.advance(16 * s);
    CHECK(sent_there(200) > 0);
}

TEST_CASE("a client that reconnects is placed anew: its key does not pin it to one endpoint") {
    BalancerFixture n(mute(0));
    n.set_endpoints({1, 2, 3, 4, 5, 6, 7, 8});
    std::vector<int> used(9);
    for (std::uint64_t t = 1; t <= 40; ++t) {
        n.advance(3 * s);
        n.balancer->on_request(t, {.key = "k", .group = {}, .deadline = n.now + 3 * s, .reconnect = true});
        ++used[n.last_attempt().endpoint];
        n.open(t);
        n.end(t, Outcome::ok, true);
    }
    CHECK(std::count_if(used.begin(), used.end(), [](int x) { return x > 0; }) >= 4);
}

TEST_CASE("without gossip nodes do not all choose the endpoint with the lowest reported load") {
    auto config = mute(0);
    config.limits.health_checks_enabled = true;
    std::vector<std::uint32_t> endpoints(20);
    for (std::uint32_t i = 0; i < 20; ++i) endpoints[i] = i + 1;
    BalancerFixture n(config);
    n.set_endpoints(endpoints);
    std::vector<int> used(21);
    for (std::uint64_t t = 1; t <= 400; ++t) {
        n.advance(20 * ms);
        for (const auto p : std::exchange(n.health_checks, {})) {
            LoadReport r;
            r.load = p == 7 ? 0.1 : p == 9 ? 0.95 : 0.45;
            n.balancer->on_health_check(p, Outcome::ok, ms, r);
        }
        n.on_request(t, key_of(t));
        n.open(t);
        ++used[n.last_attempt().endpoint];
        n.end(t, Outcome::ok, true);
    }
    CHECK(used[7] >= 20);  // an even share is 20
    CHECK(used[7] < 80);
    CHECK(used[9] < 10);
}

TEST_CASE("without gossip the first health checks are spread over their interval") {
    auto config = BalancerFixture::default_config(0, 300);
    config.limits.gossip_enabled = false;
    config.costs.health_check = 0.004;
    BalancerFixture n(config);
    std::vector<std::uint32_t> endpoints(80);
    for (std::uint32_t i = 0; i < 80; ++i) endpoints[i] = i + 1;
    n.set_endpoints(endpoints, EndpointListKind::cached);
    std::vector<std::size_t> by;
    for (int i = 0; i < 8; ++i) {
        n.advance(1 * s);
        by.push_back(n.health_checks.size());
        for (const auto p : n.health_checks) n.balancer->on_health_check(p, Outcome::ok, ms, {});
    }
    CHECK(by[3] >= 20);
    CHECK(by[3] <= 60);
    CHECK(by[7] >= 75);
}

TEST_CASE("a group named by a client is ignored where the settings have none") {
    auto config = mute(0);
    BalancerFixture n(config);
    n.set_endpoints({1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12});
    std::vector<int> used(13);
    for (std::uint64_t t = 1; t <= 200; ++t) {
        n.advance(50 * ms);
        const std::string key = key_of(t);
        n.balancer->on_request(t, {.key = key, .group = "0000000000000000", .deadline = n.now + 3 * s});
        n.open(t);
        ++used[n.last_attempt().endpoint];
    }
    CHECK(std::count(used.begin() + 1, used.end(), 0) == 0);
}

TEST_CASE("without gossip each node checks the health of all endpoints itself") {
    auto config = mute(0);
    config.limits.health_checks_enabled = true;
    BalancerFixture n(config);
    std::vector<std::uint32_t> endpoints(16);
    for (std::uint32_t i = 0; i < 16; ++i) endpoints[i] = i + 1;
    n.set_endpoints(endpoints);
    std::vector<int> probed(17);
    for (int i = 0; i < 60; ++i) {
        n.advance(100 * ms);
        for (const auto p : n.health_checks) ++probed[p];
        n.answer_health_checks(0.5);
    }
    CHECK(std::count(probed.begin() + 1, probed.end(), 0) == 0);
    CHECK(*std::min_element(probed.begin() + 1, probed.end()) >= 2);
}
