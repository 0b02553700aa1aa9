// Tests of fleets of more than 1,024 nodes and 1,024 endpoints. They guard against limits on the number of
// entries and against ids that are cut to ten bits.
#include <doctest/doctest.h>

#include <set>

#include "balancer_fixture.h"
#include "node_fixture.h"
#include "peer/codec.h"

using namespace fake;

namespace {

constexpr std::uint32_t fleet_size = 1100;

std::uint32_t endpoint_id(std::uint32_t i) { return 1000003 * i + 7; }

}  // namespace

// A list that was cut short would remove the endpoints at its end.
TEST_CASE("a list of 1,100 endpoints is accepted in full and tunnels are opened on them") {
    NodeFixture fixture({.admin = true});
    TestConnection discovery_watch;
    REQUIRE(fixture.run_until([&] {
        if (!discovery_watch.fd.open()) discovery_watch = fixture.discovery.accept();
        return discovery_watch.fd.open() && discovery_watch.has_received("\r\n\r\n");
    }));
    std::string list = R"({"revision":9,"complete":true,"members":[)";
    for (std::uint32_t i = 0; i < fleet_size; ++i) {
        if (i > 0) list.push_back(',');
        list.append(NodeFixture::member(std::string("s-").append(std::to_string(i)),
                                        i % 2 ? fixture.server_a : fixture.server_b));
    }
    list.append("]}\n");
    std::array<char, 16> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", list.size());
    std::string answer = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    answer.append(size.data()).append(list).append("\r\n");
    std::size_t sent = 0;
    REQUIRE(fixture.run_until([&] {
        sent += net::write_some(discovery_watch.fd.get(), std::string_view(answer).substr(sent)).bytes;
        return sent == answer.size();
    }));
    REQUIRE(fixture.run_until(
        [&] { return fixture.get("/stats").find("\"registry_entries\":1100") != std::string::npos; }));
    for (int i = 0; i < 20; ++i) {
        TestConnection client = fixture.connect_client(fixture.open_line()),
                       server = fixture.accept_attempt();
        server.send("UP r\r\n");
        CHECK(fixture.run_until([&] { return client.has_received("UP r\r\n"); }));
    }
}

// A node with a high number must place tunnels, and be sent records, like all others.
TEST_CASE("nodes 0 and 1,099 of 1,100 use 1,100 endpoints and send records to nodes all over the ring") {
    BalancerFixture first(BalancerFixture::default_config(0, fleet_size)),
        last(BalancerFixture::default_config(fleet_size - 1, fleet_size));
    std::vector<std::uint32_t> endpoints;
    for (std::uint32_t i = 0; i < fleet_size; ++i) endpoints.push_back(endpoint_id(i));
    for (auto* node : {&first, &last}) node->set_endpoints(endpoints);
    // Adds an item for each endpoint, in as many messages as needed.
    const auto send_gossip = [&](BalancerFixture& to, auto&& add_item) {
        peer::Message message;
        for (const auto endpoint : endpoints) {
            if (add_item(message, endpoint)) continue;
            to.balancer->on_gossip(1, message.bytes());
            message = {};
            REQUIRE(add_item(message, endpoint));
        }
        to.balancer->on_gossip(1, message.bytes());
    };
    for (auto* node : {&first, &last})
        send_gossip(*node, [&](peer::Message& message, std::uint32_t endpoint) {
            return message.load_report(endpoint, true, endpoint == endpoints.back() ? 0.1 : 0.5);
        });
    // The last endpoint of the list has the lightest load, so both nodes place their first tunnel on it.
    std::set<std::uint32_t> used, receivers;
    for (std::uint64_t tunnel = 1; tunnel <= 400; ++tunnel)
        for (auto* node : {&first, &last}) {
            node->advance(25 * ms);
            node->on_request(tunnel, key_of(tunnel));
            REQUIRE(node->attempts_of(tunnel) == 1);
            if (tunnel == 1) CHECK(node->last_attempt().endpoint == endpoints.back());
            used.insert(node->last_attempt().endpoint);
            node->open(tunnel);
        }
    CHECK(used.size() >= 200);
    for (auto* node : {&first, &last})
        for (const auto& [to, bytes] : node->gossip) {
            CHECK(bytes.size() <= peer::max_message_bytes);
            if (to != 99) receivers.insert(to);  // 99: a broadcast, or a message to node 99
        }
    CHECK(receivers.size() >= 300);  // of records and outcomes
    CHECK(*receivers.rbegin() > 1024);
    CHECK(*receivers.rbegin() < fleet_size);
}
