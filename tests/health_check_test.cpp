// Health checks over kept connections, on the loopback.
#include <doctest/doctest.h>

#include "node_fixture.h"

using namespace fake;

TEST_CASE("a health check uses a kept connection; one that died is reopened before the host is blamed") {
    NodeFixture fixture({.mode = "pass", .max_descriptors = 256, .health_checks = true});
    const auto asked = [&](TestConnection& e) {
        return fixture.run_until([&] {
            if (!e.fd.open()) e = fixture.server_a.accept();
            return e.fd.open() && e.has_received("STATS\r\n");
        });
    };
    TestConnection e;
    CHECK(asked(e));
    e.send("PONG x0=0.5,nonsense=,queue=x\r\n");
    e.received.clear();
    CHECK(asked(e));
    e.abort();
    e = {};
    CHECK(asked(e));
}
