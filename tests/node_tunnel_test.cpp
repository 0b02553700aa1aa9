// Tunnels through a node on the loopback: setup, attempts, bytes and ends.
#include <doctest/doctest.h>

#include <string>

#include "node_fixture.h"

using namespace fake;

TEST_CASE("a client's line reaches a host with the wait that is left, and lines pass both ways unchanged") {
    NodeFixture fixture;
    TestConnection c = fixture.connect_client("OPEN 9b1f k c=chat,d=2000,x=7\r\nfirst\r\n");
    TestConnection h = fixture.accept_attempt();
    const auto d = h.received.find(",d=");
    REQUIRE(h.received.substr(0, d) == "OPEN 9b1f k c=chat");
    const int wait = std::stoi(h.received.substr(d + 3));
    CHECK((wait > 0 && wait < 2000));
    CHECK(h.received.substr(h.received.find(',', d + 1)) == ",x=7\r\n");
    h.send("UP receipt\r\nLOAD 120\r\n");
    CHECK(fixture.run_until([&] { return c.has_received("UP receipt\r\nLOAD 120\r\n"); }));
    CHECK(fixture.run_until([&] { return h.has_received("first\r\n"); }));
    c.send("a\r\nb");
    CHECK(fixture.run_until([&] { return h.has_received("first\r\na\r\nb"); }));
}

TEST_CASE("a host that refuses connections has run nothing: the tunnel is retried on the other") {
    NodeFixture fixture;
    fixture.server_a.fd.close();
    for (int i = 0; i < 6; ++i) {
        TestConnection c = fixture.connect_client(fixture.open_line());
        TestConnection h = fixture.accept_attempt();
        h.send("UP r\r\n");
        CHECK(fixture.run_until([&] { return c.has_received("UP r\r\n"); }));
    }
}

TEST_CASE("an attempt that times out is closed before the next is sent") {
    NodeFixture fixture;
    TestConnection c = fixture.connect_client(fixture.open_line());
    const TestListener *first = nullptr, *second = nullptr;
    TestConnection h1 = fixture.accept_attempt(&first), h2 = fixture.accept_attempt(&second);
    CHECK(first != second);
    CHECK(fixture.run_until([&] { return h1.is_closed(); }, 100));
    h1.send("UP late\r\n");
    h2.send("UP r\r\n");
    CHECK(fixture.run_until([&] { return c.has_received("UP r\r\n"); }));
    CHECK(c.received == "UP r\r\n");
}

TEST_CASE(
    "a tunnel that no host accepts is rejected at once with a clean close, though the client has sent more") {
    NodeFixture fixture;
    TestConnection c = fixture.connect_client("OPEN 1 k c=chat,d=2000\r\nmore\r\n");
    for (int i = 0; i < 3; ++i) fixture.accept_attempt().send("BUSY\r\n");
    CHECK(fixture.run_until([&] { return c.is_closed(); }));
    CHECK(c.received == "BUSY\r\n");
    CHECK(!c.reset);
}

TEST_CASE("a client that disconnects while it waits cancels its attempt") {
    NodeFixture fixture;
    TestConnection c = fixture.connect_client(fixture.open_line());
    TestConnection h = fixture.accept_attempt();
    c.fd.close();
    CHECK(fixture.run_until([&] { return h.is_closed(); }));
    CHECK(fixture.open_tunnel().client.fd.open());
}

TEST_CASE("an end is passed on as an end behind the last byte, a reset as a reset") {
    NodeFixture fixture;
    OpenTunnel tunnel = fixture.open_tunnel();
    tunnel.server.send("last words\r\nBYE\r\n");
    tunnel.server.shutdown_write();
    CHECK(fixture.run_until([&] { return tunnel.client.is_closed(); }));
    CHECK(tunnel.client.received == "last words\r\nBYE\r\n");
    CHECK(!tunnel.client.reset);
    OpenTunnel second = fixture.open_tunnel();
    second.server.abort();
    CHECK(fixture.run_until([&] { return second.client.is_closed(); }));
    CHECK(second.client.reset);
    OpenTunnel third = fixture.open_tunnel();
    third.client.send("bye\r\n");
    third.client.shutdown_write();
    CHECK(fixture.run_until([&] { return third.server.is_closed(); }));
    CHECK(third.server.received == "bye\r\n");
    CHECK(!third.server.reset);
}

TEST_CASE("a side that does not read applies backpressure to the other, and nothing is lost") {
    NodeFixture fixture;
    OpenTunnel tunnel = fixture.open_tunnel();
    const std::string line(1022, 'x');
    std::size_t sent = 0;
    for (int i = 0; i < 20000; ++i) {
        const auto r = net::write_some(tunnel.server.fd.get(), line + "\r\n");
        sent += r.bytes;
        if (r.bytes < 1024) fixture.run_for(1);
        if (r.bytes < 1024 && sent > 8000000) break;
    }
    CHECK(fixture.run_until([&] {
        tunnel.client.receive();
        return tunnel.client.received.size() == sent;
    }));
}

TEST_CASE("a tunnel that was open before the start is sent to its host, repeatedly until it is open") {
    NodeFixture fixture;
    TestConnection c = fixture.connect_client("OPEN 1 k c=chat,d=2000,at=b\r\n");
    for (int i = 0; i < 2; ++i) {
        TestConnection h;
        CHECK(fixture.run_until([&] {
            if (!h.fd.open()) h = fixture.server_b.accept();
            return h.fd.open() && h.has_received("at=b\r\n");
        }));
        h.send(i == 0 ? "BUSY\r\n" : "UP r\r\n");
        if (i == 1) CHECK(fixture.run_until([&] { return c.has_received("UP r\r\n"); }));
    }
    CHECK(!fixture.server_a.accept().fd.open());
}
