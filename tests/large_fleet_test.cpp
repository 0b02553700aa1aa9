// Fleets past 1,024 processes and 1,024 hosts.
#include <doctest/doctest.h>

#include <set>

#include "balancer_fixture.h"
#include "node_fixture.h"
#include "peer/codec.h"

using namespace fake;

namespace {

constexpr std::uint32_t many = 1100;

std::uint32_t ep_number(std::uint32_t i) { return 1000003 * i + 7; }

}  // namespace

TEST_CASE("a list of 1,100 hosts is accepted in full, and tunnels are placed on many of them") {
    NodeFixture fixture({.admin = true});
    TestConnection watch;
    REQUIRE(fixture.run_until([&] {
        if (!watch.fd.open()) watch = fixture.discovery.accept();
        return watch.fd.open() && watch.has_received("\r\n\r\n");
    }));
    std::string list = R"({"revision":9,"complete":true,"members":[)";
    for (std::uint32_t i = 0; i < many; ++i) {
        if (i > 0) list.push_back(',');
        list.append(NodeFixture::member(std::string("s-").append(std::to_string(i)),
                                        i % 2 ? fixture.server_a : fixture.server_b));
    }
    list.append("]}\n");
    std::array<char, 16> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", list.size());
    std::string answer = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    answer.append(size.data()).append(list).append("\r\n");
    std::size_t told = 0;
    REQUIRE(fixture.run_until([&] {
        told += net::write_some(watch.fd.get(), std::string_view(answer).substr(told)).bytes;
        return told == answer.size();
    }));
    REQUIRE(fixture.run_until(
        [&] { return fixture.get("/stats").find("\"registry_entries\":1100") != std::string::npos; }));
    for (int i = 0; i < 20; ++i) {
        TestConnection c = fixture.connect_client(fixture.open_line()), h = fixture.accept_attempt();
        h.send("UP r\r\n");
        CHECK(fixture.run_until([&] { return c.has_received("UP r\r\n"); }));
    }
}

TEST_CASE(
    "nodes 0 and 1,099 of 1,100 place by reports of 1,100 endpoints; their records spread over the ring") {
    BalancerFixture first(BalancerFixture::default_config(0, many)),
        last(BalancerFixture::default_config(many - 1, many));
    std::vector<std::uint32_t> endpoints;
    for (std::uint32_t i = 0; i < many; ++i) endpoints.push_back(ep_number(i));
    for (auto* n : {&first, &last}) n->set_endpoints(endpoints);
    const auto tell = [&](BalancerFixture& to,
                          auto&& add) {  // all endpoints, in as many messages as it takes
        peer::Message m;
        for (const auto ep : endpoints) {
            if (add(m, ep)) continue;
            to.balancer->on_gossip(1, m.bytes());
            m = {};
            REQUIRE(add(m, ep));
        }
        to.balancer->on_gossip(1, m.bytes());
    };
    for (auto* n : {&first, &last})
        tell(*n, [&](peer::Message& m, std::uint32_t ep) {
            return m.load_report(ep, true, ep == endpoints.back() ? 0.1 : 0.5);
        });
    // The lightest, the last of the list, draws the first tunnel at both ends of the fleet.
    std::set<std::uint32_t> used, heard_by;
    for (std::uint64_t t = 1; t <= 400; ++t)
        for (auto* n : {&first, &last}) {
            n->advance(25 * ms);
            n->on_request(t, key_of(t));
            REQUIRE(n->attempts_of(t) == 1);
            if (t == 1) CHECK(n->last_attempt().endpoint == endpoints.back());
            used.insert(n->last_attempt().endpoint);
            n->open(t);
        }
    CHECK(used.size() >= 200);
    for (auto* n : {&first, &last})
        for (const auto& [to, bytes] : n->gossip) {
            CHECK(bytes.size() <= peer::max_message_bytes);
            if (to != 99) heard_by.insert(to);  // 99: to all, and node 99 itself
        }
    CHECK(heard_by.size() >= 300);  // records and outcomes go to nodes all over the ring
    CHECK(*heard_by.rbegin() > 1024);
    CHECK(*heard_by.rbegin() < many);
}
