// The log of a node whose output is a pipe that nobody reads. A write that blocks there would stop the node;
// lines that are kept without limit would exhaust its memory.
#include <doctest/doctest.h>
#include <fcntl.h>

#include <array>
#include <string>

#include "node_fixture.h"

using namespace fake;

TEST_CASE("a log that nobody reads does not block, and the lines that it drops are counted") {
    std::array<int, 2> pipe_ends{};
    REQUIRE(::pipe(pipe_ends.data()) == 0);
    const net::Fd in(pipe_ends[0]), out(pipe_ends[1]);
    log::DescriptorSink sink(out.get());
    log::Log log(log::Level::info, sink);
    for (int i = 0; i < 5000; ++i) log.info() << "line " << i << " of many that nobody reads";
    log.debug() << "not at this level";
    std::string output;
    std::array<char, 65536> bytes;
    ::fcntl(in.get(), F_SETFL, O_NONBLOCK);
    for (int empty_reads = 0; empty_reads < 2;) {
        const ssize_t size = ::read(in.get(), bytes.data(), bytes.size());
        if (size > 0) output.append(bytes.data(), static_cast<std::size_t>(size));
        empty_reads = size > 0 ? 0 : empty_reads + 1;
        log.flush();
    }
    log.info() << "last";
    const ssize_t size = ::read(in.get(), bytes.data(), bytes.size());
    CHECK(std::string_view(bytes.data(), static_cast<std::size_t>(size)).substr(0, 19) ==
          "log lines dropped: ");
    CHECK(output.find("line 1 of many") != std::string::npos);
    CHECK(output.find("not at this level") == std::string::npos);
}
