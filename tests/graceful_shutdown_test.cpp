// Graceful shutdown: all clients are answered and migrated before the platform kills the process, and clients
// that arrive in the very pass in which the node would exit are still answered.
#include <doctest/doctest.h>

#include <chrono>
#include <csignal>
#include <string>
#include <vector>

#include "node_fixture.h"

using namespace fake;

namespace {

using Clock = std::chrono::steady_clock;

int ms_since(Clock::time_point from) {
    return static_cast<int>(
        std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - from).count());
}

}  // namespace

TEST_CASE(
    "with client timeouts of 0.55 s all clients, even in the middle of a line, migrate before SIGKILL") {
    NodeFixture fixture({.mode = "proxy", .client_timeout = "0.55"});
    OpenTunnel tunnel = fixture.open_tunnel();
    OpenTunnel mid_line = fixture.open_tunnel();
    mid_line.client.send("half a line");
    REQUIRE(fixture.run_until([&] { return mid_line.server.has_received("half a line"); }));
    const auto signalled = Clock::now();
    std::raise(SIGTERM);
    REQUIRE(fixture.run_until([&] { return ms_since(signalled) >= 380; }, 2000));
    TestConnection late = fixture.connect_client("OPEN late k c=chat,d=550\r\n");
    TestConnection late_server = fixture.accept_attempt();
    REQUIRE(fixture.run_until([&] { return ms_since(signalled) >= 600; }, 2000));
    late_server.send("UP r\r\n");
    // SIGKILL comes after the longest client timeout and another 0.7 s.
    const int left = 1250 - ms_since(signalled);
    REQUIRE(left > 0);
    fixture.run_until(
        [&] {
            return tunnel.client.has_received("MOVE") && mid_line.client.has_received("MOVE") &&
                   late.has_received("MOVE");
        },
        left);
    CHECK(tunnel.client.has_received("MOVE\r\n"));
    CHECK(late.has_received("UP r\r\nMOVE\r\n"));
    CHECK(mid_line.client.has_received("MOVE\r\n"));
}

TEST_CASE("a client whose attempt outlasts the graceful shutdown is answered before SIGKILL") {
    for (const char* mode : {"pass", "proxy"}) {
        NodeFixture fixture({.mode = mode, .client_timeout = "6"});
        TestConnection client = fixture.connect_client("OPEN 1 k c=chat,d=6000\r\n");
        TestConnection server = fixture.accept_attempt();
        const auto signalled = Clock::now();
        std::raise(SIGTERM);
        fixture.run_for(100);
        TestConnection late = fixture.connect_client("OPEN 2 k2 c=chat,d=6000\r\n");
        std::vector<TestConnection> silent;
        fixture.run_until(
            [&] {
                for (const TestListener* listener : {&fixture.server_a, &fixture.server_b})
                    for (TestConnection attempt = listener->accept(); attempt.fd.open();
                         attempt = listener->accept())
                        silent.push_back(std::move(attempt));
                return client.is_closed() && late.is_closed();
            },
            // SIGKILL comes after 3.7 s: client timeouts count for at most 3 s, and the grace is 0.7 s.
            3650 - ms_since(signalled));
        CHECK(client.has_received("\r\n"));
        CHECK(late.has_received("\r\n"));
    }
}

TEST_CASE("a line that arrives in the pass in which the node would exit is answered") {
    for (const bool accepted : {true, false}) {
        NodeFixture fixture({.mode = "proxy"});
        TestConnection client;
        if (accepted) client = fixture.connect_client();
        fixture.run_for(20);
        std::raise(SIGTERM);
        fixture.kernel.shared = true;  // short passes, so that the node reads the signal and does no more
        fixture.run_for(50);
        REQUIRE(fixture.running);
        const std::string line = fixture.open_line();
        // In the next pass no client waits for an answer and all timers are due, so the node would exit. The
        // poll of that pass finds no event; the line arrives after it.
        constexpr Ticks past_first_exit_check = 7500;
        fixture.kernel.clock_ahead += past_first_exit_check;
        fixture.kernel.after_poll = [&] {
            if (!accepted) client = fixture.connect_client();
            client.send(line);
        };
        fixture.running = fixture.node->run_once();
        REQUIRE(fixture.running);
        TestConnection server = fixture.accept_attempt();
        server.send("UP r\r\n");
        CHECK(fixture.run_until([&] { return client.has_received("UP r\r\nMOVE\r\n"); }));
        client = {};
        CHECK(fixture.run_until([&] { return !fixture.running; }));
    }
}

TEST_CASE("a node that was drained by operators some time ago still serves and migrates new clients") {
    NodeFixture fixture({.mode = "proxy", .admin = true});
    REQUIRE(fixture.post("/healthcheck/fail").find(" 200 ") != std::string::npos);
    const auto drained = Clock::now();
    // Later than the 4 s in which a drain has to migrate all clients.
    REQUIRE(fixture.run_until([&] { return ms_since(drained) >= 4100; }, 6000));
    TestConnection client = fixture.connect_client(fixture.open_line()), server = fixture.accept_attempt();
    server.send("UP r\r\n");
    CHECK(fixture.run_until([&] { return client.has_received("UP r\r\nMOVE\r\n"); }));
}
