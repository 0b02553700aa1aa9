// Placement of tunnels: that a new one is placed once, and that a draining endpoint gets no new ones and is
// sent its own only until its drain grace ends.
#include <doctest/doctest.h>

#include "balancer_fixture.h"

using namespace fake;

TEST_CASE("a new tunnel is placed at once and ends once") {
    BalancerFixture node;
    node.set_endpoints({7, 8});
    node.on_request(1);
    REQUIRE(node.attempts.size() == 1);
    node.open(1);
    node.end(1, Outcome::ok, true);
    node.advance(5 * s);
    CHECK(node.attempts.size() == 1);
    CHECK(node.rejected.empty());
    CHECK(node.failed.empty());
}

TEST_CASE("a draining endpoint gets no new tunnels and keeps its own only during the drain grace") {
    BalancerFixture node;
    node.set_endpoints({7});
    node.on_request(1, "a");
    node.open(1);
    node.set_endpoints({7}, EndpointListKind::changes, EndpointState::draining);
    node.set_endpoints({8}, EndpointListKind::changes);
    node.on_request(2, "b");
    CHECK(node.last_attempt().endpoint == 8);
    node.advance(1 * s);
    node.on_request(3, "a", true);
    CHECK(node.last_attempt().endpoint == 7);
    node.advance(3 * s);
    node.on_request(4, "a", true);
    CHECK(node.last_attempt().endpoint == 8);
}
