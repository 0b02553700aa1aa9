// Stories of fleets past 1,024 processes and 1,024 hosts.
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

TEST_CASE("a list of 1,100 hosts is taken whole, and tunnels go to many of them") {
    Town town({.operators = true});
    End watch;
    REQUIRE(town.until([&] {
        if (!watch.fd.open()) watch = town.discovery.accept();
        return watch.fd.open() && watch.heard("\r\n\r\n");
    }));
    std::string list = R"({"revision":9,"complete":true,"members":[)";
    for (std::uint32_t i = 0; i < many; ++i) {
        if (i > 0) list.push_back(',');
        list.append(Town::member(std::string("s-").append(std::to_string(i)), i % 2 ? town.a : town.b));
    }
    list.append("]}\n");
    std::array<char, 16> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", list.size());
    std::string answer = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    answer.append(size.data()).append(list).append("\r\n");
    std::size_t told = 0;
    REQUIRE(town.until([&] {
        told += net::write_some(watch.fd.get(), std::string_view(answer).substr(told)).bytes;
        return told == answer.size();
    }));
    REQUIRE(town.until(
        [&] { return town.get("/stats").find("\"registry_entries\":1100") != std::string::npos; }));
    for (int i = 0; i < 20; ++i) {
        End c = town.client(town.line()), h = town.setup();
        h.say("UP r\r\n");
        CHECK(town.until([&] { return c.heard("UP r\r\n"); }));
    }
}

TEST_CASE(
    "nodes 0 and 1,099 of 1,100 place by the reports of 1,100 eps; their records go all over the ring") {
    Node first(Node::usual(0, many)), last(Node::usual(many - 1, many));
    std::vector<std::uint32_t> eps;
    for (std::uint32_t i = 0; i < many; ++i) eps.push_back(ep_number(i));
    for (auto* n : {&first, &last}) n->list(eps);
    const auto tell = [&](Node& to, auto&& add) {  // all eps, in as many messages as it takes
        peer::Message m;
        for (const auto ep : eps) {
            if (add(m, ep)) continue;
            to.b->on_gossip(1, m.bytes());
            m = {};
            REQUIRE(add(m, ep));
        }
        to.b->on_gossip(1, m.bytes());
    };
    for (auto* n : {&first, &last})
        tell(*n, [&](peer::Message& m, std::uint32_t ep) {
            return m.load_report(ep, true, ep == eps.back() ? 0.1 : 0.5);
        });
    // The lightest, the last of the list, draws the first tunnel at both ends of the fleet.
    std::set<std::uint32_t> used, heard_by;
    for (std::uint64_t t = 1; t <= 400; ++t)
        for (auto* n : {&first, &last}) {
            n->pass(25 * ms);
            n->on_request(t, key_of(t));
            REQUIRE(n->setups_of(t) == 1);
            if (t == 1) CHECK(n->last().ep == eps.back());
            used.insert(n->last().ep);
            n->open(t);
        }
    CHECK(used.size() >= 200);
    for (auto* n : {&first, &last})
        for (const auto& [to, bytes] : n->post) {
            CHECK(bytes.size() <= peer::max_bytes);
            if (to != 99) heard_by.insert(to);  // 99: to all, and node 99 itself
        }
    CHECK(heard_by.size() >= 300);  // records and outcomes go to nodes all over the ring
    CHECK(*heard_by.rbegin() > 1024);
    CHECK(*heard_by.rbegin() < many);
}
