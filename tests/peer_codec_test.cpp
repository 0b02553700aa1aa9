// The codec of gossip messages. A message arrives in one datagram from another node, which may run another
// version: one that is misread, or acted on in part, would corrupt what this node knows of the others.
#include <doctest/doctest.h>

#include <sstream>
#include <vector>

#include "metrics/resource_counters.h"
#include "peer/codec.h"

namespace {
// Writes each decoded item as text.
struct ItemRecorder final : lemonstair::peer::MessageHandler {
    std::ostringstream items;
    void on_record(std::uint64_t key, std::uint32_t endpoint_id, std::int64_t stamp, std::uint32_t group,
                   double load) override {
        items << "record " << key << "," << endpoint_id << "," << stamp << "," << group << "," << load << ";";
    }
    void on_lookup(std::uint64_t key) override { items << "lookup " << key << ";"; }
    void on_lookup_reply(std::uint64_t key, bool known, std::uint32_t endpoint_id,
                         std::int64_t stamp) override {
        items << "lookup_reply " << key << (known ? "+" : "-") << endpoint_id << "," << stamp << ";";
    }
    void on_node_started() override { items << "node_started;"; }
    void on_peer_down(std::uint32_t node) override { items << "peer_down " << node << ";"; }
    void on_outcome(std::uint32_t endpoint_id, std::uint8_t outcome_code) override {
        items << "outcome " << endpoint_id << "," << int(outcome_code) << ";";
    }
    void on_load_report(std::uint32_t endpoint_id, bool healthy, double load) override {
        items << "load_report " << endpoint_id << (healthy ? "+" : "-") << load << ";";
    }
    void on_affinity_target(std::uint32_t group, std::uint32_t endpoint_id) override {
        items << "affinity_target " << group << "," << endpoint_id << ";";
    }
    void on_lease_request(std::uint32_t endpoint_id, std::uint32_t slot) override {
        items << "lease_request " << endpoint_id << "," << slot << ";";
    }
    void on_lease_grant(std::uint32_t endpoint_id, std::uint32_t slot) override {
        items << "lease_grant " << endpoint_id << "," << slot << ";";
    }
    void on_endpoint_failure(std::uint32_t endpoint_id, std::uint32_t observed_at, std::uint32_t observer,
                             std::uint32_t second_observer) override {
        items << "endpoint_failure " << endpoint_id << "," << observed_at << "," << observer << ","
              << second_observer << ";";
    }
    void on_cross_zone(std::uint32_t group, std::uint32_t zone) override {
        items << "cross_zone " << group << "," << zone << ";";
    }
    void on_load_total(std::uint32_t endpoint_id, bool healthy, double load) override {
        items << "load_total " << endpoint_id << (healthy ? "+" : "-") << load << ";";
    }
};
}  // namespace

TEST_CASE("each gossip item decodes to the encoded values, and a full message accepts no further item") {
    lemonstair::peer::Message message;
    CHECK(message.record(0xfedcba9876543210ULL, 4000000000U, 508436349652LL, 77, 0.125));
    CHECK(message.lookup(5));
    CHECK(message.lookup_reply(6, true, 9, 1234567));
    CHECK(message.node_started());
    CHECK(message.peer_down(300));
    CHECK(message.outcome(9, 3));
    CHECK(message.load_report(8, true, 1.25));
    CHECK(message.affinity_target(77, 4000000001U));
    CHECK(message.cross_zone(77, 2));
    CHECK(message.lease_request(9, 4000000000U));
    CHECK(message.lease_grant(9, 7));
    CHECK(message.endpoint_failure(9, 4000000000U, 299, 65535));
    CHECK(message.load_total(3, true, 0.75));
    ItemRecorder recorder;
    CHECK(lemonstair::peer::decode(message.bytes(), recorder));
    CHECK(recorder.items.str() ==
          "record 18364758544493064720,4000000000,508436349652,77,0.125;lookup 5;lookup_reply 6+9,1234567;"
          "node_started;peer_down 300;outcome 9,3;load_report 8+1.25;affinity_target 77,4000000001;"
          "cross_zone 77,2;lease_request 9,4000000000;lease_grant 9,7;"
          "endpoint_failure 9,4000000000,299,65535;load_total 3+0.75;");
    while (message.record(1, 2, 3, 4, 5)) {
    }
    CHECK(message.bytes().size() <= lemonstair::peer::max_message_bytes);
}

TEST_CASE("no item of a malformed message is handled") {
    lemonstair::peer::Message message;
    message.peer_down(1);
    message.lookup(5);
    ItemRecorder recorder;
    std::vector<std::uint8_t> bytes(message.bytes().begin(), message.bytes().end());
    for (std::size_t size = 0; size < bytes.size(); ++size)  // cut at the end of an item it is well-formed
        if (size != 1 && size != 6) CHECK(!lemonstair::peer::decode({bytes.data(), size}, recorder));
    auto malformed = bytes;
    malformed[0] = 9;  // an unknown version
    CHECK(!lemonstair::peer::decode(malformed, recorder));
    malformed = bytes;
    malformed[6] = 200;  // an unknown kind of the second item
    CHECK(!lemonstair::peer::decode(malformed, recorder));
    CHECK(!lemonstair::peer::decode(std::vector<std::uint8_t>(257, 1), recorder));
    CHECK(recorder.items.str().empty());
}

TEST_CASE("bytes are counted by the kind of an item, once for each recipient") {
    lemonstair::peer::Message message;
    message.node_started();
    message.peer_down(3);
    lemonstair::metrics::ResourceCounters before, counters;
    counters.count_gossip(message.bytes(), 9);
    counters.count_attempt(lemonstair::Outcome::overloaded);
    CHECK(counters.gossip_datagrams == 9);
    std::ostringstream line;
    lemonstair::metrics::write_difference(line, counters, before);
    CHECK(line.str() == " overloaded=1 datagrams=9 sign=9 hello=9 lost=45");
}
