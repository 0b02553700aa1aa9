// Clients that a node asks to migrate: in a graceful shutdown, or since their host does not respond.
#include <doctest/doctest.h>

#include <chrono>
#include <csignal>
#include <string>

#include "node_fixture.h"

using namespace fake;

TEST_CASE(
    "in a graceful shutdown the node serves new clients, migrates all between lines and exits when empty") {
    NodeFixture fixture({.mode = "proxy", .max_descriptors = 256, .health_checks = false});
    OpenTunnel tunnel = fixture.open_tunnel();
    tunnel.server.send("half a ");
    CHECK(fixture.run_until([&] { return tunnel.client.has_received("half a "); }));
    std::raise(SIGTERM);
    fixture.run_for(300);
    OpenTunnel second = fixture.open_tunnel();
    CHECK(fixture.run_until([&] { return second.client.is_closed(); }));
    CHECK(second.client.received == "MOVE\r\n");
    CHECK(!tunnel.client.is_closed());
    tunnel.server.send("line\r\nand half of the ne");
    CHECK(fixture.run_until([&] { return tunnel.client.is_closed(); }));
    CHECK(tunnel.client.received == "half a line\r\nMOVE\r\n");
    CHECK(!tunnel.client.reset);
    tunnel.client.fd.close(), second.client.fd.close(), tunnel.server.fd.close(), second.server.fd.close();
    CHECK(fixture.run_until([&] { return !fixture.running; }));
}

TEST_CASE("with packet passthrough a graceful shutdown keeps open tunnels") {
    NodeFixture fixture;
    OpenTunnel tunnel = fixture.open_tunnel();
    std::raise(SIGTERM);
    fixture.run_for(1200);
    CHECK(!tunnel.client.is_closed());
    tunnel.server.send("BYE\r\n");
    tunnel.server.shutdown_write();
    CHECK(fixture.run_until([&] { return tunnel.client.is_closed(); }));
    CHECK(tunnel.client.received == "BYE\r\n");
    tunnel.client.fd.close();
    CHECK(fixture.run_until([&] { return !fixture.running; }));
}

TEST_CASE("clients of a host that sends no line any more are migrated within seconds") {
    NodeFixture fixture;
    OpenTunnel tunnel = fixture.open_tunnel();
    tunnel.client.send("hello\r\n");
    for (int i = 0; i < 16 && !tunnel.client.is_closed(); ++i) {
        tunnel.server.send("LOAD 100\r\n");  // it still tells its load
        fixture.run_until([&] { return tunnel.client.is_closed(); }, 250);
    }
    CHECK(tunnel.client.is_closed());
    CHECK(tunnel.client.received.substr(tunnel.client.received.size() - 6) == "MOVE\r\n");
    CHECK(!tunnel.client.reset);
}

TEST_CASE(
    "a tunnel whose lines go unanswered is migrated within 7 s, though others on that host are answered") {
    NodeFixture fixture;
    fixture.server_b.fd.close();
    OpenTunnel tunnel = fixture.open_tunnel();
    OpenTunnel other = fixture.open_tunnel();
    tunnel.client.send("hello\r\n");
    const auto quiet_for = [&](int ms) {
        for (; ms > 0 && !tunnel.client.is_closed(); ms -= 500) {
            other.client.send("line\r\n");
            other.server.send("line\r\n");
            fixture.run_until([&] { return tunnel.client.is_closed(); }, 500);
        }
        return !tunnel.client.is_closed();
    };
    CHECK(quiet_for(4000));
    CHECK(!quiet_for(2500));
    CHECK(tunnel.client.received == "MOVE\r\n");
    CHECK(!other.client.is_closed());
}

TEST_CASE("a tunnel that goes unanswered is migrated within 7 s of its last line, not of the first") {
    NodeFixture fixture;
    fixture.server_b.fd.close();
    OpenTunnel tunnel = fixture.open_tunnel();
    OpenTunnel other = fixture.open_tunnel();
    const auto begin = std::chrono::steady_clock::now();
    for (int ms = 0; ms < 6800 && !tunnel.client.is_closed();
         ms += 100) {  // the other goes on: the host is not to blame
        if (ms % 2000 == 1900) tunnel.client.send("hello\r\n");
        if (ms % 2000 == 900) other.client.send("line\r\n");
        if (ms % 2000 == 1000) other.server.send("line\r\n");
        fixture.run_until([&] { return tunnel.client.is_closed(); }, 100);
    }
    CHECK(tunnel.client.received == "MOVE\r\n");
    CHECK(std::chrono::steady_clock::now() - begin > std::chrono::milliseconds(5800));
    CHECK(!other.client.is_closed());
}
