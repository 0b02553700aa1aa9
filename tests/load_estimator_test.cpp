// Tests of the load and capacity that a node estimates for endpoints while load reports are few and old.
#include "balance/load_estimator.h"

#include <doctest/doctest.h>

#include "balance/endpoint_table.h"
#include "balance/node_context.h"
#include "balance/peer_table.h"
#include "balance/slow_start.h"
#include "balancer_fixture.h"
#include "peer/codec.h"

using namespace fake;

namespace {

// One of a hundred nodes, with ten endpoints, for which gossip is expensive and load reports are rare.
struct LargeFleetNode {
    LargeFleetNode() : node(config_with_gossip_cost()) {
        node.set_endpoints({1, 2, 3, 4, 5, 6, 7, 8, 9, 10});
    }
    static BalancerConfig config_with_gossip_cost() {
        auto config = BalancerFixture::default_config(0, 100);
        config.limits.health_checks_enabled = false;
        config.costs.gossip_message = 0.05;
        return config;
    }
    void on_gossip(std::uint32_t first, std::uint32_t last, double load) {
        peer::Message message;
        for (std::uint32_t endpoint = first; endpoint <= last; ++endpoint)
            message.load_report(endpoint, true, load);
        node.balancer->on_gossip(1, message.bytes());
    }
    // Opens tunnels that stay open, two a second. Returns how many were placed on endpoints first to last.
    long open_tunnels(int tunnels, std::uint32_t first, std::uint32_t last) {
        const auto before = static_cast<std::ptrdiff_t>(node.attempts.size());
        for (int i = 0; i < tunnels; ++i) {
            ++last_tunnel;
            node.on_request(last_tunnel, key_of(last_tunnel));
            node.open(last_tunnel);
            node.advance(500 * ms);
        }
        REQUIRE(node.attempts.size() == static_cast<std::size_t>(before + tunnels));
        return std::count_if(
            node.attempts.begin() + before, node.attempts.end(),
            [&](const Attempt& attempt) { return attempt.endpoint >= first && attempt.endpoint <= last; });
    }
    BalancerFixture node;
    std::uint64_t last_tunnel = 0;
};

// A load estimator with ten endpoints and without the other decision modules.
struct EstimatorOnly {
    EstimatorOnly(BalancerConfig config, BalancerDelegate& delegate)
        : node(std::move(config), delegate, 100 * s) {
        for (std::uint32_t id = 0; id < 10; ++id) table.add_endpoint(id, 0, 0, EndpointState::active, 1, 0);
    }
    double capacity_after(int updates) {
        for (int i = 0; i < updates; ++i) load.update_fleet_estimates();
        return load.capacity(table.endpoints()[0]);
    }
    NodeContext node;
    EndpointTable table{node};
    PeerTable peers{node};
    RecordTable records;
    SlowStart slow_start{node};
    LoadEstimator load{node, table, peers, slow_start, records};
};

}  // namespace

// All nodes receive the same report. If they all preferred the lightest endpoint until its next report, they
// would overload it together.
TEST_CASE("an endpoint reported as light attracts tunnels briefly, not until the next report") {
    LargeFleetNode fixture;
    fixture.on_gossip(1, 10, 0.5);
    CHECK(fixture.open_tunnels(20, 1, 10) == 20);  // the rate of new tunnels is known now
    fixture.on_gossip(1, 1, 0.2);
    fixture.on_gossip(2, 10, 0.5);
    CHECK(fixture.open_tunnels(1, 1, 1) == 1);  // it has the lightest load
    CHECK(fixture.open_tunnels(30, 1, 1) <= 10);
    fixture.on_gossip(1, 1, 0.2);  // a new report, still light
    CHECK(fixture.open_tunnels(1, 1, 1) == 1);
}

// If it counted as empty, all nodes would place their tunnels on it.
TEST_CASE("an endpoint without a report is assumed to carry the average load") {
    LargeFleetNode fixture;
    fixture.on_gossip(1, 5, 0.4);
    fixture.node.advance(200 * ms);
    const auto reported = fixture.open_tunnels(60, 1, 5);
    CHECK(reported >= 12);
    CHECK(reported <= 48);
}

