#include <doctest/doctest.h>

#include <sstream>
#include <vector>

#include "metrics/resource_counters.h"
#include "peer/codec.h"

namespace {
struct Heard final : lemonstair::peer::MessageHandler {
    std::ostringstream said;
    void record(std::uint64_t key, std::uint32_t ep, std::int64_t stamp, std::uint32_t group,
                double load) override {
        said << "r" << key << "," << ep << "," << stamp << "," << group << "," << load << ";";
    }
    void ask(std::uint64_t key) override { said << "a" << key << ";"; }
    void answer(std::uint64_t key, bool known, std::uint32_t ep, std::int64_t stamp) override {
        said << "w" << key << (known ? "+" : "-") << ep << "," << stamp << ";";
    }
    void hello() override { said << "h;"; }
    void lost(std::uint32_t node) override { said << "l" << node << ";"; }
    void outcome(std::uint32_t ep, std::uint8_t ending) override {
        said << "o" << ep << "," << int(ending) << ";";
    }
    void report(std::uint32_t ep, bool good, double load) override {
        said << "p" << ep << (good ? "+" : "-") << load << ";";
    }
    void home(std::uint32_t group, std::uint32_t ep) override { said << "m" << group << "," << ep << ";"; }
    void want(std::uint32_t ep, std::uint32_t slot) override { said << "w" << ep << "," << slot << ";"; }
    void lend(std::uint32_t ep, std::uint32_t slot) override { said << "b" << ep << "," << slot << ";"; }
    void dead(std::uint32_t ep, std::uint32_t when, std::uint32_t first, std::uint32_t other) override {
        said << "d" << ep << "," << when << "," << first << "," << other << ";";
    }
    void crossed(std::uint32_t group, std::uint32_t zone) override {
        said << "c" << group << "," << zone << ";";
    }
    void seen(std::uint32_t ep, bool good, double load) override {
        said << "s" << ep << (good ? "+" : "-") << load << ";";
    }
};
}  // namespace

TEST_CASE("gossip items decode as they were encoded, and a full message takes no more") {
    lemonstair::peer::Message m;
    CHECK(m.record(0xfedcba9876543210ULL, 4000000000U, 508436349652LL, 77, 0.125));
    CHECK(m.ask(5));
    CHECK(m.answer(6, true, 9, 1234567));
    CHECK(m.hello());
    CHECK(m.lost(300));
    CHECK(m.outcome(9, 3));
    CHECK(m.report(8, true, 1.25));
    CHECK(m.home(77, 4000000001U));
    CHECK(m.crossed(77, 2));
    CHECK(m.want(9, 4000000000U));
    CHECK(m.lend(9, 7));
    CHECK(m.dead(9, 4000000000U, 299, 65535));
    CHECK(m.seen(3, true, 0.75));
    Heard heard;
    CHECK(lemonstair::peer::decode(m.bytes(), heard));
    CHECK(heard.said.str() ==
          "r18364758544493064720,4000000000,508436349652,77,0.125;a5;w6+9,1234567;h;l300;o9,3;p8+1.25;m77,"
          "4000000001;c77,2;w9,4000000000;b9,7;d9,4000000000,299,65535;s3+0.75;");
    while (m.record(1, 2, 3, 4, 5)) {
    }
    CHECK(m.bytes().size() <= lemonstair::peer::max_bytes);
}

TEST_CASE("malformed messages are ignored entirely") {
    lemonstair::peer::Message m;
    m.lost(1);
    m.ask(5);
    Heard heard;
    std::vector<std::uint8_t> bytes(m.bytes().begin(), m.bytes().end());
    for (std::size_t n = 0; n < bytes.size(); ++n)
        if (n != 1 && n != 6) CHECK(!lemonstair::peer::decode({bytes.data(), n}, heard));
    auto bad = bytes;
    bad[0] = 9;
    CHECK(!lemonstair::peer::decode(bad, heard));
    bad = bytes;
    bad[6] = 200;  // the second item's kind
    CHECK(!lemonstair::peer::decode(bad, heard));
    CHECK(!lemonstair::peer::decode(std::vector<std::uint8_t>(257, 1), heard));
    CHECK(heard.said.str().empty());
}

TEST_CASE("bytes are counted by the kind of an item, for each recipient") {
    lemonstair::peer::Message m;
    m.hello();
    m.lost(3);
    lemonstair::metrics::ResourceCounters before, costs;
    costs.told(m.bytes(), 9);
    costs.setup_ended(lemonstair::Outcome::overloaded);
    CHECK(costs.datagrams == 9);
    std::ostringstream line;
    lemonstair::metrics::write_added(line, costs, before);
    CHECK(line.str() == " full=1 datagrams=9 sign=9 hello=9 lost=45");
}
