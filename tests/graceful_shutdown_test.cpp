// Graceful shutdown within the deadlines of clients, and events that come in the pass in which the node would
// exit.
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

TEST_CASE("with deadlines of 0.5 s all clients are migrated before SIGKILL, those with half a line too") {
    NodeFixture fixture({.mode = "proxy", .client_timeout = "0.55"});
    OpenTunnel tunnel = fixture.open_tunnel();
    OpenTunnel stuck = fixture.open_tunnel();
    stuck.client.send("half a line");
    REQUIRE(fixture.run_until([&] { return stuck.server.has_received("half a line"); }));
    const auto told = Clock::now();
    std::raise(SIGTERM);
    REQUIRE(fixture.run_until([&] { return ms_since(told) >= 380; }, 2000));
    TestConnection late = fixture.connect_client("OPEN late k c=chat,d=550\r\n");
    TestConnection late_host = fixture.accept_attempt();
    REQUIRE(fixture.run_until([&] { return ms_since(told) >= 600; }, 2000));
    late_host.send("UP r\r\n");
    // The longest deadline and 0.7 s later comes SIGKILL.
    const int left = 1250 - ms_since(told);
    REQUIRE(left > 0);
    fixture.run_until(
        [&] {
            return tunnel.client.has_received("MOVE") && stuck.client.has_received("MOVE") &&
                   late.has_received("MOVE");
        },
        left);
    CHECK(tunnel.client.has_received("MOVE\r\n"));
    CHECK(late.has_received("UP r\r\nMOVE\r\n"));
    CHECK(stuck.client.has_received("MOVE\r\n"));
}

TEST_CASE("an attempt that outlasts the graceful shutdown is answered before SIGKILL") {
    for (const char* mode : {"pass", "proxy"}) {
        NodeFixture fixture({.mode = mode, .client_timeout = "6"});
        TestConnection c = fixture.connect_client("OPEN 1 k c=chat,d=6000\r\n");
        TestConnection h = fixture.accept_attempt();
        const auto told = Clock::now();
        std::raise(SIGTERM);
        fixture.run_for(100);
        TestConnection late = fixture.connect_client("OPEN 2 k2 c=chat,d=6000\r\n");
        std::vector<TestConnection> silent;
        fixture.run_until(
            [&] {
                for (const TestListener* d : {&fixture.server_a, &fixture.server_b})
                    for (TestConnection e = d->accept(); e.fd.open(); e = d->accept())
                        silent.push_back(std::move(e));
                return c.is_closed() && late.is_closed();
            },
            3650 - ms_since(told));
        CHECK(c.has_received("\r\n"));
        CHECK(late.has_received("\r\n"));
    }
}

TEST_CASE("a line that arrives in the pass in which the node would exit is answered") {
    for (const bool accepted : {true, false}) {
        NodeFixture fixture({.mode = "proxy"});
        TestConnection c;
        if (accepted) c = fixture.connect_client();
        fixture.run_for(20);
        const auto told = Clock::now();
        std::raise(SIGTERM);
        REQUIRE(fixture.run_until([&] { return ms_since(told) >= 400; }, 2000));
        const std::string line = fixture.open_line();
        // The pass that finds the node empty, all timers due, knows of nothing; behind its back the line
        // comes.
        stall(400);
        fixture.kernel.after_poll = [&] {
            if (!accepted) c = fixture.connect_client();
            c.send(line);
        };
        fixture.running = fixture.node->run_once();
        REQUIRE(fixture.running);
        TestConnection h = fixture.accept_attempt();
        h.send("UP r\r\n");
        CHECK(fixture.run_until([&] { return c.has_received("UP r\r\nMOVE\r\n"); }));
        c = {};
        CHECK(fixture.run_until([&] { return !fixture.running; }));
    }
}

TEST_CASE("a node that has been draining for long still serves and migrates new clients") {
    NodeFixture fixture({.mode = "proxy", .admin = true});
    REQUIRE(fixture.post("/healthcheck/fail").find(" 200 ") != std::string::npos);
    const auto told = Clock::now();
    REQUIRE(fixture.run_until([&] { return ms_since(told) >= 4100; }, 6000));
    TestConnection c = fixture.connect_client(fixture.open_line()), h = fixture.accept_attempt();
    h.send("UP r\r\n");
    CHECK(fixture.run_until([&] { return c.has_received("UP r\r\nMOVE\r\n"); }));
}
