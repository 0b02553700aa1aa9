// The log where nobody reads it.
#include <doctest/doctest.h>
#include <fcntl.h>

#include <array>
#include <string>

#include "node_fixture.h"

using namespace fake;

TEST_CASE("a log that nobody reads holds nothing up; lines are dropped and counted") {
    std::array<int, 2> p{};
    REQUIRE(::pipe(p.data()) == 0);
    const net::Fd in(p[0]), out(p[1]);
    log::DescriptorSink sink(out.get());
    log::Log log(log::Level::info, sink);
    for (int i = 0; i < 5000; ++i) log.info() << "line " << i << " of many that nobody reads";
    log.debug() << "not at this level";
    std::string all;
    std::array<char, 65536> bytes;
    ::fcntl(in.get(), F_SETFL, O_NONBLOCK);
    for (int quiet = 0; quiet < 2;) {
        const ssize_t n = ::read(in.get(), bytes.data(), bytes.size());
        if (n > 0) all.append(bytes.data(), static_cast<std::size_t>(n));
        quiet = n > 0 ? 0 : quiet + 1;
        log.flush();
    }
    log.info() << "last";
    const ssize_t n = ::read(in.get(), bytes.data(), bytes.size());
    CHECK(std::string_view(bytes.data(), static_cast<std::size_t>(n)).substr(0, 19) == "log lines dropped: ");
    CHECK(all.find("line 1 of many") != std::string::npos);
    CHECK(all.find("not at this level") == std::string::npos);
}
