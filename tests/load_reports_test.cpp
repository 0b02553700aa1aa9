// Tests of load reports: which node publishes them, when, and which node stands in if it fails.
#include <doctest/doctest.h>

#include "balancer_fixture.h"
#include "peer/codec.h"

using namespace fake;

// Each endpoint has three report owners. If the first fails and no other stands in, the load of its endpoints
// becomes unknown; if all published, the gossip would cost three times as much.
TEST_CASE(
    "the first report owner publishes the load of its endpoints, and the second and third stand in for it") {
    constexpr std::uint32_t nodes = 90;
    const auto all = start_nodes(nodes, {1, 2, 3, 4, 5, 6, 7, 8});
    std::vector<std::uint32_t> failed_nodes;
    std::size_t bytes = 0;
    const auto run_fleet = [&](Ticks span, double load) {
        std::vector<std::uint32_t> publishers;
        for (Ticks t = 0; t < span; t += 100 * ms)
            for (std::uint32_t node = 0; node < nodes; ++node) {
                if (std::find(failed_nodes.begin(), failed_nodes.end(), node) != failed_nodes.end()) continue;
                all[node]->advance(100 * ms);
                all[node]->answer_health_checks(load);
                for (const auto& [to, message] : std::exchange(all[node]->gossip, {})) {
                    if (to != 99) continue;
                    publishers.push_back(node);
                    bytes += message.size() * (nodes - 1);
                    for (std::uint32_t receiver = 0; receiver < nodes; ++receiver)
                        if (receiver != node) all[receiver]->balancer->on_gossip(node, message);
                }
            }
        return publishers;
    };
    run_fleet(10 * s, 0.2);
    for (int i = 0; i < 2; ++i) {  // the publisher fails, and then the one that stood in for it
        const auto publishers = run_fleet(20 * s, i == 0 ? 0.7 : 0.2);
        REQUIRE(!publishers.empty());
        CHECK(publishers.size() <= 8);  // the endpoints form two blocks
        CHECK(std::find(failed_nodes.begin(), failed_nodes.end(), publishers.back()) == failed_nodes.end());
        failed_nodes.push_back(publishers.back());
    }
    CHECK(!run_fleet(30 * s, 0.7).empty());
    CHECK(bytes < 89 * 65 * 10);  // eight endpoints a message, ten messages in 80 s
}

// If nodes disagreed, outcomes would be sent to nodes that do not consider themselves report owners.
TEST_CASE("nodes with the same endpoint list elect the same report owners, however they learned the list") {
    BalancerFixture at_once(BalancerFixture::default_config(0, 60)),
        in_parts(BalancerFixture::default_config(0, 60));
    at_once.set_endpoints({1, 2, 3, 4, 5, 6, 7, 8, 9, 10});
    in_parts.set_endpoints({21, 22, 23, 24, 25, 26, 27, 28});
    for (std::uint32_t endpoint = 1; endpoint <= 10; ++endpoint)
        in_parts.set_endpoints({endpoint}, EndpointListKind::changes);
    in_parts.set_endpoints({21, 22, 23, 24, 25, 26, 27, 28}, EndpointListKind::changes,
                           EndpointState::removed);
    const auto first_owners = [](BalancerFixture& node) {
        std::vector<std::uint32_t> owners(11, 99);
        for (std::uint64_t tunnel = 1; tunnel <= 300; ++tunnel) {
            node.on_request(tunnel);
            node.gossip.clear();
            node.open(tunnel);
            for (const auto& [to, message] : node.gossip) owners[node.last_attempt().endpoint] = to;
            node.advance(100 * ms);
        }
        return owners;
    };
    const auto owners = first_owners(at_once);
    CHECK(std::count(owners.begin(), owners.end(), 99U) < 4);
    CHECK(first_owners(in_parts) == owners);
}

// Gossip is expensive here, so the interval of reports is long. A large change must not wait for all of it.
TEST_CASE("a large change of load is published sooner than a small one") {
    const auto ticks_to_publish = [](double load) {
        auto config = BalancerFixture::default_config(0, 2);
        config.costs.gossip_message = 1;
        BalancerFixture node(config);
        node.set_endpoints({7}, EndpointListKind::cached);
        node.advance(5 * s);
        node.answer_health_checks(0.2);
        for (int i = 0; i < 20; ++i) node.advance(100 * ms), node.answer_health_checks(0.2);
        node.gossip.clear();
        for (int i = 0; i < 600; ++i) {
            node.advance(100 * ms);
            node.answer_health_checks(load);
            for (const auto& [to, message] : std::exchange(node.gossip, {}))
                if (to == 99 && message.size() == 1 + peer::load_report_bytes) return i;
        }
        return 600;
    };
    CHECK(ticks_to_publish(0.9) * 2 < ticks_to_publish(0.3));
}
