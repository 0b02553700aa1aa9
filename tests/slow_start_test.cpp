// Tests of slow start: the limit on new tunnels to an endpoint that has just started, for one node and for
// all nodes together.
#include <doctest/doctest.h>

#include "balancer_fixture.h"

using namespace fake;

// An endpoint that has just started is empty, and without the limit all new tunnels would be placed on it.
TEST_CASE("an endpoint in slow start gets no burst of tunnels") {
    BalancerFixture node;
    node.set_endpoints({7});
    node.advance(6 * s);
    node.set_endpoints({8}, EndpointListKind::changes, EndpointState::active, node.now);
    for (std::uint64_t tunnel = 1; tunnel <= 40; ++tunnel) node.on_request(tunnel);
    // 2.5 times a third of its 2.5 cores, filled within 8 s by tunnels of 0.05 cores: 7.7 tunnels in 1.5 s.
    CHECK(std::count_if(node.attempts.begin(), node.attempts.end(),
                        [](const Attempt& attempt) { return attempt.endpoint == 8; }) <= 7);
}

// The tunnels of an endpoint that has failed reconnect all at once.
TEST_CASE("a wave of reconnecting clients does not overload an endpoint in slow start") {
    BalancerFixture node;
    node.set_endpoints({7});
    std::uint64_t tunnel = 1;
    const auto wave = [&](int clients) {
        for (int i = 0; i < clients; ++i, ++tunnel) {
            node.on_request(tunnel);
            node.open(tunnel);
            node.balancer->on_load_changed(tunnel, 0.05);
            node.advance(20 * ms);
        }
    };
    node.advance(6 * s);
    wave(300);
    node.set_endpoints({8}, EndpointListKind::changes, EndpointState::active, node.now);
    wave(50);
    // 2.5 times a third of its 2.5 cores, filled within 8 s by tunnels of 0.05 cores: 7.7 tunnels in 1.5 s.
    CHECK(std::count_if(node.attempts.begin(), node.attempts.end(),
                        [](const Attempt& attempt) { return attempt.endpoint == 8; }) <= 7);
}

// An endpoint that was unreachable may have restarted. The list shows this only seconds later, and it would
// be overloaded until then.
TEST_CASE(
    "an endpoint that responds again after failed health checks is in slow start before the list shows it") {
    BalancerFixture node;
    node.set_endpoints({7, 8});
    std::uint64_t tunnel = 1;
    for (; tunnel <= 20; ++tunnel) {
        node.on_request(tunnel);
        node.open(tunnel);
        node.balancer->on_load_changed(tunnel, 0.001);
    }
    for (int i = 0; i < 40; ++i) {
        node.advance(100 * ms);
        for (const auto endpoint : std::exchange(node.health_checks, {}))
            node.balancer->on_health_check(static_cast<std::uint32_t>(endpoint),
                                           endpoint == 7 ? Outcome::timed_out : Outcome::ok, 500 * ms, {});
    }
    for (int i = 0; i < 12; ++i) {
        node.advance(100 * ms);
        node.answer_health_checks(0.1);
    }
    const auto before = node.attempts.size();
    for (std::uint64_t k = 0; k < 40; ++k, ++tunnel) {
        node.on_request(tunnel);
        node.open(tunnel);
    }
    const auto attempts_on_7 =
        std::count_if(node.attempts.begin() + static_cast<std::ptrdiff_t>(before), node.attempts.end(),
                      [](const Attempt& attempt) { return attempt.endpoint == 7; });
    CHECK(attempts_on_7 <= 2);
}

