// Input of clients and hosts that a node takes, refuses or ignores.
#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "node_fixture.h"

using namespace fake;

TEST_CASE("a first line may come cut at any byte") {
    NodeFixture fixture;
    for (std::size_t at = 1, size = 99; at < size; ++at) {
        const std::string line = "PING\r\n" + fixture.open_line();
        size = line.size();
        TestConnection c = fixture.connect_client(line.substr(0, at));
        fixture.run_for(1);
        c.send(line.substr(at));
        TestConnection h = fixture.accept_attempt();
        h.send("UP r\r\n");
        REQUIRE(fixture.run_until([&] { return c.has_received("UP r\r\n"); }));
        CHECK(c.received == "PONG\r\nUP r\r\n");
    }
}

TEST_CASE("a client that sends on after its bad line, or reconnects with it, has its ERR and costs little") {
    NodeFixture fixture({.mode = "pass", .max_descriptors = 256, .health_checks = false});
    TestConnection rude = fixture.connect_client("frob\r\n");
    const std::string more(1 << 16, 'x');
    std::size_t sent = 0;
    CHECK(fixture.run_until([&] {
        const auto r = net::write_some(rude.fd.get(), more);
        sent += r.bytes;
        return rude.has_received("ERR\r\n") && rude.ended;
    }));
    CHECK(fixture.run_until([&] { return net::write_some(rude.fd.get(), more).error != 0; }, 2000));
    CHECK(sent < (16 << 20));
    std::vector<TestConnection> rest;
    rest.reserve(300);
    for (int i = 0; i < 300; ++i) rest.push_back(fixture.connect_client("frob\r\n"));
    CHECK(fixture.open_tunnel().client.fd.open());
    CHECK(fixture.run_until([&] {
        return std::all_of(rest.begin(), rest.end(), [](TestConnection& e) { return e.is_closed(); });
    }));
}

TEST_CASE(
    "commands behind a first line, or the id of another's open tunnel, are neither passed on nor served") {
    NodeFixture fixture;
    const std::string line = fixture.open_line();
    TestConnection c = fixture.connect_client(line), h = fixture.accept_attempt();
    h.send("UP r\r\n");
    REQUIRE(fixture.run_until([&] { return c.has_received("UP r\r\n"); }));
    const auto nothing_at_hosts = [&] {
        return !fixture.server_a.accept().fd.open() && !fixture.server_b.accept().fd.open();
    };
    TestConnection twin = fixture.connect_client(line),
                   many = fixture.connect_client(fixture.open_line() + fixture.open_line());
    TestConnection pings = fixture.connect_client();
    for (int i = 0; i < 100; ++i) pings.send("PING\r\n");
    CHECK(fixture.run_until([&] { return twin.is_closed() && many.is_closed() && pings.is_closed(); }));
    CHECK(twin.received == "ERR\r\n");
    CHECK(many.received == "ERR\r\n");
    CHECK(nothing_at_hosts());
    TestConnection late = fixture.connect_client(fixture.open_line()), out = fixture.accept_attempt();
    late.send("OPEN 2 k c=chat,d=9\r\n");
    CHECK(fixture.run_until([&] { return late.is_closed() && out.is_closed(); }));
    CHECK(late.received == "ERR\r\n");
    CHECK(nothing_at_hosts());
    c.abort();  // an id is spent with its tunnel; only packets that come back mid-flow go on under it
    TestConnection again = fixture.connect_client(line);
    CHECK(fixture.run_until([&] { return again.is_closed(); }));
    CHECK(again.received == "ERR\r\n");
    CHECK(nothing_at_hosts());
    TestConnection back = fixture.connect_client(line.substr(0, line.size() - 2) + ",mid=1\r\n");
    TestConnection h2 = fixture.accept_attempt();
    h2.send("UP r\r\n");
    CHECK(fixture.run_until([&] { return back.has_received("UP r\r\n"); }));
    back.abort();  // nor does it matter that the node has yet to hear that they went elsewhere before
    back = fixture.connect_client(line.substr(0, line.size() - 2) + ",mid=1\r\n");
    fixture.accept_attempt().send("UP r\r\n");
    CHECK(fixture.run_until([&] { return back.has_received("UP r\r\n"); }));
}

TEST_CASE("bad input ends its own connection and nothing else") {
    NodeFixture fixture;
    OpenTunnel tunnel = fixture.open_tunnel();
    const std::string endless(9000, 'x');
    for (const std::string& bad :
         {endless, std::string("OPEN\r\n"), std::string("OPEN 1 k c=no,d=5\r\n"),
          std::string("OPEN 1 k c=chat,d=-1\r\n"), std::string("OPEN 1 k c=chat,d=99999999999999999999\r\n"),
          std::string("OPEN 1 k c=chat,d=soon\r\n"), std::string("OPEN 1 k c=chat,d=\r\n"),
          std::string("OPEN  k c=chat,d=5\r\n"), std::string("OPEN k c=chat,d=5\r\n"),
          std::string("OPEN 1 k\x01 c=chat,d=5\r\n"), std::string("\0\xff\r\n", 4)}) {
        TestConnection e = fixture.connect_client(bad);
        CHECK(fixture.run_until([&] { return e.is_closed(); }));
        CHECK(e.received.substr(0, 3) != "UP ");
    }
    TestConnection cut = fixture.connect_client("OPEN 1 k c=ch");
    cut.shutdown_write();
    CHECK(fixture.run_until([&] { return cut.is_closed(); }));
    TestConnection c2 = fixture.connect_client(fixture.open_line());
    fixture.accept_attempt().send(
        endless);  // a host's answer without end is no answer: another host is asked
    TestConnection h2 = fixture.accept_attempt();
    h2.send("UP r\r\n");
    CHECK(fixture.run_until([&] { return c2.has_received("UP r\r\n"); }));
    h2.send(endless);
    CHECK(fixture.run_until([&] { return c2.is_closed(); }));
    tunnel.server.send("still here\r\n");
    CHECK(fixture.run_until([&] { return tunnel.client.has_received("still here\r\n"); }));
}
