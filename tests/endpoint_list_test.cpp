// Tests of when the Balancer polls for the endpoint list.
#include <doctest/doctest.h>

#include "balancer_fixture.h"

using namespace fake;

// A node whose poll failed must neither repeat it at once, which would overload service discovery, nor keep
// an old list for longer than the poll interval.
TEST_CASE("a failed poll of the endpoint list is repeated after a backoff and within the poll interval") {
    auto config = BalancerFixture::default_config();
    config.must_poll = true;
    BalancerFixture node(config);
    node.set_endpoints({7}, EndpointListKind::cached);
    node.advance(1 * s);
    REQUIRE(node.list_requests == 1);
    for (int i = 0; i < 6; ++i) {
        node.set_endpoints({}, EndpointListKind::failed);
        const int before = node.list_requests;
        node.advance(50 * ms);
        CHECK(node.list_requests == before);
        node.advance(9 * s);
        CHECK(node.list_requests > before);
    }
}

// Nodes that are started together would otherwise all poll in their first tick.
TEST_CASE("the first polls of 100 nodes are spread over 1.5 s") {
    std::vector<Ticks> first_requests;
    for (std::uint32_t own_node = 0; own_node < 100; ++own_node) {
        auto config = BalancerFixture::default_config(own_node, 100);
        config.must_poll = true;
        config.seed = 7919 * (own_node + 1);
        BalancerFixture node(config);
        node.set_endpoints({7}, EndpointListKind::cached);
        for (const Ticks start = node.now; node.list_requests == 0; node.advance(100 * ms))
            REQUIRE(node.now - start <= 16 * s / 10);
        first_requests.push_back(node.now);
    }
    std::sort(first_requests.begin(), first_requests.end());
    CHECK(first_requests[90] - first_requests[10] > 1 * s);
    for (std::size_t i = 0; i + 20 < first_requests.size(); ++i)
        CHECK(first_requests[i + 20] > first_requests[i]);  // fewer than a fifth of the nodes at a time
}
