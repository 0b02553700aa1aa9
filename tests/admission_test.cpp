// Tests of admission control: which tunnels are rejected in an overload, and when this ends.
#include <doctest/doctest.h>

#include "balancer_fixture.h"

using namespace fake;

// Every setup fails, for instance because a shared store is past its rate. Attempts of all clients and their
// retries would prolong the congestion. After the failures have ended, tunnels must be accepted again soon.
TEST_CASE("while all setups fail few attempts are sent and the other tunnels are rejected at once") {
    BalancerFixture node;
    node.set_endpoints({7, 8, 9});
    std::uint64_t tunnel = 1;
    for (int i = 0; i < 50; ++i) {
        for (int k = 0; k < 10; ++k, ++tunnel) {
            const auto before = node.attempts.size();
            node.on_request(tunnel);
            for (auto done = before; done < node.attempts.size(); ++done) node.end(tunnel, Outcome::error);
        }
        node.advance(100 * ms);
    }
    CHECK(node.attempts.size() < 60);
    CHECK(node.rejected.size() == tunnel - 1);
    const auto before = node.rejected.size();
    node.advance(3 * s);  // the failures have ended
    for (int i = 0; i < 30; ++i, ++tunnel) {
        node.on_request(tunnel);
        node.open(tunnel);
        node.advance(100 * ms);
    }
    CHECK(node.rejected.size() - before < 10);
}

// Tunnels arrive faster than the endpoints can carry them. If they were rejected regardless of load and
// priority, a few heavy tunnels would displace many important ones.
TEST_CASE(
    "in an overload heavy tunnels of low priority are rejected and light ones of high priority are placed") {
    auto config = BalancerFixture::default_config();
    config.traffic_classes = {BalancerFixture::traffic_class(), BalancerFixture::traffic_class()};
    config.traffic_classes[1].priority_weight = 10;
    BalancerFixture node(config);
    node.set_endpoints({7, 8});
    std::uint64_t tunnel = 1;
    const auto arrive = [&](std::uint32_t traffic_class_index) {
        node.balancer->on_request(
            tunnel,
            {.key = {}, .group = {}, .deadline = node.now + 3 * s, .traffic_class = traffic_class_index});
        const bool placed = node.attempts_of(tunnel) == 1;
        if (placed) {
            node.open(tunnel);
            node.balancer->on_load_changed(tunnel, traffic_class_index == 0 ? 0.2 : 0.01);
        }
        ++tunnel;
        return placed;
    };
    bool heavy = true;
    for (int i = 0; i < 40; ++i) {
        arrive(1);
        heavy = arrive(0);
        node.advance(100 * ms);
    }
    CHECK(!heavy);
    CHECK(arrive(1));
    CHECK(node.rejected.size() > 10);
}

// Two of five endpoints refuse connections. Admission control must not take these failures for a congestion
// of all endpoints and reject tunnels that the other three can carry.
TEST_CASE("while two of five endpoints refuse connections no tunnel is rejected") {
    BalancerFixture node;
    node.set_endpoints({1, 2, 3, 4, 5});
    for (std::uint64_t tunnel = 1; tunnel <= 30; ++tunnel) node.on_request(tunnel);
    const auto pending = node.attempts;
    for (const auto& attempt : pending)
        if (attempt.endpoint <= 2)
            node.balancer->on_ended(attempt.tunnel, 0, attempt.endpoint, Outcome::unreachable, 1 * ms, false);
    CHECK(node.attempts.size() > 35);  // with this seed the tunnels are placed on all five
    CHECK(node.rejected.empty());
}
