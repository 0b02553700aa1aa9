// The watch that a node under test keeps at its discovery, and the endpoint lists on it.
#pragma once
#include <doctest/doctest.h>

#include <array>
#include <cstdio>
#include <string>

#include "node_fixture.h"

namespace fake {

// A watch that the node keeps, and lists on it.
struct Watch {
    explicit Watch(NodeFixture& fixture) : fixture_(fixture) {
        REQUIRE(fixture.run_until([&] {
            if (!connection_.fd.open()) connection_ = fixture.discovery.accept();
            return connection_.fd.open() && connection_.has_received("\r\n\r\n");
        }));
        connection_.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        fixture.run_for(20);
    }
    void send_list(const std::string& members, bool complete) {
        const std::string list = R"({"revision":)" + std::to_string(++revision_) + R"(,"complete":)" +
                                 (complete ? "true" : "false") + R"(,"members":[)" + members + "]}\n";
        std::array<char, 16> size{};
        std::snprintf(size.data(), size.size(), "%zx\r\n", list.size());
        connection_.send(std::string(size.data()) + list + "\r\n");
    }

  private:
    NodeFixture& fixture_;
    TestConnection connection_;
    int revision_ = 5;
};

}  // namespace fake
