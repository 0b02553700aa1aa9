// What load a node attributes to endpoints while load reports are few and old.
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

// One of a hundred nodes for which gossip is expensive, with ten endpoints.
struct Far {
    Far() : n(terms()) { n.set_endpoints({1, 2, 3, 4, 5, 6, 7, 8, 9, 10}); }
    static BalancerConfig terms() {
        auto t = BalancerFixture::default_config(0, 100);
        t.limits.health_checks_enabled = false;
        t.costs.gossip_message = 0.05;
        return t;
    }
    void on_gossip(std::uint32_t first, std::uint32_t last, double load) {
        peer::Message m;
        for (std::uint32_t ep = first; ep <= last; ++ep) m.load_report(ep, true, load);
        n.balancer->on_gossip(1, m.bytes());
    }
    // Two tunnels a second, that stay; how many went to the endpoints from first to last.
    long come(int tunnels, std::uint32_t first, std::uint32_t last) {
        const auto before = static_cast<std::ptrdiff_t>(n.attempts.size());
        for (int i = 0; i < tunnels; ++i) {
            ++t;
            n.on_request(t, key_of(t));
            n.open(t);
            n.advance(500 * ms);
        }
        REQUIRE(n.attempts.size() == static_cast<std::size_t>(before + tunnels));
        return std::count_if(n.attempts.begin() + before, n.attempts.end(),
                             [&](const Attempt& x) { return x.endpoint >= first && x.endpoint <= last; });
    }
    BalancerFixture n;
    std::uint64_t t = 0;
};

