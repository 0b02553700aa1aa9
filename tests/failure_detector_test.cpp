// Judgements on hosts: what nodes found, how it merges, and what a node does with it.
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

BalancerConfig priced(std::uint32_t me, std::uint32_t nodes = 60) {
    BalancerConfig config = BalancerFixture::default_config(me, nodes);
    config.costs.gossip_message = 0.01;
    return config;
}
// A node of sixty that has been among these endpoints for a while, and what it hears of them.
struct Hearer {
    BalancerFixture n{priced(0)};
    explicit Hearer(const std::vector<std::uint32_t>& endpoints = {7, 8, 9}) {
        n.set_endpoints(endpoints);
        n.advance(5 * s);
    }
    void hear(std::uint32_t from, std::uint32_t ep, std::uint32_t first, std::uint32_t other, Ticks age = 0) {
        peer::Message m;
        m.endpoint_failure(ep, n.now - age, first, other);
        n.balancer->on_gossip(from, m.bytes());
    }
    void report(std::uint32_t ep, bool good) {
        peer::Message m;
        m.load_report(ep, good, 0.3);
        n.balancer->on_gossip(3, m.bytes());
    }
    // Setups at an ep fail at other nodes, at each in turn.
    void fail_elsewhere(std::uint32_t ep, std::vector<std::uint32_t> nodes) {
        for (std::size_t i = 0; i < 6; ++i) {
            peer::Message m;
            m.outcome(ep, static_cast<std::uint8_t>(Outcome::error));
            n.balancer->on_gossip(nodes[i % nodes.size()], m.bytes());
        }
    }
    std::uint32_t excluded() const { return n.balancer->endpoint_counts().excluded; }
};
std::size_t accusations(const BalancerFixture& n) {
    std::size_t sum = 0;
    for (const auto& [to, bytes] : n.gossip) {
        peer::BytesByKind sizes{};
        peer::add_bytes_by_kind(bytes, 1, sizes);
        sum += sizes[14] > 0 ? 1 : 0;
    }
    return sum;
}
}  // namespace

TEST_CASE(
    "one node's observation counts once however often it is sent; two nodes' are enough until they expire") {
    Observations w;
    CHECK(w.add(3, at, at));
    CHECK(!w.add(3, at, at + s));
    CHECK(w.add(3, at + s, at + s));
    CHECK(!w.is_unresponsive(at + s));
    CHECK(w.add(4, at + s, at + s));
    CHECK(w.is_unresponsive(at + s));
    CHECK(w.is_unresponsive(at + s + failure_detector::observation_lifetime - 1));
    CHECK(!w.is_unresponsive(at + s + failure_detector::observation_lifetime));
}

TEST_CASE(
    "a word of long ago, of a time to come, or of nobody has no effect, also an hour and five days later") {
    Observations w;
    CHECK(!w.add(3, at - failure_detector::observation_lifetime, at));
    CHECK(!w.add(3, at + failure_detector::max_clock_skew + 1, at));
    CHECK(!w.add(no_observer, at, at));
    CHECK(!w.add(no_observer + 1, at, at));
    const auto told = static_cast<std::uint32_t>(at);
    for (const Ticks later : {20 * s, 3600 * s, 100 * (3600 * s)})
        CHECK(!w.add(3, failure_detector::expand_time(told, at + later), at + later));
    CHECK(failure_detector::expand_time(told, at + 3 * s) == at);
    CHECK(failure_detector::expand_time(told, at - 2000) == at);
}

TEST_CASE("a success seen by any node outweighs failures observed before it") {
    Observations w;
    w.add(3, at, at);
    w.add(4, at, at);
    w.on_healthy(at + 1);
    CHECK(!w.is_unresponsive(at + 1));
    CHECK(w.is_failing(at + 1));
    w.add(3, at + 2, at + 2);
    CHECK(!w.is_unresponsive(at + 2));
    w.add(5, at + 2, at + 2);
    CHECK(w.is_unresponsive(at + 2));
    w.on_healthy(at);  // an older one, late
    CHECK(w.is_unresponsive(at + 2));
}

