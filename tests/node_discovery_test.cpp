// The watch of the endpoint list and the reload of the configuration, on the loopback.
#include <doctest/doctest.h>

#include <array>
#include <csignal>
#include <cstdio>
#include <string>

#include "node_fixture.h"

using namespace fake;

// Calls that a discovery gets: waits for one that asks for this.
TestConnection called(NodeFixture& fixture, const TestListener& discovery, std::string_view asked) {
    TestConnection e;
    CHECK(fixture.run_until([&] {
        if (!e.fd.open()) e = discovery.accept();
        return e.fd.open() && e.has_received(asked);
    }));
    return e;
}

std::string chunk(const std::string& line) {
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", line.size() + 1);
    return size + line + "\n\r\n";
}

const std::string good_answer = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

TEST_CASE(
    "on SIGHUP a node polls the new discovery at once, accepts its revisions from the start and serves on") {
    for (const bool leaving : {false, true}) {
        NodeFixture fixture({.mode = "pass", .max_descriptors = 256, .health_checks = false});
        OpenTunnel tunnel = fixture.open_tunnel();
        for (int i = 0; i < 3; ++i)  // the old one fails again and again: the next call to it would be late
            called(fixture, fixture.discovery, "index=4 ").send("HTTP/1.1 503 Busy\r\n\r\n");
        if (leaving) std::raise(SIGTERM);
        const TestListener old = std::move(fixture.discovery);
        fixture.discovery = TestListener();
        fixture.config_text.replace(fixture.config_text.find(old.host_port()), old.host_port().size(),
                                    fixture.discovery.host_port());
        std::raise(SIGHUP);
        std::raise(SIGHUP);
        TestConnection watch;
        CHECK(fixture.run_until(
            [&] {
                if (!watch.fd.open()) watch = fixture.discovery.accept();
                return watch.fd.open() && watch.has_received("index=0 ");
            },
            150));
        watch.send(good_answer + chunk(R"({"revision":0,"complete":true,"members":[)" +
                                       NodeFixture::member("a", fixture.server_a, "terminating") + "," +
                                       NodeFixture::member("b", fixture.server_b) + "]}"));
        fixture.run_for(50);
        for (int i = 0; i < 8; ++i) {
            TestConnection c2 = fixture.connect_client("OPEN 1" + std::to_string(i) + " k c=chat,d=2000\r\n");
            const TestListener* at = nullptr;
            TestConnection h2 = fixture.accept_attempt(&at);
            CHECK(at == &fixture.server_b);
            h2.send("UP r\r\n");
            fixture.run_until([&] { return c2.has_received("UP r\r\n"); });
        }
        std::raise(SIGHUP);  // nothing has changed: the watch stands
        fixture.run_for(50);
        CHECK(!watch.is_closed());
        tunnel.server.send("still here\r\n");
        CHECK(fixture.run_until([&] { return tunnel.client.has_received("still here\r\n"); }));
    }
}

TEST_CASE("an invalid new configuration is logged with its key, and the old one is kept") {
    std::array<int, 2> p{};
    REQUIRE(::pipe(p.data()) == 0);
    const net::Fd in(p[0]), out(p[1]);
    NodeFixture fixture(
        {.mode = "pass", .max_descriptors = 256, .health_checks = false, .log_descriptor = out.get()});
    TestConnection watch = called(fixture, fixture.discovery, "index=4 ");
    const std::string good = fixture.config_text;
    const auto reread = [&](std::string_view part, std::string_view by) {
        fixture.config_text = good;
        fixture.config_text.replace(fixture.config_text.find(part), part.size(), by);
        std::raise(SIGHUP);
        fixture.run_for(30);
        std::array<char, 4096> bytes;
        const ssize_t n = ::read(in.get(), bytes.data(), bytes.size());
        return std::string(bytes.data(), static_cast<std::size_t>(std::max<ssize_t>(n, 0)));
    };
    CHECK(reread(R"("discovery":"127)", R"("discovery":"x127)").find("'discovery'") != std::string::npos);
    CHECK(reread(R"("known":)", R"("known")").find("not JSON") != std::string::npos);
    CHECK(reread(R"("name":"chat")", R"("name":"talk")").find("profiles") != std::string::npos);
    CHECK(reread(R"("listen":"127.0.0.1)", R"("listen":"127.0.0.2)").find("listen") != std::string::npos);
    CHECK(!watch.is_closed());
    CHECK(fixture.open_tunnel().client.fd.open());
}

TEST_CASE(
    "the watch is kept, closed when silent, reopened after a backoff; broken and old lists do no harm") {
    NodeFixture fixture;
    const auto call = [&](std::string_view asked) { return called(fixture, fixture.discovery, asked); };
    for (const char* bad :
         {"HTTP/1.1 503 Busy\r\n\r\n", "nonsense\r\n", "HTTP/1.1 200 OK\r\n\r\n{\"revision\"\n"})
        call("GET /api/targets?stream=1&index=4 ").send(bad);
    TestConnection watch = call("index=4 ");
    // An old list takes nothing away; a host that drains gets nothing new; an entry that cannot be read is
    // passed over with no other taken for gone.
    watch.send(good_answer + chunk(R"({"revision":3,"complete":true,"members":[]})") +
               chunk(R"({"revision":6,"complete":true,"members":[{"id":7},)" +
                     NodeFixture::member("a", fixture.server_a, "terminating") + "]}"));
    fixture.run_for(50);
    for (int i = 0; i < 8; ++i) {
        TestConnection c = fixture.connect_client(fixture.open_line());
        const TestListener* at = nullptr;
        TestConnection h = fixture.accept_attempt(&at);
        CHECK(at == &fixture.server_b);
        h.send("UP r\r\n");
        fixture.run_until([&] { return c.has_received("UP r\r\n"); });
    }
    CHECK(fixture.run_until([&] { return watch.is_closed(); }, 5500));  // no empty line for 5 s
    call("index=6 ");
}
