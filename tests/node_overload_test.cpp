// A node with few descriptors: whom it serves, whom it closes.
#include <doctest/doctest.h>
#include <sys/resource.h>

#include <chrono>
#include <string>
#include <utility>
#include <vector>

#include "node_fixture.h"

using namespace fake;

TEST_CASE(
    "without free descriptors the node answers BUSY, and serves clients again when some have disconnected") {
    NodeFixture fixture({.mode = "pass", .max_descriptors = 40, .health_checks = false});
    std::vector<std::pair<TestConnection, TestConnection>> open;
    TestConnection refused;
    for (int i = 0; i < 40 && !refused.has_received("BUSY\r\n"); ++i) {
        refused = fixture.connect_client(fixture.open_line());
        TestConnection h = fixture.accept_attempt();
        h.send("UP r\r\n");
        fixture.run_until([&] { return refused.has_received("\r\n"); });
        if (refused.received[0] == 'U') open.emplace_back(std::exchange(refused, {}), std::move(h));
    }
    CHECK((open.size() >= 5 && open.size() < 20));
    CHECK(refused.received == "BUSY\r\n");
    open.clear();
    fixture.run_for(50);
    CHECK(fixture.open_tunnel().client.fd.open());
}

TEST_CASE("idle clients give way to active ones and are closed within 3 s") {
    NodeFixture fixture({.mode = "pass", .max_descriptors = 40, .health_checks = false});
    std::vector<TestConnection> silent;
    for (int i = 0; i < 60; ++i) {
        silent.push_back(fixture.connect_client(i % 3 == 0 ? "PING\r\n" : i % 3 == 1 ? "OPEN 7" : ""));
        if (i % 20 == 19) fixture.run_for(30);
    }
    for (int i = 0; i < 3; ++i) {
        auto t = std::chrono::steady_clock::now();
        CHECK(fixture.open_tunnel().client.fd.open());
        CHECK(std::chrono::steady_clock::now() - t < std::chrono::milliseconds(200));
    }
    CHECK(fixture.run_until([&] {
        return std::all_of(silent.begin(), silent.end(), [](TestConnection& e) { return e.is_closed(); });
    }));
}

TEST_CASE("a client whose line arrives in pieces is not taken for idle among hundreds that are") {
    NodeFixture fixture(NodeFixture::Options{.max_descriptors = 64});
    const std::string line = fixture.open_line();
    TestConnection slow = fixture.connect_client();
    std::vector<TestConnection> crowd;
    for (std::size_t at = 0; at < line.size(); at += 4) {
        slow.send(line.substr(at, 4));
        fixture.run_for(5);
        for (int i = 0; i < 12; ++i) crowd.push_back(fixture.connect_client(i % 2 == 0 ? "" : "OPEN half"));
        fixture.run_for(30);
    }
    TestConnection h = fixture.accept_attempt();
    h.send("UP r\r\n");
    CHECK(fixture.run_until([&] { return slow.has_received("UP r\r\n"); }));
    // What all these connections hold is bounded: a buffer or none for each, whatever was written of lines.
    CHECK(fixture.node->resource_usage().buffers <= 64);
    CHECK(fixture.node->resource_usage().descriptors <= 64);
}

TEST_CASE("idle clients hold a quarter of the descriptors at most, however many connect") {
    NodeFixture fixture({.mode = "pass", .max_descriptors = 200, .health_checks = false});
    std::vector<TestConnection> silent;
    for (int i = 0; i < 150; ++i) {
        silent.push_back(fixture.connect_client());
        if (i % 10 == 9) fixture.run_for(25);
    }
    fixture.run_for(25);
    CHECK(std::count_if(silent.begin(), silent.end(), [](TestConnection& e) { return !e.is_closed(); }) < 65);
    CHECK(!silent.back().is_closed());
}

TEST_CASE("a client that sends PING and stays connected is closed within about a second") {
    NodeFixture fixture;
    TestConnection c = fixture.connect_client("PING\r\n"), slow = fixture.connect_client();
    CHECK(fixture.run_until([&] { return c.is_closed(); }, 1300));
    CHECK(c.received == "PONG\r\n");
    CHECK(!slow.is_closed());
}

TEST_CASE("with no descriptor left the node neither spins nor exits, and resumes when there are some") {
    NodeFixture fixture;
    TestConnection c = fixture.connect_client();
    rlimit was{};
    ::getrlimit(RLIMIT_NOFILE, &was);
    const int next = ::dup(0);
    ::close(next);
    const rlimit none{static_cast<rlim_t>(next), was.rlim_max};
    ::setrlimit(RLIMIT_NOFILE, &none);
    int turns = 0;
    fixture.run_until([&] { return ++turns, false; }, 300);
    ::setrlimit(RLIMIT_NOFILE, &was);
    CHECK(turns < 60);
    c.send(fixture.open_line());
    TestConnection h = fixture.accept_attempt();
    h.send("UP r\r\n");
    CHECK(fixture.run_until([&] { return c.has_received("UP r\r\n"); }));
}
