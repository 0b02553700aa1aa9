// The attempts of a tunnel: when a failed one is retried, how often, and on which endpoints. A retry that
// these rules forbid could execute a tunnel twice; one that they require but that is missing fails a tunnel
// without need.
#include <doctest/doctest.h>

#include "balancer_fixture.h"

using namespace fake;

TEST_CASE("with no endpoint listed a tunnel waits at most its latency objective and is rejected once") {
    BalancerFixture node;
    node.set_endpoints({});
    node.on_request(1);
    node.advance(3 * s);
    CHECK(node.rejected == std::vector<std::uint64_t>{1});
}

TEST_CASE("a failed attempt is retried on another endpoint; after three attempts the tunnel is rejected") {
    BalancerFixture node;
    node.set_endpoints({7, 8, 9});
    node.on_request(1);
    node.end(1, Outcome::error);
    CHECK(node.attempts[0].endpoint != node.attempts[1].endpoint);
    node.end(1, Outcome::error);
    node.end(1, Outcome::error);
    CHECK(node.attempts.size() == 3);
    CHECK(node.rejected.size() == 1);
}

TEST_CASE("a non-idempotent tunnel that may have run is closed with an error and never retried") {
    auto config = BalancerFixture::default_config();
    config.traffic_classes = {BalancerFixture::traffic_class(Idempotency::non_idempotent)};
    BalancerFixture node(config);
    node.set_endpoints({7, 8});
    node.on_request(1);
    node.end(1, Outcome::overloaded);  // the endpoint refused it without executing it
    REQUIRE(node.attempts.size() == 2);
    node.end(1, Outcome::connection_lost);
    CHECK(node.attempts.size() == 2);
    CHECK(node.rejected.empty());
    CHECK(node.failed.size() == 1);
}

TEST_CASE("a tunnel with an idempotency key is retried only in its zone and window, else fails") {
    auto config = BalancerFixture::default_config();
    config.traffic_classes = {
        BalancerFixture::traffic_class(Idempotency::idempotent_with_key, DeduplicationScope::zone)};
    BalancerFixture node(config);
    node.balancer->begin_endpoint_list(EndpointListKind::complete);
    for (std::uint32_t i = 0; i < 6; ++i)
        node.balancer->add_endpoint(i, i % 2, 0, EndpointState::active, 1, 0);
    node.balancer->end_endpoint_list();
    node.on_request(1);
    const auto zone = node.last_attempt().endpoint % 2;
    node.end(1, Outcome::connection_lost);
    CHECK(node.last_attempt().endpoint % 2 == zone);
    node.advance(6 * s);
    node.end(1, Outcome::error);
    CHECK(node.attempts.size() == 2);
    CHECK(node.failed.size() == 1);
}
