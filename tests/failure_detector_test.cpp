// Tests of failure detection: how failure observations of several nodes merge, when a node ejects an endpoint
// on them, and what it reports itself.
#include <doctest/doctest.h>

#include <algorithm>
#include <numeric>
#include <random>

#include "balancer_fixture.h"
#include "failure_detector/failure_likelihood.h"
#include "failure_detector/observations.h"
#include "peer/codec.h"

using namespace fake;
using failure_detector::no_observer;
using failure_detector::Observations;

namespace {
constexpr Ticks at = 1000 * s;

BalancerConfig config_with_gossip_cost(std::uint32_t own_node, std::uint32_t nodes = 60) {
    BalancerConfig config = BalancerFixture::default_config(own_node, nodes);
    config.costs.gossip_message = 0.01;
    return config;
}
// One of sixty nodes, which has known its endpoints for 5 s and receives gossip about them.
struct GossipReceiver {
    BalancerFixture node{config_with_gossip_cost(0)};
    explicit GossipReceiver(const std::vector<std::uint32_t>& endpoints = {7, 8, 9}) {
        node.set_endpoints(endpoints);
        node.advance(5 * s);
    }
    void receive(std::uint32_t from, std::uint32_t endpoint, std::uint32_t first, std::uint32_t other,
                 Ticks age = 0) {
        peer::Message message;
        message.endpoint_failure(endpoint, node.now - age, first, other);
        node.balancer->on_gossip(from, message.bytes());
    }
    void report(std::uint32_t endpoint, bool healthy) {
        peer::Message message;
        message.load_report(endpoint, healthy, 0.3);
        node.balancer->on_gossip(3, message.bytes());
    }
    // Six setups of other nodes fail on the endpoint, one of each node in turn.
    void fail_elsewhere(std::uint32_t endpoint, std::vector<std::uint32_t> nodes) {
        for (std::size_t i = 0; i < 6; ++i) {
            peer::Message message;
            message.outcome(endpoint, static_cast<std::uint8_t>(Outcome::error));
            node.balancer->on_gossip(nodes[i % nodes.size()], message.bytes());
        }
    }
    std::uint32_t excluded() const { return node.balancer->endpoint_counts().excluded; }
};
// The number of queued messages with an endpoint failure.
std::size_t failure_reports(const BalancerFixture& node) {
    std::size_t sum = 0;
    for (const auto& [to, bytes] : node.gossip) {
        peer::BytesByKind sizes{};
        peer::add_bytes_by_kind(bytes, 1, sizes);
        sum += sizes[14] > 0 ? 1 : 0;  // 14: the kind of endpoint failures
    }
    return sum;
}
}  // namespace

// Gossip is repeated and duplicated. A single node that is wrong must not reach the quorum by repetition.
TEST_CASE("a node counts once, however often it reports; two nodes are a quorum until they expire") {
    Observations observations;
    CHECK(observations.add(3, at, at));
    CHECK(!observations.add(3, at, at + s));
    CHECK(observations.add(3, at + s, at + s));
    CHECK(!observations.is_unresponsive(at + s));
    CHECK(observations.add(4, at + s, at + s));
    CHECK(observations.is_unresponsive(at + s));
    CHECK(observations.is_unresponsive(at + s + failure_detector::observation_lifetime - 1));
    CHECK(!observations.is_unresponsive(at + s + failure_detector::observation_lifetime));
}

// Messages may be delayed or replayed, and clocks may differ. The time of an observation is sent as its low
// 32 bits, so one that is hours old must not be taken for a new one.
TEST_CASE("an observation that is too old, too far in the future or without an observer has no effect") {
    Observations observations;
    CHECK(!observations.add(3, at - failure_detector::observation_lifetime, at));
    CHECK(!observations.add(3, at + failure_detector::max_clock_skew + 1, at));
    CHECK(!observations.add(no_observer, at, at));
    CHECK(!observations.add(no_observer + 1, at, at));
    const auto low_bits = static_cast<std::uint32_t>(at);
    for (const Ticks later : {20 * s, 3600 * s, 100 * (3600 * s)})
        CHECK(!observations.add(3, failure_detector::expand_time(low_bits, at + later), at + later));
    CHECK(failure_detector::expand_time(low_bits, at + 3 * s) == at);
    CHECK(failure_detector::expand_time(low_bits, at - 2000) == at);
}

