// System calls and file reads that fail for a moment. The node must continue, answer its clients, and not
// count its own failures against a server.
#include <doctest/doctest.h>

#include <cerrno>
#include <chrono>
#include <csignal>
#include <memory>
#include <string>

#include "node_fixture.h"

using namespace fake;
using namespace std::chrono_literals;

TEST_CASE("a poll that fails for lack of memory does not end the node") {
    NodeFixture fixture;
    OpenTunnel tunnel = fixture.open_tunnel();
    fixture.kernel.poll_failures = {3, ENOMEM};
    fixture.run_for(50);
    tunnel.client.send("hello\r\n");
    CHECK(fixture.run_until([&] { return tunnel.server.has_received("hello\r\n"); }));
}

TEST_CASE("a configuration that cannot be read at the moment of SIGHUP is read shortly after") {
    NodeFixture fixture;
    TestConnection watch;
    REQUIRE(fixture.run_until([&] {
        if (!watch.fd.open()) watch = fixture.discovery.accept();
        return watch.fd.open();
    }));
    const TestListener moved;
    fixture.config_text.replace(fixture.config_text.find(fixture.discovery.host_port()),
                                fixture.discovery.host_port().size(), moved.host_port());
    fixture.failing_reads = 2;
    std::raise(SIGHUP);
    TestConnection new_watch;
    CHECK(fixture.run_until(
        [&] {
            if (!new_watch.fd.open()) new_watch = moved.accept();
            return new_watch.fd.open();
        },
        3500));
}

TEST_CASE("a node does not exit as long as it cannot check the queue of its listener") {
    for (const int error : {ECONNABORTED, EINTR, ENFILE}) {
        NodeFixture fixture({.mode = "proxy"});
        const auto signalled = std::chrono::steady_clock::now();
        std::raise(SIGTERM);
        REQUIRE(
            fixture.run_until([&] { return std::chrono::steady_clock::now() - signalled > 400ms; }, 2000));
        stall(400);
        TestConnection client;
        const std::string line = fixture.open_line();
        fixture.kernel.after_poll = [&] {
            client = fixture.connect_client(line);
            fixture.kernel.accept_failures = {1, error};
        };
        fixture.running = fixture.node->run_once();
        CHECK(fixture.running);
        if (!fixture.running) continue;
        TestConnection server = fixture.accept_attempt();
        server.send("UP r\r\n");
        CHECK(fixture.run_until([&] { return client.has_received("UP r\r\n"); }));
    }
}

TEST_CASE("a connect that fails in the node's own system does not count against a server") {
    for (const int error : {ENETUNREACH, EADDRNOTAVAIL, ENOBUFS}) {
        NodeFixture fixture({.admin = true});
        fixture.kernel.connection_error = [&](int fd) {
            sockaddr_in address{};
            socklen_t size = sizeof address;
            ::getpeername(fd, reinterpret_cast<sockaddr*>(&address), &size);
            return address.sin_port == fixture.server_a.address.socket_address.sin_port
                       ? error
                       : fixture.kernel.Kernel::connect_error(fd);
        };
        for (int i = 0; i < 12; ++i) {
            TestConnection client = fixture.connect_client(fixture.open_line()),
                           server = fixture.accept_attempt();
            if (server.fd.open()) server.send("UP r\r\n");
            fixture.run_until([&] { return client.has_received("\r\n"); });
        }
        CHECK(fixture.get("/stats").find("\"out_of_rotation\":0") != std::string::npos);
    }
}

TEST_CASE("a node starts even if its listening socket fails for a moment") {
    for (const int error : {ENOBUFS, ENFILE}) {
        std::unique_ptr<NodeFixture> fixture;
        CHECK_NOTHROW(fixture = std::make_unique<NodeFixture>(NodeFixture::Options{}, 0,
                                                              FaultyKernel::InjectedFailure{3, error}));
        if (!fixture) continue;
        TestConnection client = fixture->connect_client(fixture->open_line()),
                       server = fixture->accept_attempt();
        server.send("UP r\r\n");
        CHECK(fixture->run_until([&] { return client.has_received("UP r\r\n"); }));
    }
}
