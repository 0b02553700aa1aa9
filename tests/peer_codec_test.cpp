#include <doctest/doctest.h>

#include <sstream>
#include <vector>

#include "metrics/resource_counters.h"
#include "peer/codec.h"

namespace {
struct Heard final : lemonstair::peer::MessageHandler {
    std::ostringstream said;
    void on_record(std::uint64_t key, std::uint32_t ep, std::int64_t stamp, std::uint32_t group,
                   double load) override {
        said << "r" << key << "," << ep << "," << stamp << "," << group << "," << load << ";";
    }
    void on_lookup(std::uint64_t key) override { said << "a" << key << ";"; }
    void on_lookup_reply(std::uint64_t key, bool known, std::uint32_t ep, std::int64_t stamp) override {
        said << "w" << key << (known ? "+" : "-") << ep << "," << stamp << ";";
    }
    void on_node_started() override { said << "h;"; }
    void on_peer_down(std::uint32_t node) override { said << "l" << node << ";"; }
    void on_outcome(std::uint32_t ep, std::uint8_t ending) override {
        said << "o" << ep << "," << int(ending) << ";";
    }
    void on_load_report(std::uint32_t ep, bool good, double load) override {
        said << "p" << ep << (good ? "+" : "-") << load << ";";
    }
    void on_affinity_target(std::uint32_t group, std::uint32_t ep) override {
        said << "m" << group << "," << ep << ";";
    }
    void on_lease_request(std::uint32_t ep, std::uint32_t slot) override {
        said << "w" << ep << "," << slot << ";";
    }
    void on_lease_grant(std::uint32_t ep, std::uint32_t slot) override {
        said << "b" << ep << "," << slot << ";";
    }
    void on_endpoint_failure(std::uint32_t ep, std::uint32_t when, std::uint32_t first,
                             std::uint32_t other) override {
        said << "d" << ep << "," << when << "," << first << "," << other << ";";
    }
    void on_cross_zone(std::uint32_t group, std::uint32_t zone) override {
        said << "c" << group << "," << zone << ";";
    }
    void on_load_total(std::uint32_t ep, bool good, double load) override {
        said << "s" << ep << (good ? "+" : "-") << load << ";";
    }
};
}  // namespace

TEST_CASE("gossip items decode as they were encoded, and a full message takes no more") {
    lemonstair::peer::Message m;
    CHECK(m.record(0xfedcba9876543210ULL, 4000000000U, 508436349652LL, 77, 0.125));
    CHECK(m.lookup(5));
    CHECK(m.lookup_reply(6, true, 9, 1234567));
    CHECK(m.node_started());
    CHECK(m.peer_down(300));
    CHECK(m.outcome(9, 3));
    CHECK(m.load_report(8, true, 1.25));
    CHECK(m.affinity_target(77, 4000000001U));
    CHECK(m.cross_zone(77, 2));
    CHECK(m.lease_request(9, 4000000000U));
    CHECK(m.lease_grant(9, 7));
    CHECK(m.endpoint_failure(9, 4000000000U, 299, 65535));
    CHECK(m.load_total(3, true, 0.75));
    Heard heard;
    CHECK(lemonstair::peer::decode(m.bytes(), heard));
    CHECK(heard.said.str() ==
          "r18364758544493064720,4000000000,508436349652,77,0.125;a5;w6+9,1234567;h;l300;o9,3;p8+1.25;m77,"
          "4000000001;c77,2;w9,4000000000;b9,7;d9,4000000000,299,65535;s3+0.75;");
    while (m.record(1, 2, 3, 4, 5)) {
    }
    CHECK(m.bytes().size() <= lemonstair::peer::max_message_bytes);
}

TEST_CASE("malformed messages are ignored entirely") {
    lemonstair::peer::Message m;
    m.peer_down(1);
    m.lookup(5);
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
    m.node_started();
    m.peer_down(3);
    lemonstair::metrics::ResourceCounters before, costs;
    costs.count_gossip(m.bytes(), 9);
    costs.count_attempt(lemonstair::Outcome::overloaded);
    CHECK(costs.gossip_datagrams == 9);
    std::ostringstream line;
    lemonstair::metrics::write_difference(line, costs, before);
    CHECK(line.str() == " overloaded=1 datagrams=9 sign=9 hello=9 lost=45");
}