// Without this rule an endpoint that has recovered would be ejected on observations from before its recovery.
TEST_CASE("a success observed by any node cancels failures observed before it") {
    Observations observations;
    observations.add(3, at, at);
    observations.add(4, at, at);
    observations.on_healthy(at + 1);
    CHECK(!observations.is_unresponsive(at + 1));
    CHECK(observations.is_failing(at + 1));
    observations.add(3, at + 2, at + 2);
    CHECK(!observations.is_unresponsive(at + 2));
    observations.add(5, at + 2, at + 2);
    CHECK(observations.is_unresponsive(at + 2));
    observations.on_healthy(at);  // an older success that arrives late
    CHECK(observations.is_unresponsive(at + 2));
}

// Nodes receive the same gossip in different orders. They must come to the same result.
TEST_CASE("observations merge to the same result in any order and any number of times") {
    std::minstd_rand rng(7);
    struct Report {
        std::uint32_t node;
        Ticks when;
    };
    for (int round = 0; round < 2000; ++round) {
        std::vector<Report> reports;
        for (std::uint32_t i = 0; i < 12; ++i)  // from twice as many nodes as are kept
            reports.push_back(
                {1 + static_cast<std::uint32_t>(rng() % 8), at - static_cast<Ticks>(rng() % (15 * s))});
        Observations in_order, mixed;
        for (const auto& report : reports) in_order.add(report.node, report.when, at);
        auto twice = reports;
        twice.insert(twice.end(), reports.begin(), reports.end());
        std::shuffle(twice.begin(), twice.end(), rng);
        for (const auto& report : twice) mixed.add(report.node, report.when, at);
        const auto from_ordered = in_order.newest(), from_mixed = mixed.newest();
        REQUIRE(in_order.is_unresponsive(at) == mixed.is_unresponsive(at));
        REQUIRE(from_ordered[0].when == from_mixed[0].when);
        REQUIRE(from_ordered[1].when == from_mixed[1].when);
    }
}

// Setups that fail on all endpoints have a shared cause, such as a store. Ejecting endpoints for them would
// add to the congestion.
TEST_CASE("failures on one endpoint eject it, failures on all endpoints eject none") {
    failure_detector::OutcomeTotals all;
    failure_detector::FailureLikelihood good, bad;
    for (int i = 0; i < 40; ++i) good.count(false, false, all, at);
    bad.count(true, false, all, at);
    bad.count(true, false, all, at);
    CHECK(bad.log_likelihood_ratio >= failure_detector::ejection_threshold);
    failure_detector::OutcomeTotals all_failing;
    std::array<failure_detector::FailureLikelihood, 4> endpoints;
    for (int i = 0; i < 12; ++i)
        for (auto& endpoint : endpoints) endpoint.count(true, false, all_failing, at);
    for (const auto& endpoint : endpoints)
        CHECK(endpoint.log_likelihood_ratio < failure_detector::ejection_threshold);
}

// A node that is wrong about an endpoint must not make others eject it, even if others pass its observation
// on.
TEST_CASE("gossip ejects an endpoint on the observations of two nodes, not on one that is repeated") {
    GossipReceiver receiver;
    receiver.receive(3, 7, 3, no_observer);
    receiver.node.advance(100 * ms);
    receiver.receive(4, 7, 3, no_observer);  // forwarded by another node
    receiver.receive(4, 7, 3, 3);            // the same observer twice
    CHECK(receiver.excluded() == 0);
    receiver.receive(4, 7, 4, 3);
    CHECK(receiver.excluded() == 1);
}

TEST_CASE("an observation by an unknown node, from the future or replayed an hour later has no effect") {
    GossipReceiver receiver;
    receiver.receive(3, 7, 3, 60);
    receiver.receive(3, 7, 60, 4);
    receiver.receive(3, 7, 3, 4, -1 * s);
    receiver.receive(3, 7, 3, 4, 3600 * s);
    receiver.receive(99, 7, 3, 4);
    CHECK(receiver.excluded() == 0);
}