// The load estimator alone, without any decision.
struct Known {
    Known(BalancerConfig given, BalancerDelegate& host) : node(std::move(given), host, 100 * s) {
        for (std::uint32_t id = 0; id < 10; ++id) table.add_endpoint(id, 0, 0, EndpointState::active, 1, 0);
    }
    double room_after(int weighings) {
        for (int i = 0; i < weighings; ++i) load.update_fleet_estimates();
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

TEST_CASE("an endpoint reported as light attracts tunnels briefly, not until the next report") {
    Far f;
    f.on_gossip(1, 10, 0.5);
    CHECK(f.come(20, 1, 10) == 20);  // what comes in a second is known by now
    f.on_gossip(1, 1, 0.2);
    f.on_gossip(2, 10, 0.5);
    CHECK(f.come(1, 1, 1) == 1);  // it is the lightest
    CHECK(f.come(30, 1, 1) <= 10);
    f.on_gossip(1, 1, 0.2);  // still light, by a new report
    CHECK(f.come(1, 1, 1) == 1);
}

TEST_CASE("an endpoint without a report is assumed to carry the average load") {
    Far f;
    f.on_gossip(1, 5, 0.4);
    f.n.advance(200 * ms);
    const auto reported = f.come(60, 1, 5);
    CHECK(reported >= 12);
    CHECK(reported <= 48);
}

TEST_CASE("capacity is estimated for all endpoints while only few are reported") {
    BalancerFixture host;
    Known known(BalancerFixture::default_config(0, 3), host);
    for (std::uint32_t i = 0; i < 2; ++i) known.table.endpoints()[i].on_load_report(0.5, known.node.now());
    known.node.set_time(known.node.now() + 1 * s);
    known.load.set_record_sample({.load = 10, .older = 0});  // of all, held at each of three nodes
    CHECK(known.room_after(300) == doctest::Approx(2).epsilon(0.05));
}

TEST_CASE("a node that has just started does not take its few records for all of the load") {
    BalancerFixture host;
    Known known(BalancerFixture::default_config(0, 3), host);
    for (auto& e : known.table.endpoints()) e.on_load_report(0.5, known.node.now());
    const double first = known.load.capacity(known.table.endpoints()[0]);
    CHECK(known.room_after(300) == doctest::Approx(first));  // none has come
    known.node.set_time(known.node.now() + 2 * s);
    known.load.set_record_sample({.load = 0.25 * first * 5, .older = 0.25 * first * 5});
    CHECK(known.room_after(300) == doctest::Approx(first));
    known.node.set_time(known.node.now() + 8 * s);
    CHECK(known.room_after(300) == doctest::Approx(first / 4).epsilon(0.05));
}

TEST_CASE("without gossip a node knows of its own tunnels only") {
    BalancerFixture host;
    auto config = BalancerFixture::default_config(0, 30);
    Known heard(config, host);
    CHECK(heard.node.placements_per_sample() == doctest::Approx(10));
    config.limits.gossip_enabled = false;
    Known alone(config, host);
    CHECK(alone.node.placements_per_sample() == doctest::Approx(30));
}

TEST_CASE("records of ended tunnels stay but count for no load") {
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

TEST_CASE("where loads are unknown a costly zone crossing does not keep all tunnels in the node's zone") {
    for (const bool reports : {false, true}) {
        INFO("reports: ", reports);
        auto config = BalancerFixture::default_config(0, 3);
        config.limits.gossip_enabled = false;
        config.limits.health_checks_enabled = reports;
        config.costs.cross_zone = 0.08;
        config.must_poll = false;
        BalancerFixture n(config);
        n.balancer->begin_endpoint_list(EndpointListKind::complete);
        for (std::uint32_t i = 1; i <= 8; ++i)
            n.balancer->add_endpoint(i, i % 2, 0, EndpointState::active, 1, 0);
        n.balancer->end_endpoint_list();
        int far = 0;
        for (std::uint64_t t = 1; t <= 200; ++t) {
            n.advance(500 * ms);
            n.answer_health_checks(0.3);
            n.on_request(t, key_of(t));
            REQUIRE(n.attempts_of(t) == 1);
            far += n.last_attempt().endpoint % 2 != 0 ? 1 : 0;
            n.open(t);
            n.end(t, Outcome::ok, true);
        }
        CHECK(far >= 30);
        CHECK(far < 100);  // but its own zone goes first
    }
}

TEST_CASE("an endpoint that does not answer is checked each second until it does, then as often as others") {
    auto config = BalancerFixture::default_config(0, 100);
    config.limits.gossip_enabled = false;
    config.costs.health_check = 1;  // eight seconds between two
    BalancerFixture n(config);
    n.set_endpoints({1, 2, 3, 4, 5, 6, 7, 8});
    const auto probes_of_1 = [&](int seconds, Outcome ending) {
        int probes = 0;
        for (int i = 0; i < 10 * seconds; ++i) {
            n.advance(100 * ms);
            for (const auto p : std::exchange(n.health_checks, {})) {
                probes += p == 1 ? 1 : 0;
                n.balancer->on_health_check(static_cast<std::uint32_t>(p), p == 1 ? ending : Outcome::ok, ms,
                                            {});
            }
        }
        return probes;
    };
    static_cast<void>(probes_of_1(40, Outcome::timed_out));  // until it is ejected
    CHECK(probes_of_1(20, Outcome::timed_out) >= 18);
    CHECK(probes_of_1(32, Outcome::ok) <= 6);
}

TEST_CASE("where message delay is not reported, reported overload weighs against an endpoint") {
    const auto goes_to = [](bool reports_message_delay) {
        BalancerConfig config = BalancerFixture::default_config(0, 1);
        config.reports_message_delay = reports_message_delay;
        BalancerFixture n(config);
        n.set_endpoints({1, 2});
        int first = 0;
        for (int i = 0; i < 40; ++i) {
            n.advance(s / 4);
            for (const auto p : std::exchange(n.health_checks, {})) {
                LoadReport r;
                r.load =
                    p == 1 ? (i < 24 ? 1.5 : 0.5) : 0.55;  // no longer asked too much, but not yet through
                n.balancer->on_health_check(static_cast<std::uint32_t>(p), Outcome::ok, ms, r);
            }
            if (i < 30) continue;
            const auto t = 100 + static_cast<std::uint64_t>(i);
            n.on_request(t);
            first += n.last_attempt().endpoint == 1 ? 1 : 0;
            n.balancer->on_ended(t, 0, n.last_attempt().endpoint, Outcome::cancelled, ms, true);
        }
        return first;
    };
    CHECK(goes_to(true) > 0);
    CHECK(goes_to(false) == 0);
}

TEST_CASE("capacity is not learned from the first few reported loads, which may be tiny") {
    BalancerFixture n;
    n.set_endpoints({7, 8});
    for (std::uint64_t t = 1; t <= 6; ++t) n.on_request(t), n.open(t);
    for (std::uint64_t t = 1; t <= 6; ++t) n.balancer->on_load_changed(t, 0.001);
    for (const double load : {0.3, 0.31, 0.32}) {
        n.advance(2 * s);
        n.answer_health_checks(load);
    }
    n.balancer->on_load_changed(1, 0.5);
    n.balancer->on_load_changed(2, 0.5);
    n.on_request(20);
    CHECK(n.rejected.empty());
    CHECK(n.attempts_of(20) == 1);
}
