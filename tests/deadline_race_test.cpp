// Events that arrive in the same pass of the event loop in which a timeout or a drain grace ends. A stalled
// process sees both at once. It must not drop a line that has arrived, count a timeout against an endpoint
// that had no time to answer, or write to an endpoint whose grace is over.
#include <doctest/doctest.h>

#include <chrono>
#include <string>
#include <utility>
#include <vector>

#include "balancer_fixture.h"
#include "watch_fixture.h"

using namespace fake;

TEST_CASE("a line that arrives just as its timeout expires is answered") {
    NodeFixture fixture;
    TestConnection client = fixture.connect_client();
    fixture.run_for(2300);
    stall(300);  // the timeout has expired by the next pass, and the line arrives during that pass
    const std::string line = fixture.open_line();
    fixture.kernel.after_poll = [&] { client.send(line); };
    fixture.running = fixture.node->run_once();
    TestConnection server = fixture.accept_attempt();
    server.send("UP r\r\n");
    CHECK(fixture.run_until([&] { return client.has_received("\r\n"); }));
    CHECK(!client.reset);
}

TEST_CASE("attempts with almost no time left do not count against their endpoint") {
    for (const Outcome outcome : {Outcome::timed_out, Outcome::withdrawn}) {
        fake::BalancerFixture node;
        node.set_endpoints({1, 2});
        for (std::uint64_t tunnel = 1; tunnel <= 40; ++tunnel) {
            node.on_request(tunnel, "", false, 5 * ms);
            if (node.attempts_of(tunnel) == 0) continue;
            node.advance(5 * ms);
            node.balancer->on_ended(tunnel, 0, node.last_attempt().endpoint, outcome, 5 * ms, false);
        }
        CHECK(node.balancer->endpoint_counts().excluded == 0);
        // An endpoint that answers after it was unreachable is treated as in slow start, since it may have
        // restarted. These endpoints were never unreachable.
        for (std::uint64_t tunnel = 101; tunnel <= 110; ++tunnel) {
            node.on_request(tunnel);
            REQUIRE(node.attempts_of(tunnel) == 1);
            node.open(tunnel);
        }
        for (const std::string& line : node.log_lines)
            CHECK(line.find("treating it as in slow start") == std::string::npos);
    }
}

TEST_CASE("nothing is written to an endpoint whose drain grace ended while the node was stalled") {
    NodeFixture fixture({.drain_grace = "0.1"});
    Watch watch(fixture);
    TestConnection client = fixture.connect_client(fixture.open_line());
    fixture.kernel.connection_error = [&](int fd) {
        stall(150);
        return fixture.kernel.Kernel::connect_error(fd);
    };
    // The drain and the established connection are both ready before the next pass.
    std::vector<TestConnection> servers;
    REQUIRE(fixture.run_until([&] {
        for (const TestListener* listener : {&fixture.server_a, &fixture.server_b})
            if (TestConnection accepted = listener->accept(); accepted.fd.open())
                servers.push_back(std::move(accepted));
        return !servers.empty();
    }));
    watch.send_list(NodeFixture::member("a", fixture.server_a, "terminating") + "," +
                        NodeFixture::member("b", fixture.server_b, "terminating"),
                    true);
    fixture.run_for(500);
    for (TestConnection& server : servers) CHECK(!server.has_received("OPEN"));
    CHECK(fixture.run_until([&] { return client.has_received("\r\n"); }));
}