// Nodes of an older version report an unhealthy endpoint without naming the observers. This is no evidence.
TEST_CASE("an unhealthy flag in a load report of an older version ejects no endpoint") {
    GossipReceiver receiver;
    receiver.report(7, false);
    CHECK(receiver.excluded() == 0);
}

// This node may send nothing to the endpoint and then gets no evidence of its own. The ejection must end when
// the other nodes no longer observe the failure.
TEST_CASE("an endpoint ejected on gossip alone is readmitted when the gossip is not renewed") {
    GossipReceiver receiver({7, 8, 9, 10});
    receiver.receive(3, 7, 3, 4);
    receiver.node.advance(8 * s);
    CHECK(receiver.excluded() == 1);
    receiver.receive(3, 7, 3, 4);  // renewed
    receiver.node.advance(8 * s);
    CHECK(receiver.excluded() == 1);
    receiver.node.advance(3 * s);
    CHECK(receiver.excluded() == 0);
}

// Other nodes may be unable to reach an endpoint that this node can use.
TEST_CASE("a node that has just opened a tunnel on an endpoint does not eject it on gossip") {
    GossipReceiver receiver;
    std::uint64_t tunnel = 1;
    do {
        receiver.node.on_request(tunnel);
        receiver.node.open(tunnel);
    } while (receiver.node.last_attempt().endpoint != 7 && ++tunnel < 100);
    REQUIRE(receiver.node.last_attempt().endpoint == 7);
    receiver.receive(3, 7, 3, 4);
    CHECK(receiver.excluded() == 0);
}

// Many nodes may agree and all be wrong, for instance when they are cut off from a zone that this node can
// reach.
TEST_CASE("gossip ejects at most half of a zone or cell until the node itself observes a failure there") {
    GossipReceiver receiver(std::vector<std::uint32_t>{});
    receiver.node.balancer->begin_endpoint_list(EndpointListKind::complete);
    for (std::uint32_t endpoint = 1; endpoint <= 8; ++endpoint)
        receiver.node.balancer->add_endpoint(endpoint, endpoint <= 4 ? 0 : 1,
                                             endpoint <= 4 ? 0 : endpoint / 7, EndpointState::active, 1, 0);
    receiver.node.balancer->end_endpoint_list();
    receiver.node.advance(5 * s);
    for (std::uint32_t endpoint = 1; endpoint <= 4; ++endpoint) receiver.receive(3, endpoint, 3, 4);
    CHECK(receiver.excluded() == 2);
    receiver.receive(3, 5, 3, 4);
    receiver.receive(3, 6, 3, 4);  // in the other zone, in another cell than the next two
    CHECK(receiver.excluded() == 3);
    // This endpoint was ejected on gossip, and is now ejected on the node's own observation.
    receiver.node.balancer->on_unresponsive(1, 2 * s);
    CHECK(receiver.excluded() == 3);
    receiver.receive(5, 3, 5, 6);
    CHECK(receiver.excluded() == 4);
}

// A node cannot tell a failed endpoint from a failure of its own network until another endpoint has
// responded.
TEST_CASE("a node reports a failed endpoint to its report owners after another endpoint has responded") {
    GossipReceiver receiver({7, 8, 9, 10, 11});
    receiver.node.on_request(1);
    receiver.node.open(1);
    receiver.node.gossip.clear();
    receiver.node.health_checks.clear();
    receiver.node.balancer->on_unresponsive(receiver.node.last_attempt().endpoint, 1 * s);
    receiver.node.advance(400 * ms);
    CHECK(failure_reports(receiver.node) == 0);
    CHECK(!receiver.node.health_checks.empty());  // checks whether another endpoint responds
    std::erase(receiver.node.health_checks, receiver.node.last_attempt().endpoint);
    receiver.node.answer_health_checks(0.2);
    receiver.node.advance(300 * ms);
    CHECK(failure_reports(receiver.node) >= 1);
    CHECK(failure_reports(receiver.node) <= 3);
    receiver.node.gossip.clear();
    receiver.node.advance(2 * s);
    CHECK(failure_reports(receiver.node) == 0);
}

