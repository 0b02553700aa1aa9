// Events that come in the pass in which a wait or a grace ends.
#include <doctest/doctest.h>

#include <chrono>
#include <string>
#include <utility>
#include <vector>

#include "balancer_fixture.h"
#include "watch_fixture.h"

using namespace fake;

TEST_CASE("a line that arrives as its timeout ends is answered") {
    NodeFixture fixture;
    TestConnection client = fixture.connect_client();
    fixture.run_for(2300);
    stall(300);  // the wait is over in the next pass, and behind its back the line comes
    const std::string line = fixture.open_line();
    fixture.kernel.after_poll = [&] { client.send(line); };
    fixture.running = fixture.node->run_once();
    TestConnection host = fixture.accept_attempt();
    host.send("UP r\r\n");
    CHECK(fixture.run_until([&] { return client.has_received("\r\n"); }));
    CHECK(!client.reset);
}

TEST_CASE("attempts with almost no time left say nothing about their endpoint") {
    for (const Outcome ending : {Outcome::timed_out, Outcome::withdrawn}) {
        fake::BalancerFixture node;
        node.set_endpoints({1, 2});
        for (std::uint64_t tunnel = 1; tunnel <= 40; ++tunnel) {
            node.on_request(tunnel, "", false, 5 * ms);
            if (node.attempts_of(tunnel) == 0) continue;
            node.advance(5 * ms);
            node.balancer->on_ended(tunnel, 0, node.last_attempt().endpoint, ending, 5 * ms, false);
        }
        CHECK(node.balancer->endpoint_counts().excluded == 0);
        // One that answers after it was out of reach is treated as warming up until the list tells of it.
        for (std::uint64_t tunnel = 101; tunnel <= 110; ++tunnel) {
            node.on_request(tunnel);
            REQUIRE(node.attempts_of(tunnel) == 1);
            node.open(tunnel);
        }
        for (const std::string& line : node.log_lines)
            CHECK(line.find("treated as warming up") == std::string::npos);
    }
}

TEST_CASE("nothing is written to an endpoint whose grace ended while the node was held up") {
    NodeFixture fixture({.drain_grace = "0.1"});
    Watch watch(fixture);
    TestConnection client = fixture.connect_client(fixture.open_line());
    fixture.kernel.connection_error = [&](int fd) {
        stall(150);
        return fixture.kernel.Kernel::connect_error(fd);
    };
    // The drain and the connection that is up are both ready before the next pass.
    std::vector<TestConnection> hosts;
    REQUIRE(fixture.run_until([&] {
        for (const TestListener* d : {&fixture.server_a, &fixture.server_b})
            if (TestConnection e = d->accept(); e.fd.open()) hosts.push_back(std::move(e));
        return !hosts.empty();
    }));
    watch.send_list(NodeFixture::member("a", fixture.server_a, "terminating") + "," +
                        NodeFixture::member("b", fixture.server_b, "terminating"),
                    true);
    fixture.run_for(500);
    for (TestConnection& host : hosts) CHECK(!host.has_received("OPEN"));
    CHECK(fixture.run_until([&] { return client.has_received("\r\n"); }));
}
