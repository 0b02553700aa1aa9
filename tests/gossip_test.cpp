// Gossip between nodes: its amount, and the handling of nodes that go down or return. Gossip that is slowed
// down by its cost must not make a node look dead, and broadcasts at the wrong time grow with the square of
// the number of nodes.
#include <doctest/doctest.h>

#include "balancer_fixture.h"
#include "peer/codec.h"

using namespace fake;

TEST_CASE("a node whose gossip is slowed down by its cost is not marked down, and its gossip stays small") {
    auto config = BalancerFixture::default_config(0, 2);
    config.costs.gossip_message = 1;
    BalancerFixture node_a(config);
    config.own_node = 1;
    BalancerFixture node_b(config);
    for (auto* node : {&node_a, &node_b}) node->set_endpoints({1, 2, 3, 4, 5, 6, 7, 8});
    std::size_t bytes = 0;
    for (int i = 0; i < 300; ++i) {
        node_a.advance(100 * ms);
        node_b.advance(100 * ms);
        if (i >= 100)
            for (const auto& [to, message] : node_a.gossip) bytes += message.size();
        deliver_gossip({&node_a, &node_b});
    }
    for (const auto& line : node_a.log_lines) CHECK(line.find("silent") == std::string::npos);
    CHECK(bytes < 300);
}

TEST_CASE("idle gossip grows with the number of nodes, not with its square") {
    const auto messages_received = [](std::uint32_t nodes) {
        auto config = BalancerFixture::default_config(0, nodes);
        config.costs.gossip_message = 0.01;
        BalancerFixture node(config);
        node.set_endpoints({1, 2, 3, 4, 5, 6, 7, 8, 9, 10}, EndpointListKind::cached);
        node.gossip.clear();  // its announcement of its start
        for (int i = 0; i < 10; ++i) {
            node.advance(1 * s);
            for (const auto neighbour : {nodes - 1, nodes - 2})
                node.balancer->on_gossip(neighbour, peer::Message().bytes());
        }
        std::size_t received = 0;
        for (const auto& [to, bytes] : node.gossip) received += to == 99 ? nodes - 1 : 1;
        return received;
    };
    CHECK(messages_received(400) <= messages_received(100) + 2 * std::size_t{400});
}

TEST_CASE("starts and failures of nodes are not broadcast if that would cost more than it saves") {
    for (const std::uint32_t nodes : {3U, 100U}) {
        auto config = BalancerFixture::default_config(0, nodes);
        config.costs.gossip_message = 0.01;
        BalancerFixture node(config);
        node.set_endpoints({1, 2, 3, 4, 5, 6, 7, 8}, EndpointListKind::cached);
        node.advance(4 * s);                   // its neighbours are silent
        std::size_t starts = 0, failures = 0;  // told apart by the size of their messages
        for (const auto& [to, bytes] : node.gossip) {
            starts += to == 99 && bytes.size() == 2 ? 1 : 0;
            failures += to == 99 && bytes.size() == 6 ? 1 : 0;
        }
        CHECK(starts == (nodes == 3 ? 1 : 0));
        CHECK((failures > 0) == (nodes == 3));
    }
}

TEST_CASE("a node marked down that is heard again is notified and announces itself once") {
    BalancerFixture node_a(BalancerFixture::default_config(0, 9)),
        node_b(BalancerFixture::default_config(5, 9));
    node_a.set_endpoints({7}), node_b.set_endpoints({7});
    node_a.advance(1 * s), node_b.advance(2 * s);
    peer::Message peer_down;
    peer_down.peer_down(5);
    node_a.balancer->on_gossip(4, peer_down.bytes());
    node_a.gossip.clear(), node_b.gossip.clear();
    node_a.balancer->on_gossip(5, peer::Message().bytes());
    REQUIRE(node_a.gossip.size() == 1);
    CHECK(node_a.gossip[0].first == 5);
    for (int i = 0; i < 2; ++i) node_b.balancer->on_gossip(0, node_a.gossip[0].second);
    REQUIRE(node_b.gossip.size() == 1);
    CHECK(node_b.gossip[0].first == 99);
}

TEST_CASE("a node that went down is broadcast, and one that is wrongly reported down answers at once") {
    BalancerFixture node_a(BalancerFixture::default_config(0, 9));
    node_a.set_endpoints({7});
    node_a.gossip.clear();
    peer::Message peer_down;
    peer_down.peer_down(0);
    node_a.balancer->on_gossip(5, peer_down.bytes());
    REQUIRE(node_a.gossip.size() == 1);
    CHECK(node_a.gossip[0].first == 99);
    node_a.gossip.clear();
    node_a.advance(4 * s);  // its neighbours are silent
    CHECK(std::any_of(node_a.gossip.begin(), node_a.gossip.end(),
                      [](const auto& sent) { return sent.first == 99 && sent.second.size() == 6; }));
}