// A node that has lost its network sees all endpoints fail. Its reports would make other nodes eject healthy
// endpoints.
TEST_CASE("a node that is cut off from all endpoints reports no failure and logs this once") {
    GossipReceiver receiver({7, 8, 9, 10, 11, 12, 13, 14});
    for (std::uint64_t tunnel = 1; tunnel <= 40; ++tunnel) {
        receiver.node.on_request(tunnel);
        receiver.node.open(tunnel);
    }
    receiver.node.gossip.clear();
    receiver.node.log_lines.clear();
    for (int i = 0; i < 40; ++i) {
        for (std::uint32_t endpoint = 7; endpoint <= 14; ++endpoint)
            receiver.node.balancer->on_unresponsive(endpoint, 1 * s + i * (100 * ms));
        for (const auto endpoint : std::exchange(receiver.node.health_checks, {}))
            receiver.node.balancer->on_health_check(static_cast<std::uint32_t>(endpoint), Outcome::timed_out,
                                                    s, LoadReport{});
        receiver.node.advance(100 * ms);
    }
    CHECK(failure_reports(receiver.node) == 0);
    const auto lines_with = [&](std::string_view text) {
        return std::count_if(receiver.node.log_lines.begin(), receiver.node.log_lines.end(),
                             [&](const auto& line) { return line.find(text) != std::string::npos; });
    };
    CHECK(lines_with("failures are not reported") == 1);
    CHECK(lines_with("respond to this node again") == 0);
    receiver.node.advance(1 * s);
    receiver.node.answer_health_checks(0.2);
    CHECK(lines_with("respond to this node again") == 1);
    receiver.node.advance(3 * s);  // failures observed while it was cut off are not reported later
    CHECK(failure_reports(receiver.node) == 0);
}

// Outcomes of other nodes are gossip, too: an ejection on them needs two nodes, ends when they are not
// renewed, and is limited to half of a zone.
TEST_CASE("failed setups of two other nodes eject an endpoint for a limited time") {
    GossipReceiver receiver({7, 8, 9, 10});
    receiver.fail_elsewhere(7, {1});
    CHECK(receiver.excluded() == 0);
    receiver.fail_elsewhere(7, {1, 2});
    CHECK(receiver.excluded() == 1);
    receiver.node.advance(11 * s);
    CHECK(receiver.excluded() == 0);
    GossipReceiver half({7, 8, 9, 10});
    for (const std::uint32_t endpoint : {8, 9}) half.receive(3, endpoint, 3, 4);
    half.fail_elsewhere(7, {1, 2});
    CHECK(half.excluded() == 2);  // half of the zone has been ejected on gossip
}

// If the new process took the ejection for its own observation, the endpoint would stay ejected.
TEST_CASE("an ejection on gossip ends after a hot restart, too, when the gossip is not renewed") {
    GossipReceiver receiver;
    receiver.receive(3, 7, 3, 4);
    std::string state;
    receiver.node.balancer->serialize_state(state);
    BalancerFixture next(config_with_gossip_cost(0));
    next.now = receiver.node.now;
    next.balancer->set_time(next.now);
    next.set_endpoints({7, 8, 9});
    REQUIRE(next.balancer->restore_state(state, 0));
    CHECK(next.balancer->endpoint_counts().excluded == 1);
    next.advance(11 * s);
    CHECK(next.balancer->endpoint_counts().excluded == 0);
}

// Other nodes may reach an endpoint that this node cannot use.
TEST_CASE(
    "an endpoint that a node itself found unresponsive is readmitted only after it responds to this node") {
    GossipReceiver receiver({7, 8, 9, 10});
    receiver.node.balancer->on_unresponsive(7, 2 * s);
    REQUIRE(receiver.excluded() == 1);
    receiver.node.advance(2 * s);
    receiver.report(7, true);
    CHECK(receiver.excluded() == 1);
    receiver.node.answer_health_checks(0.2);
    receiver.report(7, true);
    CHECK(receiver.excluded() == 0);
}
