// Migration of open tunnels from endpoints that are overloaded or do not respond. Too few migrations leave
// the clients on a bad endpoint; too many at once overload the next one.
#include <doctest/doctest.h>

#include "balancer_fixture.h"
#include "peer/codec.h"

using namespace fake;

TEST_CASE("tunnels on an overloaded endpoint are migrated gradually when other endpoints have headroom") {
    BalancerFixture node;
    node.set_endpoints({7, 8});
    for (std::uint64_t tunnel = 1; tunnel <= 40; ++tunnel) {
        node.on_request(tunnel);
        node.open(tunnel);
    }
    for (int i = 0; i < 30; ++i) {
        node.advance(100 * ms);
        for (const auto endpoint : std::exchange(node.health_checks, {})) {
            LoadReport report;
            report.load = endpoint == 7 ? 1.6 : 0.3;
            node.balancer->on_health_check(static_cast<std::uint32_t>(endpoint), Outcome::ok, ms, report);
        }
    }
    CHECK(!node.migrated.empty());
    CHECK(node.migrated.size() < 30);
}

TEST_CASE("a tunnel on an endpoint ejected by gossip is migrated once its own lines are not answered") {
    BalancerFixture node(BalancerFixture::default_config(0, 60));
    node.set_endpoints({7, 8, 9});
    node.advance(5 * s);
    node.on_request(1);
    node.open(1);
    node.advance(2 * s);
    peer::Message failure;
    failure.endpoint_failure(node.last_attempt().endpoint, node.now, 3, 4);
    node.balancer->on_gossip(3, failure.bytes());
    node.advance(3 * s);
    CHECK(node.migrated.empty());  // setups may fail there while open tunnels still work
    node.balancer->on_unresponsive(node.last_attempt().endpoint, 600 * ms);
    node.advance(3 * s);
    CHECK(node.migrated == std::vector<std::uint64_t>{1});
}
