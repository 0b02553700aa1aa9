// Calls to discovery: how soon after a failure, and the bound that all phases share.
#include "backoff/backoff.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <random>

#include "balancer_fixture.h"

using namespace lemonstair;
using backoff::Backoff;
using fake::BalancerFixture;
using fake::ms;
using fake::s;

namespace {

BalancerConfig asking(std::uint32_t nodes) {
    BalancerConfig t = BalancerFixture::default_config(0, nodes);
    t.must_poll = true;
    t.limits.gossip_enabled = false;
    return t;
}

// Lets time pass until the module asks for the list; how long that took.
Ticks until_asked(BalancerFixture& n, Ticks limit) {
    const Ticks from = n.now;
    const int before = n.list_requests;
    while (n.list_requests == before && n.now - from < limit) n.advance(5 * ms);
    return n.now - from;
}

}  // namespace

TEST_CASE(
    "whichever phase a poll hangs in when discovery returns, the next one is sent in time for its answer") {
    // What is left of each phase, at the worst, and then the longest pause.
    const Ticks phases[] = {0, backoff::connect_timeout, backoff::request_timeout, backoff::watch_timeout};
    for (const Ticks left : phases) {
        for (int failures = 0; failures < 40; ++failures) {
            Backoff b;
            Ticks pause = 0;
            for (int i = 0; i <= failures; ++i) pause = b.on_failure(0.999999);
            CHECK(pause > 0);
            CHECK(left + pause + backoff::response_allowance <= 6 * s);
        }
    }
}

TEST_CASE("backoff grows with failures, has jitter, and is reset by an answer") {
    Backoff b(1000);
    CHECK(b.on_failure(0) == 250);
    CHECK(b.on_failure(0) == 500);
    CHECK(b.on_failure(0.5) == 2500);
    CHECK(b.failures() == 3);
    for (int i = 0; i < 100; ++i) CHECK(b.on_failure(0) <= backoff::max_delay / 4);
    b.on_success();
    CHECK(b.failures() == 0);
    CHECK(b.on_failure(0) == 250);
}

TEST_CASE(
    "300 nodes that find discovery down do not poll at one instant, nor more than twice a second each") {
    std::minstd_rand rng(7);
    std::vector<Ticks> next(300);
    std::vector<Backoff> backoffs(300);
    const auto chance = [&] { return static_cast<double>(rng()) / 2147483648.0; };
    for (auto& at : next) at = backoffs[0].on_failure(chance()), backoffs[0].on_success();
    std::vector<int> calls(90);
    for (std::size_t i = 0; i < 300; ++i)
        for (Ticks at = next[i]; at < 9 * s; at += backoffs[i].on_failure(chance())) ++calls[at / 1000];
    for (std::size_t i = 30; i < 90; ++i) CHECK(calls[i] < 60);  // 33 in each tenth of a second on the mean
    int last = 0;
    for (std::size_t i = 50; i < 90; ++i) last += calls[i];
    CHECK(last <= 300 * 2 * 4);
}

TEST_CASE(
    "a process that starts polls for the endpoint list soon, whatever the number of nodes and the interval") {
    for (const std::uint32_t nodes : {1U, 3U, 30U, 300U, 1024U})
        for (const std::uint32_t seed : {1U, 77777777U, 1234567890U}) {
            BalancerConfig t = asking(nodes);
            t.seed = seed;
            BalancerFixture n(t);
            n.set_endpoints({7, 8}, EndpointListKind::cached);
            CHECK(until_asked(n, 20 * s) <= 16 * s / 10);
        }
}

TEST_CASE("300 nodes that lose discovery together spread their first polls over a second") {
    std::vector<Ticks> after;
    for (std::uint32_t i = 0; i < 60; ++i) {
        BalancerConfig t = asking(300);
        t.seed = 7919 * (i + 1);
        BalancerFixture n(t);
        n.set_endpoints({7, 8}, EndpointListKind::cached);
        n.advance(2 * s);
        n.set_endpoints({}, EndpointListKind::failed);
        after.push_back(until_asked(n, 20 * s));
    }
    std::sort(after.begin(), after.end());
    CHECK(after[54] - after[6] > 7 * s / 10);
    CHECK(after.back() <= backoff::max_delay + 100 * ms);
}

TEST_CASE("a node that must poll does so again within the bound after each of many failures") {
    BalancerFixture n(asking(300));
    n.set_endpoints({7, 8}, EndpointListKind::cached);
    n.advance(2 * s);
    for (int i = 0; i < 30; ++i) {
        n.set_endpoints({}, EndpointListKind::failed);
        CHECK(until_asked(n, 20 * s) <= backoff::max_delay + 100 * ms);
    }
    n.set_endpoints({7, 8});
    const int before = n.list_requests;
    n.set_endpoints({}, EndpointListKind::moved);
    CHECK(n.list_requests == before + 1);  // another place: at once
}
