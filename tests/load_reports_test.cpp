// Load reports: which node publishes them, when, and who takes its place.
#include <doctest/doctest.h>

#include "balancer_fixture.h"
#include "peer/codec.h"

using namespace fake;

TEST_CASE(
    "one node reports the load of all endpoints; when it fails the next on the ring does, then the third") {
    constexpr std::uint32_t nodes = 90;
    const auto all = start_nodes(nodes, {1, 2, 3, 4, 5, 6, 7, 8});
    std::vector<std::uint32_t> dead;
    std::size_t bytes = 0;
    const auto play = [&](Ticks span, double load) {
        std::vector<std::uint32_t> told;
        for (Ticks t = 0; t < span; t += 100 * ms)
            for (std::uint32_t n = 0; n < nodes; ++n) {
                if (std::find(dead.begin(), dead.end(), n) != dead.end()) continue;
                all[n]->advance(100 * ms);
                all[n]->answer_health_checks(load);
                for (const auto& [to, m] : std::exchange(all[n]->gossip, {})) {
                    if (to != 99) continue;
                    told.push_back(n);
                    bytes += m.size() * (nodes - 1);
                    for (std::uint32_t k = 0; k < nodes; ++k)
                        if (k != n) all[k]->balancer->on_gossip(n, m);
                }
            }
        return told;
    };
    play(10 * s, 0.2);
    for (int i = 0; i < 2; ++i) {  // the reporter of now, and who has taken its place
        const auto told = play(20 * s, i == 0 ? 0.7 : 0.2);
        REQUIRE(!told.empty());
        CHECK(told.size() <= 8);  // of two blocks
        CHECK(std::find(dead.begin(), dead.end(), told.back()) == dead.end());
        dead.push_back(told.back());
    }
    CHECK(!play(30 * s, 0.7).empty());
    CHECK(bytes < 89 * 65 * 10);  // eight endpoints in a message, ten times in 80 s
}

TEST_CASE("nodes with the same endpoint list elect the same reporters, however they learned the list") {
    BalancerFixture at_once(BalancerFixture::default_config(0, 60)),
        bit_by_bit(BalancerFixture::default_config(0, 60));
    at_once.set_endpoints({1, 2, 3, 4, 5, 6, 7, 8, 9, 10});
    bit_by_bit.set_endpoints({21, 22, 23, 24, 25, 26, 27, 28});
    for (std::uint32_t ep = 1; ep <= 10; ++ep) bit_by_bit.set_endpoints({ep}, EndpointListKind::changes);
    bit_by_bit.set_endpoints({21, 22, 23, 24, 25, 26, 27, 28}, EndpointListKind::changes,
                             EndpointState::removed);
    const auto reporters = [](BalancerFixture& n) {
        std::vector<std::uint32_t> of(11, 99);
        for (std::uint64_t t = 1; t <= 300; ++t) {
            n.on_request(t);
            n.gossip.clear();
            n.open(t);
            for (const auto& [to, m] : n.gossip) of[n.last_attempt().endpoint] = to;
            n.advance(100 * ms);
        }
        return of;
    };
    const auto of = reporters(at_once);
    CHECK(std::count(of.begin(), of.end(), 99U) < 4);
    CHECK(reporters(bit_by_bit) == of);
}

TEST_CASE("a large change of load is published sooner than a small one") {
    const auto told_after = [](double load) {
        auto config = BalancerFixture::default_config(0, 2);
        config.costs.gossip_message = 1;
        BalancerFixture n(config);
        n.set_endpoints({7}, EndpointListKind::cached);
        n.advance(5 * s);
        n.answer_health_checks(0.2);
        for (int i = 0; i < 20; ++i) n.advance(100 * ms), n.answer_health_checks(0.2);
        n.gossip.clear();
        for (int i = 0; i < 600; ++i) {
            n.advance(100 * ms);
            n.answer_health_checks(load);
            for (const auto& [to, m] : std::exchange(n.gossip, {}))
                if (to == 99 && m.size() == 1 + peer::load_report_bytes) return i;
        }
        return 600;
    };
    CHECK(told_after(0.9) * 2 < told_after(0.3));
}