TEST_CASE("observations merge to the same result in any order and any number of times") {
    std::minstd_rand rng(7);
    struct Said {
        std::uint32_t node;
        Ticks when;
    };
    for (int round = 0; round < 2000; ++round) {
        std::vector<Said> said;
        for (std::uint32_t i = 0; i < 12; ++i)  // of twice as many nodes as are kept
            said.push_back(
                {1 + static_cast<std::uint32_t>(rng() % 8), at - static_cast<Ticks>(rng() % (15 * s))});
        Observations in_order, mixed;
        for (const auto& x : said) in_order.add(x.node, x.when, at);
        auto twice = said;
        twice.insert(twice.end(), said.begin(), said.end());
        std::shuffle(twice.begin(), twice.end(), rng);
        for (const auto& x : twice) mixed.add(x.node, x.when, at);
        const auto a = in_order.newest(), b = mixed.newest();
        REQUIRE(in_order.is_unresponsive(at) == mixed.is_unresponsive(at));
        REQUIRE(a[0].when == b[0].when);
        REQUIRE(a[1].when == b[1].when);
    }
}

TEST_CASE("failures on every host blame none; failures on one host blame it") {
    failure_detector::OutcomeTotals all;
    failure_detector::FailureLikelihood good, bad;
    for (int i = 0; i < 40; ++i) good.count(false, false, all, at);
    bad.count(true, false, all, at);
    bad.count(true, false, all, at);
    CHECK(bad.log_likelihood_ratio >= failure_detector::ejection_threshold);
    failure_detector::OutcomeTotals jam;
    std::array<failure_detector::FailureLikelihood, 4> each;
    for (int i = 0; i < 12; ++i)
        for (auto& o : each) o.count(true, false, jam, at);
    for (const auto& o : each) CHECK(o.log_likelihood_ratio < failure_detector::ejection_threshold);
}

TEST_CASE("gossip ejects an endpoint on the observations of two nodes, not on one repeated") {
    Hearer h;
    h.hear(3, 7, 3, no_observer);
    h.n.advance(100 * ms);
    h.hear(4, 7, 3, no_observer);  // passed on by another
    h.hear(4, 7, 3, 3);            // and named twice
    CHECK(h.excluded() == 0);
    h.hear(4, 7, 4, 3);
    CHECK(h.excluded() == 1);
}

TEST_CASE("an observation of an unknown peer, of the future, or replayed an hour later changes nothing") {
    Hearer h;
    h.hear(3, 7, 3, 60);
    h.hear(3, 7, 60, 4);
    h.hear(3, 7, 3, 4, -1 * s);
    h.hear(3, 7, 3, 4, 3600 * s);
    h.hear(99, 7, 3, 4);
    CHECK(h.excluded() == 0);
}

TEST_CASE("an older node's message without evidence that an endpoint is bad is ignored") {
    Hearer h;
    h.report(7, false);
    CHECK(h.excluded() == 0);
}

TEST_CASE("an endpoint ejected on gossip alone is readmitted once nobody repeats it") {
    Hearer h({7, 8, 9, 10});
    h.hear(3, 7, 3, 4);
    h.n.advance(8 * s);
    CHECK(h.excluded() == 1);
    h.hear(3, 7, 3, 4);  // renewed
    h.n.advance(8 * s);
    CHECK(h.excluded() == 1);
    h.n.advance(3 * s);
    CHECK(h.excluded() == 0);
}

TEST_CASE("a node that has just had an answer of an endpoint does not accept that it is dead") {
    Hearer h;
    std::uint64_t t = 1;
    do {
        h.n.on_request(t);
        h.n.open(t);
    } while (h.n.last_attempt().endpoint != 7 && ++t < 100);
    REQUIRE(h.n.last_attempt().endpoint == 7);
    h.hear(3, 7, 3, 4);
    CHECK(h.excluded() == 0);
}

TEST_CASE("gossip ejects at most half of a zone or cell, until the node finds one dead there itself") {
    Hearer h(std::vector<std::uint32_t>{});
    h.n.balancer->begin_endpoint_list(EndpointListKind::complete);
    for (std::uint32_t ep = 1; ep <= 8; ++ep)
        h.n.balancer->add_endpoint(ep, ep <= 4 ? 0 : 1, ep <= 4 ? 0 : ep / 7, EndpointState::active, 1, 0);
    h.n.balancer->end_endpoint_list();
    h.n.advance(5 * s);
    for (std::uint32_t ep = 1; ep <= 4; ++ep) h.hear(3, ep, 3, 4);
    CHECK(h.excluded() == 2);
    h.hear(3, 5, 3, 4);
    h.hear(3, 6, 3, 4);  // in the other zone, of another cell than the next two
    CHECK(h.excluded() == 3);
    h.n.balancer->on_unresponsive(1, 2 * s);  // ejected on gossip before, now on its own observation
    CHECK(h.excluded() == 3);
    h.hear(5, 3, 5, 6);
    CHECK(h.excluded() == 4);
}

