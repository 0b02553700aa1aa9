/// Watch: the fake discovery's end of the watch (a streamed HTTP response) on which the node under test
/// receives its endpoint lists.
#pragma once
#include <doctest/doctest.h>

#include <array>
#include <cstdio>
#include <string>

#include "node_fixture.h"

namespace fake {

struct Watch {
    /// Waits until the node has requested the list, and begins the response.
    explicit Watch(NodeFixture& fixture) : fixture_(fixture) {
        REQUIRE(fixture.run_until([&] {
            if (!connection_.fd.open()) connection_ = fixture.discovery.accept();
            return connection_.fd.open() && connection_.has_received("\r\n\r\n");
        }));
        connection_.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        fixture.run_for(20);
    }
    /// Sends a list of entries made by NodeFixture::member, separated by commas, as one chunk.
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
