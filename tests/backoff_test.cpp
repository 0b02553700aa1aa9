// Tests of the backoff of calls to service discovery, and of the limit that the phases of a call share.
#include "backoff/backoff.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <random>

#include "balance/attempt_policy.h"
#include "balancer_fixture.h"

using namespace lemonstair;
using backoff::Backoff;
using fake::BalancerFixture;
using fake::ms;
using fake::s;

namespace {

BalancerConfig polling_config(std::uint32_t nodes) {
    BalancerConfig config = BalancerFixture::default_config(0, nodes);
    config.must_poll = true;
    config.limits.gossip_enabled = false;
    return config;
}

// Advances the time until the Balancer requests the list, and returns how long this took.
Ticks time_to_request(BalancerFixture& node, Ticks limit) {
    const Ticks from = node.now;
    const int before = node.list_requests;
    while (node.list_requests == before && node.now - from < limit) node.advance(5 * ms);
    return node.now - from;
}

}  // namespace

// A call that hangs when service discovery recovers is abandoned only at its timeout, and the next one is
// sent after a delay. Together they must leave time for the response within the staleness limit of 6 s.
TEST_CASE("whichever phase a call hangs in when discovery recovers, the next call is sent in time") {
    // The longest time that each phase can still take, after which the longest delay follows.
    const Ticks phases[] = {0, backoff::connect_timeout, backoff::request_timeout, backoff::watch_timeout};
    for (const Ticks remaining : phases) {
        for (int failures = 0; failures < 40; ++failures) {
            Backoff retries;
            Ticks delay = 0;
            for (int i = 0; i <= failures; ++i) delay = retries.on_failure(0.999999);
            CHECK(delay > 0);
            CHECK(remaining + delay + backoff::response_allowance <= 6 * s);
        }
    }
}

// Where lists are pushed, a node is told as soon as discovery can be reached again. Guards against waits that
// are longer than the drain grace (review/10).
TEST_CASE("where lists are pushed, the next call begins in time for the response, for any drain grace") {
    for (const Ticks grace : {250 * ms, 300 * ms, 500 * ms, 1 * s, 3 * s, 10 * s})
        for (const std::size_t nodes : {1U, 3U, 70U, 300U, 4096U}) {
            const backoff::PushedListWaits waits =
                backoff::pushed_list_waits(grace, attempt_policy::max_write_delay, nodes);
            CHECK(waits.after_unaccepted <= (grace - attempt_policy::max_write_delay) * 3 / 4);
            CHECK(waits.after_accepted >= waits.after_unaccepted);
            CHECK(waits.after_accepted <= (grace + 1) * 3 / 4);
            if (nodes <= 70) CHECK(waits.after_accepted == waits.after_unaccepted);
            Backoff retries;
            for (int failures = 0; failures < 40; ++failures)
                CHECK(retries.on_failure(0.999999, waits.after_accepted) <= waits.after_accepted);
        }
}

TEST_CASE("a process calls at most twenty times a second, however short its drain grace") {
    const backoff::PushedListWaits shortest = backoff::pushed_list_waits(1, 1500, 1);
    CHECK(shortest.after_unaccepted == 50 * ms);
    CHECK(shortest.after_accepted == 50 * ms);
    CHECK(backoff::pushed_list_waits(60 * s, 1500, 3).after_unaccepted == backoff::max_delay);
}

// Nodes that lost discovery together are spread by the first delay; later ones need less jitter, which saves
// calls.
TEST_CASE("the first delay is spread widely, the others keep near the longest one") {
    Backoff retries(2500, 0.2);
    CHECK(retries.on_failure(0, 750) == 188);
    CHECK(retries.on_failure(0, 750) == 600);
    CHECK(retries.on_failure(1, 750) == 750);
    retries.on_success();
    CHECK(retries.on_failure(0, 750) == 188);
}

TEST_CASE("the delay grows with each failure, has jitter, and is reset by a success") {
    Backoff retries(1000);
    CHECK(retries.on_failure(0) == 250);
    CHECK(retries.on_failure(0) == 500);
    CHECK(retries.on_failure(0.5) == 2500);
    CHECK(retries.failures() == 3);
    for (int i = 0; i < 100; ++i) CHECK(retries.on_failure(0) <= backoff::max_delay / 4);
    retries.on_success();
    CHECK(retries.failures() == 0);
    CHECK(retries.on_failure(0) == 250);
}

// All nodes of a fleet lose service discovery at the same time. If they retried together or too often, it
// could not come up again.
TEST_CASE("300 nodes that fail to reach discovery spread their calls, each at most two per second") {
    std::minstd_rand rng(7);
    std::vector<Ticks> next(300);
    std::vector<Backoff> backoffs(300);
    const auto chance = [&] { return static_cast<double>(rng()) / 2147483648.0; };
    for (auto& at : next) at = backoffs[0].on_failure(chance()), backoffs[0].on_success();
    std::vector<int> calls(90);
    for (std::size_t i = 0; i < 300; ++i)
        for (Ticks at = next[i]; at < 9 * s; at += backoffs[i].on_failure(chance())) ++calls[at / 1000];
    for (std::size_t i = 30; i < 90; ++i) CHECK(calls[i] < 60);  // on average 33 in each tenth of a second
    int last_four_seconds = 0;
    for (std::size_t i = 50; i < 90; ++i) last_four_seconds += calls[i];
    CHECK(last_four_seconds <= 300 * 2 * 4);
}

// The list that a starting process holds may be old. In a large fleet first calls are spread, but the last of
// them must still come soon.
TEST_CASE("a node that starts requests the endpoint list within 1.6 s, whatever the number of nodes") {
    for (const std::uint32_t nodes : {1U, 3U, 30U, 300U, 1024U})
        for (const std::uint32_t seed : {1U, 77777777U, 1234567890U}) {
            BalancerConfig config = polling_config(nodes);
            config.seed = seed;
            BalancerFixture node(config);
            node.set_endpoints({7, 8}, EndpointListKind::cached);
            CHECK(time_to_request(node, 20 * s) <= 16 * s / 10);
        }
}

// The delay after the first failure must be long enough to spread the calls of a large fleet.
TEST_CASE("300 nodes that lose discovery together spread their next requests over most of a second") {
    std::vector<Ticks> delays;
    for (std::uint32_t i = 0; i < 60; ++i) {
        BalancerConfig config = polling_config(300);
        config.seed = 7919 * (i + 1);
        BalancerFixture node(config);
        node.set_endpoints({7, 8}, EndpointListKind::cached);
        node.advance(2 * s);
        node.set_endpoints({}, EndpointListKind::failed);
        delays.push_back(time_to_request(node, 20 * s));
    }
    std::sort(delays.begin(), delays.end());
    CHECK(delays[54] - delays[6] > 7 * s / 10);
    CHECK(delays.back() <= backoff::max_delay + 100 * ms);
}

TEST_CASE(
    "a node requests the list again within the longest delay after a failure, and at once after a move") {
    BalancerFixture node(polling_config(300));
    node.set_endpoints({7, 8}, EndpointListKind::cached);
    node.advance(2 * s);
    for (int i = 0; i < 30; ++i) {
        node.set_endpoints({}, EndpointListKind::failed);
        CHECK(time_to_request(node, 20 * s) <= backoff::max_delay + 100 * ms);
    }
    node.set_endpoints({7, 8});
    const int before = node.list_requests;
    node.set_endpoints({}, EndpointListKind::moved);
    CHECK(node.list_requests == before + 1);  // another service holds the list: at once
}
