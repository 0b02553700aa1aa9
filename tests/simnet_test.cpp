// The simulated network: streams, datagrams, machines and descriptors.
#include <doctest/doctest.h>

#include <array>
#include <cerrno>
#include <string>
#include <vector>

#include "simnet/network.h"
#include "simnet/process.h"

using namespace lemonstair;
using simnet::EventQueue;

namespace {

// Two machines and an ear that only remembers.
struct Wire final : simnet::StreamListener {
    EventQueue events;
    simnet::Trace trace;
    simnet::Network network;
    simnet::Machine a, b;
    std::vector<simnet::End> accepted;
    std::size_t stirs = 0;

    explicit Wire(const simnet::NetworkConditions& weather = {}, std::uint64_t seed = 1)
        : network(events, trace, simnet::RandomSource(seed), weather) {
        a = network.add_machine();
        b = network.add_machine();
    }
    void on_stream_event(simnet::End) override { ++stirs; }
    void on_connection(const net::Address& at) override {
        while (const auto e = network.accept(at)) {
            network.set_owner(*e, *this);
            accepted.push_back(*e);
        }
    }
    net::Address door() const { return simnet::Network::address(b, 80); }
    void pass(simnet::Ticks span) {
        const auto until = events.now() + span;
        while (events.step(until)) continue;
        events.advance_to(until);
    }
    // A connection that is up: its end at a; the other is the last accepted.
    simnet::End up() {
        if (network.is_free(door())) network.listen(door(), *this, 4);
        const simnet::End e = network.connect(a, door(), *this);
        pass(2000);
        return e;
    }
    std::string read(simnet::End e) {
        std::array<char, 8192> bytes;
        std::string all;
        for (net::IoResult t; (t = network.read(e, bytes)).bytes > 0;) all.append(bytes.data(), t.bytes);
        return all;
    }
};

}  // namespace

TEST_CASE("simulated streams carry all bytes in order, cut anywhere, within their window") {
    simnet::NetworkConditions rough;
    rough.cut_reads = rough.cut_writes = 0.9;
    rough.window = 4096;
    for (std::uint64_t seed = 1; seed < 20; ++seed) {
        Wire w(rough, seed);
        const auto e = w.up();
        REQUIRE(w.accepted.size() == 1);
        std::string said, heard;
        for (int i = 0; i < 3000; ++i) said += std::to_string(i) + " ";
        std::size_t out = 0, at_once = 0;
        for (int turn = 0; turn < 100000 && heard.size() < said.size(); ++turn) {
            const auto n = w.network.write(e, std::string_view(said).substr(out)).bytes;
            out += n;
            at_once = std::max(at_once, out - heard.size());
            w.pass(5);
            heard += w.read(w.accepted[0]);
        }
        CHECK(heard == said);
        CHECK(at_once <= 4096);
    }
}

TEST_CASE("an end follows the last byte; a close with unread input and a dead process cause resets") {
    Wire w;
    const auto e = w.up();
    w.network.write(e, "last", true);
    w.network.shutdown_write(e);
    w.pass(100);
    CHECK(w.read(w.accepted[0]) == "last");
    std::array<char, 8> bytes;
    CHECK(w.network.read(w.accepted[0], bytes).ended);
    const auto f = w.up();
    w.network.write(f, "unread", true);
    w.pass(100);
    w.network.close(w.accepted[1]);
    w.pass(100);
    CHECK(w.network.read(f, bytes).error == ECONNRESET);
    CHECK(w.network.read(f, bytes).ended);
    CHECK(w.network.write(f, "x").error == EPIPE);
}

TEST_CASE("a machine that is partitioned sends nothing; lost data arrives after the partition or is reset") {
    Wire w;
    const auto e = w.up(), gone = w.up();
    w.network.cut_off(w.b);
    w.network.write(e, "late", true);
    const auto never = w.network.connect(w.a, w.door(), w);
    w.pass(30000);
    CHECK(w.read(w.accepted[0]).empty());
    CHECK(!w.network.is_up(never));
    CHECK(w.network.events(e, POLLIN) == 0);
    w.network.heal(w.b);
    w.pass(50000);
    CHECK(w.read(w.accepted[0]) == "late");
    CHECK(w.network.is_up(never));
    w.network.forget(w.b);
    w.network.write(gone, "anybody?", true);
    w.pass(100);
    CHECK((w.network.events(gone, POLLIN) & POLLERR) != 0);
}

