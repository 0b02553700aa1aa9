// Health checks over reused connections, on the loopback. A connection that was closed while it was idle must
// not count against its endpoint: the check has to be repeated on a new one. An answer with invalid values
// must not fail the check either.
#include <doctest/doctest.h>

#include "node_fixture.h"

using namespace fake;

TEST_CASE(
    "a health check reuses its connection, and opens a new one where the old one was closed while idle") {
    NodeFixture fixture({.mode = "pass", .max_descriptors = 256, .health_checks = true});
    const auto request_arrives = [&](TestConnection& connection) {
        return fixture.run_until([&] {
            if (!connection.fd.open()) connection = fixture.server_a.accept();
            return connection.fd.open() && connection.has_received("STATS\r\n");
        });
    };
    TestConnection connection;
    CHECK(request_arrives(connection));
    connection.send("PONG x0=0.5,nonsense=,queue=x\r\n");
    connection.received.clear();
    CHECK(request_arrives(connection));
    connection.abort();
    connection = {};
    CHECK(request_arrives(connection));
}
