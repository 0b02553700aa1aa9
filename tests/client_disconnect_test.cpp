// Clients that disconnect while something is owed to them: nothing is forwarded for them any more. Both
// events are ready before the node's next pass.
#include <doctest/doctest.h>

#include <array>
#include <cstdio>
#include <string>
#include <vector>

#include "node_fixture.h"

using namespace fake;

namespace {

enum class Leaves { ends, resets, ends_behind_bytes };

void leave(TestConnection& client, Leaves how) {
    if (how == Leaves::resets) return client.abort();
    if (how == Leaves::ends_behind_bytes) client.send("more\r\n");
    client.shutdown_write();
}

// What reaches the hosts from now on, for as long as the term says and a bit.
std::string sent_on(NodeFixture& fixture, std::vector<TestConnection>& ends) {
    fixture.run_until(
        [&] {
            for (const TestListener* d : {&fixture.server_a, &fixture.server_b})
                for (TestConnection e = d->accept(); e.fd.open(); e = d->accept())
                    ends.push_back(std::move(e));
            return false;
        },
        400);
    std::string all;
    for (TestConnection& e : ends) {
        e.receive();
        all += e.received;
    }
    return all;
}

// A client whose slot in the loop stands behind that of its host's connection to come, or before it.
TestConnection client_in_slot(NodeFixture& fixture, bool host_first) {
    TestConnection before = fixture.connect_client();
    fixture.run_for(20);
    if (!host_first) before = {};
    fixture.run_for(20);
    TestConnection c = fixture.connect_client();
    fixture.run_for(20);
    before = {};  // and its slot is the next one's
    fixture.run_for(20);
    return c;
}

}  // namespace

TEST_CASE("a client that disconnected during connect is not forwarded, whichever event is handled first") {
    for (const bool host_first : {false, true})
        for (const Leaves how : {Leaves::ends, Leaves::resets, Leaves::ends_behind_bytes}) {
            NodeFixture fixture;
            TestConnection c = client_in_slot(fixture, host_first);
            c.send(fixture.open_line());
            std::vector<TestConnection> ends;
            REQUIRE(fixture.run_until([&] {  // the connection has been asked for: the node is connecting
                for (const TestListener* d : {&fixture.server_a, &fixture.server_b})
                    if (TestConnection e = d->accept(); e.fd.open()) ends.push_back(std::move(e));
                return !ends.empty();
            }));
            REQUIRE(!ends.front().has_received("OPEN"));
            leave(c, how);
            stall(350);
            CHECK(sent_on(fixture, ends) == "");
            CHECK(fixture.node->resource_usage().tunnels == 0);
        }
}

TEST_CASE("a client that has disconnected before its line is read is not forwarded") {
    for (const bool host_first : {false, true})
        for (const Leaves how : {Leaves::ends, Leaves::resets, Leaves::ends_behind_bytes}) {
            NodeFixture fixture;
            TestConnection c = client_in_slot(fixture, host_first);
            c.send(fixture.open_line());
            leave(c, how);
            stall(350);  // the process was stopped, or had much to do
            std::vector<TestConnection> ends;
            CHECK(sent_on(fixture, ends) == "");
            CHECK(ends.empty());  // no host is even called
            CHECK(fixture.node->resource_usage().tunnels == 0);
        }
}

TEST_CASE("a client that disconnected as its first host answered BUSY is not retried on another") {
    for (const bool host_first : {false, true})
        for (const Leaves how : {Leaves::ends, Leaves::resets, Leaves::ends_behind_bytes}) {
            NodeFixture fixture;
            TestConnection c = client_in_slot(fixture, host_first);
            c.send(fixture.open_line());
            const TestListener* at = nullptr;
            TestConnection h = fixture.accept_attempt(&at);
            h.send("BUSY\r\n");
            leave(c, how);
            stall(350);
            std::vector<TestConnection> ends;
            CHECK(sent_on(fixture, ends) == "");
            CHECK(fixture.node->resource_usage().tunnels == 0);
        }
}

TEST_CASE("when the client disconnects with its line half written, the rest is not sent") {
    for (const Leaves how : {Leaves::ends, Leaves::resets, Leaves::ends_behind_bytes}) {
        NodeFixture fixture;
        fixture.kernel.cut_lines_at = 7;
        TestConnection c = fixture.connect_client(fixture.open_line());
        TestConnection h;
        REQUIRE(fixture.run_until([&] {
            for (const TestListener* d : {&fixture.server_a, &fixture.server_b})
                if (!h.fd.open()) h = d->accept();
            if (!h.fd.open() || !h.has_received("OPEN ")) return false;
            leave(c, how);  // before the pass that writes the rest
            return true;
        }));
        stall(350);
        fixture.run_for(50);
        h.receive();
        CHECK(h.received.find('\n') == std::string::npos);
        CHECK(h.is_closed());
    }
}

TEST_CASE(
    "a client that disconnected while it was queued for an endpoint is not forwarded when there is one") {
    for (const Leaves how : {Leaves::ends, Leaves::resets, Leaves::ends_behind_bytes}) {
        NodeFixture fixture;
        TestConnection watch;
        REQUIRE(fixture.run_until([&] {
            if (!watch.fd.open()) watch = fixture.discovery.accept();
            return watch.fd.open() && watch.has_received("\r\n\r\n");
        }));
        const auto tell = [&](const char* phase, int revision) {
            const std::string list = R"({"revision":)" + std::to_string(revision) +
                                     R"(,"complete":true,"members":[)" +
                                     NodeFixture::member("a", fixture.server_a, phase) + "," +
                                     NodeFixture::member("b", fixture.server_b, phase) + "]}\n";
            std::array<char, 16> size{};
            std::snprintf(size.data(), size.size(), "%zx\r\n", list.size());
            watch.send(std::string(size.data()) + list + "\r\n");
        };
        watch.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        tell("terminating", 5);
        fixture.run_for(30);
        TestConnection c = fixture.connect_client(fixture.open_line());
        REQUIRE(fixture.run_until([&] { return fixture.node->resource_usage().tunnels == 1; }));
        fixture.run_for(20);
        leave(c, how);
        tell("in_service", 6);  // both are ready before the node's next pass
        std::vector<TestConnection> ends;
        CHECK(sent_on(fixture, ends) == "");
        CHECK(fixture.node->resource_usage().tunnels == 0);
    }
}