TEST_CASE(
    "a node that finds an endpoint dead notifies its reporters once another endpoint has answered since") {
    Hearer h({7, 8, 9, 10, 11});
    h.n.on_request(1);
    h.n.open(1);
    h.n.gossip.clear();
    h.n.health_checks.clear();
    h.n.balancer->on_unresponsive(h.n.last_attempt().endpoint, 1 * s);
    h.n.advance(400 * ms);
    CHECK(accusations(h.n) == 0);
    CHECK(!h.n.health_checks.empty());  // it looks whether any other answers
    std::erase(h.n.health_checks, h.n.last_attempt().endpoint);
    h.n.answer_health_checks(0.2);
    h.n.advance(300 * ms);
    CHECK(accusations(h.n) >= 1);
    CHECK(accusations(h.n) <= 3);
    h.n.gossip.clear();
    h.n.advance(2 * s);
    CHECK(accusations(h.n) == 0);
}

TEST_CASE("a node cut off from all endpoints reports none as dead and logs that once") {
    Hearer h({7, 8, 9, 10, 11, 12, 13, 14});
    for (std::uint64_t t = 1; t <= 40; ++t) {
        h.n.on_request(t);
        h.n.open(t);
    }
    h.n.gossip.clear();
    h.n.log_lines.clear();
    for (int i = 0; i < 40; ++i) {
        for (std::uint32_t ep = 7; ep <= 14; ++ep) h.n.balancer->on_unresponsive(ep, 1 * s + i * (100 * ms));
        for (const auto p : std::exchange(h.n.health_checks, {}))
            h.n.balancer->on_health_check(static_cast<std::uint32_t>(p), Outcome::timed_out, s, LoadReport{});
        h.n.advance(100 * ms);
    }
    CHECK(accusations(h.n) == 0);
    const auto says = [&](std::string_view what) {
        return std::count_if(h.n.log_lines.begin(), h.n.log_lines.end(),
                             [&](const auto& l) { return l.find(what) != std::string::npos; });
    };
    CHECK(says("failures are not reported") == 1);
    CHECK(says("respond to this node again") == 0);
    h.n.advance(1 * s);
    h.n.answer_health_checks(0.2);
    CHECK(says("respond to this node again") == 1);
    h.n.advance(3 * s);  // and what it found meanwhile is told to nobody
    CHECK(accusations(h.n) == 0);
}

TEST_CASE("failed attempts of two other nodes eject an endpoint, as gossip does: for a time") {
    Hearer h({7, 8, 9, 10});
    h.fail_elsewhere(7, {1});
    CHECK(h.excluded() == 0);
    h.fail_elsewhere(7, {1, 2});
    CHECK(h.excluded() == 1);
    h.n.advance(11 * s);
    CHECK(h.excluded() == 0);
    Hearer half({7, 8, 9, 10});
    for (const std::uint32_t ep : {8, 9}) half.hear(3, ep, 3, 4);
    half.fail_elsewhere(7, {1, 2});
    CHECK(half.excluded() == 2);  // half of the zone is ejected on gossip
}

TEST_CASE("an ejection on gossip is still one after a hot restart: it ends when nobody renews it") {
    Hearer h;
    h.hear(3, 7, 3, 4);
    std::string told;
    h.n.balancer->serialize_state(told);
    BalancerFixture next(priced(0));
    next.now = h.n.now;
    next.balancer->set_time(next.now);
    next.set_endpoints({7, 8, 9});
    REQUIRE(next.balancer->restore_state(told, 0));
    CHECK(next.balancer->endpoint_counts().excluded == 1);
    next.advance(11 * s);
    CHECK(next.balancer->endpoint_counts().excluded == 0);
}

TEST_CASE(
    "an endpoint that the node found dead itself is not readmitted on gossip before it answers this node") {
    Hearer h({7, 8, 9, 10});
    h.n.balancer->on_unresponsive(7, 2 * s);
    REQUIRE(h.excluded() == 1);
    h.n.advance(2 * s);
    h.report(7, true);
    CHECK(h.excluded() == 1);
    h.n.answer_health_checks(0.2);
    h.report(7, true);
    CHECK(h.excluded() == 0);
}