TEST_CASE("connections are refused where nobody listens, and wait where the queue is full") {
    Wire w;
    struct Deaf final : simnet::StreamListener {
        void on_stream_event(simnet::End) override {}
        void on_connection(const net::Address&) override {}
    } deaf;
    const auto e = w.network.connect(w.a, w.door(), w);
    w.pass(100);
    CHECK(w.network.connected(e) == ECONNREFUSED);
    w.network.listen(w.door(), deaf, 1);
    const auto first = w.network.connect(w.a, w.door(), w);
    w.pass(100);
    const auto second = w.network.connect(w.a, w.door(), w);
    w.pass(5000);
    CHECK(w.network.is_up(first));
    CHECK(!w.network.is_up(second));
    CHECK(w.network.accept(w.door()).has_value());
    w.pass(40000);
    CHECK(w.network.is_up(second));
}

TEST_CASE(
    "datagrams are lost, duplicated and reordered as the network conditions say, never across a partition") {
    simnet::NetworkConditions rough;
    rough.lost = 0.3;
    rough.doubled = 0.3;
    rough.datagram_jitter = 1000;
    Wire w(rough);
    struct Post final : simnet::StreamListener {
        std::vector<int> got;
        void on_stream_event(simnet::End) override {}
        void on_connection(const net::Address&) override {}
        void on_datagram(const net::Address&, const net::Address&,
                         std::span<const std::uint8_t> bytes) override {
            got.push_back(bytes[0]);
        }
    } post;
    const auto from = simnet::Network::address(w.a, 9), to = simnet::Network::address(w.b, 9);
    w.network.bind(to, post);
    for (std::uint8_t i = 0; i < 200; ++i) w.network.send(from, to, {&i, 1});
    w.pass(5000);
    CHECK((post.got.size() > 120 && post.got.size() < 260));
    CHECK(!std::is_sorted(post.got.begin(), post.got.end()));
    const auto before = post.got.size();
    w.network.cut_off(w.b);
    for (std::uint8_t i = 0; i < 50; ++i) w.network.send(from, to, {&i, 1});
    w.pass(5000);
    CHECK(post.got.size() == before);
}

TEST_CASE("a simulated process has no more descriptors than it is granted, and is told so as by the kernel") {
    Wire w;
    w.network.listen(w.door(), w, 100);
    simnet::Process p(w.events, w.network, w.a, {0, 1, 8});
    std::vector<net::Fd> held;
    held.reserve(5);
    for (int i = 0; i < 5; ++i) held.push_back(p.connect_to(w.door()));
    CHECK(held.back().open());
    CHECK(!p.connect_to(w.door()).open());
    CHECK(errno == EMFILE);
    held.pop_back();
    CHECK(p.connect_to(w.door()).open());
    p.exhaust_descriptors(true);
    CHECK(!p.connect_to(w.door()).open());
    CHECK(errno == ENFILE);
    held.clear();
    CHECK(p.held() == 3);
}

TEST_CASE("an event loop that spins on an unhandled event is detected, one that waits is not") {
    for (const bool reads : {false, true}) {
        Wire w;
        w.network.listen(w.door(), w, 4);
        simnet::Process p(w.events, w.network, w.a, {0, 1, 16});
        const net::Fd fd = p.connect_to(w.door());
        std::array<char, 64> bytes;
        p.start([&] {
            pollfd one{fd.get(), POLLIN, 0};
            if (p.poll({&one, 1}, 10000) > 0 && reads) p.read_some(fd.get(), bytes);
            return true;
        });
        w.pass(1000);
        REQUIRE(w.accepted.size() == 1);
        for (int i = 0; i < 100; ++i) w.network.write(w.accepted[0], "line\r\n", true), w.pass(50);
        CHECK((p.longest_spin() > 1000) == !reads);
        CHECK(p.longest_spin() != 1);
    }
}
