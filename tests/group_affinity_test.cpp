// Tests of group affinity: the tunnels of a group share few endpoints, with and without load reports.
#include <doctest/doctest.h>

#include "balance/id_index.h"
#include "balancer_fixture.h"
#include "peer/codec.h"

using namespace fake;

// Each further endpoint with tunnels of a group holds another copy of the group.
TEST_CASE("the tunnels of a group are placed on one endpoint while it has headroom") {
    auto config = BalancerFixture::default_config();
    config.groups_enabled = true;
    config.endpoint_sizes_differ = true;
    BalancerFixture node(config);
    node.balancer->begin_endpoint_list(EndpointListKind::complete);
    for (std::uint32_t endpoint = 7; endpoint <= 12; ++endpoint)
        node.balancer->add_endpoint(endpoint, 0, 0, EndpointState::active, 4, 0);
    node.balancer->end_endpoint_list();
    std::vector<std::uint32_t> placed_on;
    for (std::uint64_t tunnel = 1; tunnel <= 200; ++tunnel) {
        const bool grouped = tunnel > 192;
        node.balancer->on_request(
            tunnel, {.key = key_of(tunnel), .group = grouped ? "g" : "", .deadline = node.now + 3 * s});
        node.open(tunnel);
        node.balancer->on_load_changed(tunnel, 0.05);
        if (grouped) placed_on.push_back(node.last_attempt().endpoint);
    }
    CHECK(std::count(placed_on.begin(), placed_on.end(), placed_on[0]) >= 7);
}

// Nodes without load totals choose on their own. If their choices differed, a group would be copied to most
// endpoints.
TEST_CASE("without load totals all nodes choose the same endpoint for a group, and the same next one") {
    constexpr std::uint32_t nodes = 60;
    std::vector<std::unique_ptr<BalancerFixture>> all;
    std::vector<std::uint32_t> first_choices;
    for (std::uint32_t own_node = 0; own_node < nodes; ++own_node) {
        auto config = BalancerFixture::default_config(own_node, nodes);
        config.groups_enabled = true;
        config.costs.gossip_message = 0.01;
        config.seed = 7919 * (own_node + 1);
        all.push_back(std::make_unique<BalancerFixture>(config));
        auto& node = *all.back();
        node.set_endpoints({1, 2, 3, 4, 5, 6, 7, 8, 9, 10}, EndpointListKind::cached);
        node.advance(5 * s);  // no load totals of other nodes arrive
        node.balancer->on_request(1, {.key = key_of(own_node), .group = "g", .deadline = node.now + 3 * s});
        first_choices.push_back(node.last_attempt().endpoint);
    }
    CHECK(std::count(first_choices.begin(), first_choices.end(), first_choices[0]) >= 55);
    for (auto& node : all) {  // the endpoint is now reported as full
        peer::Message message;
        for (std::uint32_t endpoint = 1; endpoint <= 10; ++endpoint)
            message.load_report(endpoint, true, endpoint == first_choices[0] ? 1.2 : 0.3);
        node->balancer->on_gossip((static_cast<std::uint32_t>(&node - all.data()) + 1) % nodes,
                                  message.bytes());
        node->advance(200 * ms);
        node->balancer->on_request(2, {.key = "late", .group = "g", .deadline = node->now + 3 * s});
    }
    const auto next_choice = all[0]->last_attempt().endpoint;
    CHECK(next_choice != first_choices[0]);
    CHECK(std::count_if(all.begin(), all.end(), [&](const auto& node) {
              return node->last_attempt().endpoint == next_choice;
          }) >= 55);
}

// If each node published targets for all groups, the targets would differ and the gossip would grow with the
// fleet.
TEST_CASE("a node publishes affinity targets only for the groups that it leads, before any load report") {
    auto config = BalancerFixture::default_config(0, 30);
    config.groups_enabled = true;
    BalancerFixture node(config);
    node.set_endpoints({1, 2, 3, 4, 5, 6, 7, 8, 9, 10}, EndpointListKind::cached);
    node.advance(5 * s);  // no load totals of other nodes arrive
    // A message with one affinity target has ten bytes.
    const auto published_targets = [&] {
        return std::count_if(node.gossip.begin(), node.gossip.end(),
                             [](const auto& sent) { return sent.first == 99 && sent.second.size() == 10; });
    };
    std::uint64_t tunnel = 1;
    for (int group = 0; group < 100; ++group, ++tunnel)  // the node leads a thirtieth of them
        node.balancer->on_request(
            tunnel, {.key = key_of(tunnel), .group = key_of(1000 + tunnel), .deadline = node.now + 3 * s});
    const auto published = published_targets();
    CHECK(published >= 1);
    CHECK(published <= 15);
}

namespace {

// One of thirty nodes, without load totals, whose tunnels all belong to group "g".
struct GroupNode : BalancerFixture {
    static BalancerConfig config() {
        auto config = BalancerFixture::default_config(0, 30);
        config.groups_enabled = true;
        return config;
    }
    GroupNode() : BalancerFixture(config()) {}
    std::uint64_t tunnels = 0;
    std::string group = "g";
    std::uint32_t group_id() const { return static_cast<std::uint32_t>(hash_text(group) | 1); }
    void open_tunnels(int times) {
        for (int i = 0; i < times; ++i) {
            ++tunnels;
            balancer->on_request(tunnels, {.key = key_of(tunnels), .group = group, .deadline = now + 3 * s});
            if (!attempts.empty() && attempts.back().tunnel == tunnels) open(tunnels);
        }
    }
    void receive(std::uint32_t from, auto&& add_items) {
        peer::Message message;
        add_items(message);
        balancer->on_gossip(from, message.bytes());
    }
    void receive_affinity_target(std::uint32_t endpoint) {
        receive(5, [&](peer::Message& message) { message.affinity_target(group_id(), endpoint); });
    }
    auto attempts_on(std::uint32_t endpoint, std::size_t since) const {
        return std::count_if(attempts.begin() + static_cast<std::ptrdiff_t>(since), attempts.end(),
                             [&](const Attempt& attempt) { return attempt.endpoint == endpoint; });
    }
};

}  // namespace

// The leader adds a target when the others are full. Other nodes learn this from load reports only seconds
// later, and would go on filling the earlier targets.
TEST_CASE("when a group gets another affinity target, its earlier targets count as full") {
    GroupNode node;
    node.set_endpoints({1, 2, 3, 4, 5, 6}, EndpointListKind::cached);
    node.advance(6 * s);
    node.receive_affinity_target(1);
    // The leader knows what other nodes have placed on endpoint 1. This node has placed nothing itself.
    node.receive_affinity_target(2);
    node.open_tunnels(5);
    CHECK(node.attempts_on(2, 0) > 0);
    CHECK(node.attempts_on(1, 0) == 0);
}