// The sampled records cover tunnels on all endpoints. Dividing their load by the utilization of the reported
// endpoints alone would overestimate the capacity.
TEST_CASE("the estimated capacity is right while only few endpoints are reported") {
    BalancerFixture delegate;
    EstimatorOnly estimator(BalancerFixture::default_config(0, 3), delegate);
    for (std::uint32_t i = 0; i < 2; ++i)
        estimator.table.endpoints()[i].on_load_report(0.5, estimator.node.now());
    estimator.node.set_time(estimator.node.now() + 1 * s);
    // The load of all tunnels, as each record is held at three nodes.
    estimator.load.set_record_sample({.load = 10, .older = 0});
    CHECK(estimator.capacity_after(300) == doctest::Approx(2).epsilon(0.05));
}

// Records arrive as they are refreshed, over 10 s. Until then the known load is too small, and a capacity
// learned from it would be too low.
TEST_CASE("a node that has just started does not learn capacity from its first few records") {
    BalancerFixture delegate;
    EstimatorOnly estimator(BalancerFixture::default_config(0, 3), delegate);
    for (auto& endpoint : estimator.table.endpoints()) endpoint.on_load_report(0.5, estimator.node.now());
    const double initial = estimator.load.capacity(estimator.table.endpoints()[0]);
    CHECK(estimator.capacity_after(300) == doctest::Approx(initial));  // no record has arrived
    estimator.node.set_time(estimator.node.now() + 2 * s);
    estimator.load.set_record_sample({.load = 0.25 * initial * 5, .older = 0.25 * initial * 5});
    CHECK(estimator.capacity_after(300) == doctest::Approx(initial));
    estimator.node.set_time(estimator.node.now() + 8 * s);
    CHECK(estimator.capacity_after(300) == doctest::Approx(initial / 4).epsilon(0.05));
}

TEST_CASE("without gossip a node knows only its own tunnels, one in thirty in a fleet of thirty nodes") {
    BalancerFixture delegate;
    auto config = BalancerFixture::default_config(0, 30);
    EstimatorOnly with_gossip(config, delegate);
    CHECK(with_gossip.node.placements_per_sample() == doctest::Approx(10));
    config.limits.gossip_enabled = false;
    EstimatorOnly without_gossip(config, delegate);
    CHECK(without_gossip.node.placements_per_sample() == doctest::Approx(30));
}

TEST_CASE("records that are no longer refreshed stay but do not count as load") {
    RecordTable records;
    records.put(
        {.key = 1, .stamp = 1 * s, .heard_at = 10 * s, .endpoint_id = 1, .load = 0.5, .sampled = true});
    records.put(
        {.key = 2, .stamp = 2 * s, .heard_at = 30 * s, .endpoint_id = 1, .load = 0.25, .sampled = true});
    records.put(
        {.key = 3, .stamp = 1 * s, .heard_at = 30 * s, .endpoint_id = 1, .load = 4, .sampled = false});
    CHECK(records.sampled(0, 2 * s).load == doctest::Approx(0.75));
    CHECK(records.sampled(0, 2 * s).older == doctest::Approx(0.5));
    CHECK(records.sampled(19 * s, 2 * s).load == doctest::Approx(0.25));
    CHECK(records.sampled(19 * s, 2 * s).older == 0);
    CHECK(records.find(1) != nullptr);
}

// Without the cost of uncertainty, even a small cost of crossing zones would decide every placement.
TEST_CASE("where loads are unknown the cost of crossing zones does not keep all tunnels in the node's zone") {
    for (const bool reports : {false, true}) {
        INFO("reports: ", reports);
        auto config = BalancerFixture::default_config(0, 3);
        config.limits.gossip_enabled = false;
        config.limits.health_checks_enabled = reports;
        config.costs.cross_zone = 0.08;
        config.must_poll = false;
        BalancerFixture node(config);
        node.balancer->begin_endpoint_list(EndpointListKind::complete);
        for (std::uint32_t i = 1; i <= 8; ++i)
            node.balancer->add_endpoint(i, i % 2, 0, EndpointState::active, 1, 0);
        node.balancer->end_endpoint_list();
        int other_zone = 0;
        for (std::uint64_t tunnel = 1; tunnel <= 200; ++tunnel) {
            node.advance(500 * ms);
            node.answer_health_checks(0.3);
            node.on_request(tunnel, key_of(tunnel));
            REQUIRE(node.attempts_of(tunnel) == 1);
            other_zone += node.last_attempt().endpoint % 2 != 0 ? 1 : 0;
            node.open(tunnel);
            node.end(tunnel, Outcome::ok, true);
        }
        CHECK(other_zone >= 30);
        CHECK(other_zone < 100);  // the node's own zone is preferred
    }
}

