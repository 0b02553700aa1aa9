// Wall clocks that differ between hosts, nodes and two processes of one node.
#include <doctest/doctest.h>

#include <chrono>
#include <string>

#include "balancer_fixture.h"
#include "watch_fixture.h"

using namespace fake;
using namespace std::chrono_literals;

namespace {

// Opens so many tunnels one after the other; says how many went to the first host.
int opened_at_first(NodeFixture& fixture, int tunnels) {
    int at_first = 0;
    for (int i = 0; i < tunnels; ++i) {
        const TestListener* at = nullptr;
        TestConnection client = fixture.connect_client(fixture.open_line()),
                       host = fixture.accept_attempt(&at);
        if (host.fd.open()) host.send("UP r\r\n");
        fixture.run_until([&] { return client.has_received("\r\n"); });
        at_first += at == &fixture.server_a ? 1 : 0;
    }
    return at_first;
}

}  // namespace

TEST_CASE("a host that has just started is in slow start for its duration, whatever the node's wall clock") {
    constexpr Ticks hour = 3600 * s;
    for (const Ticks ahead : {Ticks{0}, hour, -hour, 5 * s}) {
        NodeFixture fixture({.slow_start = R"(,"cold":2,"cold_from":0.1,"fall":1.0,"tip_multiple":1)"},
                            ahead);
        Watch watch(fixture);
        watch.send_list(
            NodeFixture::member("a", fixture.server_a) + "," + NodeFixture::member("b", fixture.server_b),
            true);
        fixture.run_for(20);
        const auto unix_now = std::chrono::system_clock::now().time_since_epoch();
        const auto started = std::chrono::duration_cast<std::chrono::milliseconds>(unix_now).count();
        std::string member = NodeFixture::member("a", fixture.server_a);
        member.replace(member.find("\"up_since_ms\":0"), 15, "\"up_since_ms\":" + std::to_string(started));
        watch.send_list(member, false);
        fixture.run_for(30);
        CHECK(opened_at_first(fixture, 30) <= 5);
        fixture.run_for(2600);
        CHECK(opened_at_first(fixture, 30) >= 8);
    }
}

TEST_CASE("a tunnel transferred to a process with another wall clock is neither unresponsive nor forgotten") {
    constexpr Ticks hour = 3600 * s;
    for (const Ticks ahead : {hour, -hour}) {
        NodeFixture fixture({.mode = "proxy", .admin = true, .inherits_listener = true});
        fixture.next_kernel.clock_ahead = ahead;
        OpenTunnel tunnel = fixture.open_tunnel();
        tunnel.client.send("hello\r\n");
        REQUIRE(fixture.run_until([&] { return tunnel.server.has_received("hello\r\n"); }));
        fixture.upgrade();
        REQUIRE(fixture.run_until(
            [&] { return fixture.get("/healthcheck").find(" 200 ") != std::string::npos; }));
        const auto over = std::chrono::steady_clock::now();
        fixture.run_for(1500);
        CHECK(!tunnel.client.has_received("MOVE"));
        // It stays silent, and is moved within 7 s.
        CHECK(fixture.run_until([&] { return tunnel.client.has_received("MOVE"); }, 7000));
        CHECK(std::chrono::steady_clock::now() - over > 2s);
    }
}