// If each of 120 nodes placed even one tunnel on the endpoint, it would be overloaded.
TEST_CASE(
    "many nodes together keep to the slow-start limit of an endpoint that none of them has used before") {
    constexpr std::uint32_t nodes = 120;
    std::vector<std::unique_ptr<BalancerFixture>> all;
    for (std::uint32_t own_node = 0; own_node < nodes; ++own_node) {
        auto config = BalancerFixture::default_config(own_node, nodes);
        config.seed = own_node + 1;
        all.push_back(std::make_unique<BalancerFixture>(config));
        all.back()->set_endpoints({7, 8});
        // The endpoints have been running for long. Tunnels open and end.
        for (std::uint64_t tunnel = 1; tunnel <= 10; ++tunnel) {
            all.back()->on_request(1000 + tunnel);
            all.back()->open(1000 + tunnel);
            all.back()->advance(6 * s);
            all.back()->end(1000 + tunnel, Outcome::ok, true);
        }
        all.back()->attempts.clear();
        all.back()->set_endpoints({8}, EndpointListKind::changes, EndpointState::active, all.back()->now);
    }
    std::size_t placed = 0;
    for (auto& node : all) {
        for (std::uint64_t tunnel = 1; tunnel <= 3; ++tunnel) node->on_request(tunnel);
        placed += static_cast<std::size_t>(
            std::count_if(node->attempts.begin(), node->attempts.end(),
                          [](const Attempt& attempt) { return attempt.endpoint == 8; }));
    }
    CHECK(placed <= 3);
}

// Tunnels arrive at one node at a time, so nodes must lease units of each other. Otherwise most of the quota
// would expire while other endpoints are full.
TEST_CASE("all nodes together keep to the slow-start limit of an endpoint and use a good part of it") {
    constexpr std::uint32_t nodes = 80;
    const auto all = start_nodes(nodes, {1, 2});
    for (std::uint32_t own_node = 0; own_node < nodes; ++own_node) {
        all[own_node]->balancer->adopt_open_tunnel(1, {.key = key_of(own_node), .group = {}},
                                                   1 + own_node % 2);
        all[own_node]->balancer->on_load_changed(1, 0.05);
    }
    std::vector<BalancerFixture*> fleet;
    fleet.reserve(nodes);
    for (auto& node : all) fleet.push_back(node.get());
    for (int i = 0; i < 120; ++i) {
        for (auto& node : all) node->advance(100 * ms);
        deliver_gossip(fleet);
        for (auto& node : all) node->answer_health_checks(0.9);
    }
    for (auto& node : all)
        node->set_endpoints({3}, EndpointListKind::changes, EndpointState::active, node->now);
    std::size_t next_node = 0, spent = 0;
    std::vector<std::size_t> each_half_second;
    std::uint64_t tunnel = 1;
    for (int i = 0; i < 160; ++i) {  // twenty tunnels a second for 8 s, each at a different node
        for (auto& node : all) node->advance(50 * ms);
        BalancerFixture& receiver = *all[next_node = (next_node * 7 + 13) % nodes];
        for (auto& each : all) each->attempts.clear();
        receiver.on_request(++tunnel);
        for (int pass = 0; pass < 3; ++pass) deliver_gossip(fleet);  // a lease is requested and granted
        for (auto& each : all)
            spent += static_cast<std::size_t>(
                std::count_if(each->attempts.begin(), each->attempts.end(),
                              [](const Attempt& attempt) { return attempt.endpoint == 3; }));
        if (i % 10 == 9) each_half_second.push_back(std::exchange(spent, 0));
    }
    // Forty tunnels use 0.9 of an endpoint. Filled within its slow start of 8 s, it gets 5.6 tunnels a second
    // at full capacity. 2.5 times that rate is allowed in each window of 1.5 s, at a capacity that rises from
    // a third.
    const double full_rate = 40 / 0.9 / 8;
    std::size_t sum = 0;
    for (std::size_t i = 0; i < each_half_second.size(); ++i) {
        sum += each_half_second[i];
        if (i < 2) continue;
        const std::size_t window = each_half_second[i] + each_half_second[i - 1] + each_half_second[i - 2];
        const double slow_start_factor = 0.33 + 0.67 * static_cast<double>(i + 1) / 16;
        CHECK(static_cast<double>(window) <= 2.5 * full_rate * slow_start_factor * 1.5 + 1);
    }
    CHECK(static_cast<double>(sum) >= 0.4 * 2.5 * full_rate * 0.66 * 8);
}