// Health checks are rare in a large fleet without gossip. An endpoint that has recovered must be noticed
// soon.
TEST_CASE("an unresponsive endpoint is checked every second until it responds, then as often as others") {
    auto config = BalancerFixture::default_config(0, 100);
    config.limits.gossip_enabled = false;
    config.costs.health_check = 1;  // eight seconds between health checks
    BalancerFixture node(config);
    node.set_endpoints({1, 2, 3, 4, 5, 6, 7, 8});
    const auto checks_of_1 = [&](int seconds, Outcome outcome) {
        int checks = 0;
        for (int i = 0; i < 10 * seconds; ++i) {
            node.advance(100 * ms);
            for (const auto endpoint : std::exchange(node.health_checks, {})) {
                checks += endpoint == 1 ? 1 : 0;
                node.balancer->on_health_check(static_cast<std::uint32_t>(endpoint),
                                               endpoint == 1 ? outcome : Outcome::ok, ms, {});
            }
        }
        return checks;
    };
    static_cast<void>(checks_of_1(40, Outcome::timed_out));  // it is ejected meanwhile
    CHECK(checks_of_1(20, Outcome::timed_out) >= 18);
    CHECK(checks_of_1(32, Outcome::ok) <= 6);
}

// After an overload an endpoint has queued work for a while, though its reported load has fallen. Where
// message delays are not measured, only its earlier reports show this.
TEST_CASE(
    "where message delays are not measured, an endpoint is avoided for a while after it reported overload") {
    const auto placed_on_1 = [](bool reports_message_delay) {
        BalancerConfig config = BalancerFixture::default_config(0, 1);
        config.reports_message_delay = reports_message_delay;
        BalancerFixture node(config);
        node.set_endpoints({1, 2});
        int placed = 0;
        for (int i = 0; i < 40; ++i) {
            node.advance(s / 4);
            for (const auto endpoint : std::exchange(node.health_checks, {})) {
                LoadReport report;
                // Endpoint 1 is overloaded up to i = 23, and works off its backlog afterwards.
                report.load = endpoint == 1 ? (i < 24 ? 1.5 : 0.5) : 0.55;
                node.balancer->on_health_check(static_cast<std::uint32_t>(endpoint), Outcome::ok, ms, report);
            }
            if (i < 30) continue;
            const auto tunnel = 100 + static_cast<std::uint64_t>(i);
            node.on_request(tunnel);
            placed += node.last_attempt().endpoint == 1 ? 1 : 0;
            node.balancer->on_ended(tunnel, 0, node.last_attempt().endpoint, Outcome::cancelled, ms, true);
        }
        return placed;
    };
    CHECK(placed_on_1(true) > 0);
    CHECK(placed_on_1(false) == 0);
}

// The first tunnels may have almost no load. A capacity learned from them would be far too low, and tunnels
// would be rejected.
TEST_CASE("capacity is not learned from the first few reported loads") {
    BalancerFixture node;
    node.set_endpoints({7, 8});
    for (std::uint64_t tunnel = 1; tunnel <= 6; ++tunnel) node.on_request(tunnel), node.open(tunnel);
    for (std::uint64_t tunnel = 1; tunnel <= 6; ++tunnel) node.balancer->on_load_changed(tunnel, 0.001);
    for (const double load : {0.3, 0.31, 0.32}) {
        node.advance(2 * s);
        node.answer_health_checks(load);
    }
    node.balancer->on_load_changed(1, 0.5);
    node.balancer->on_load_changed(2, 0.5);
    node.on_request(20);
    CHECK(node.rejected.empty());
    CHECK(node.attempts_of(20) == 1);
}
