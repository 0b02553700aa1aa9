// Tests of the simulated network and process: streams, datagrams, partitions and descriptors. They guard
// against a simulation that behaves differently from the network and the kernel on which nodes run.
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

// Two machines and a listener that accepts all connections and records them.
struct NetworkFixture final : simnet::StreamListener {
    EventQueue events;
    simnet::Trace trace;
    simnet::Network network;
    simnet::Machine client_machine, server_machine;
    std::vector<simnet::End> accepted;
    std::size_t stream_events = 0;

    explicit NetworkFixture(const simnet::NetworkConditions& conditions = {}, std::uint64_t seed = 1)
        : network(events, trace, simnet::RandomSource(seed), conditions) {
        client_machine = network.add_machine();
        server_machine = network.add_machine();
    }
    void on_stream_event(simnet::End) override { ++stream_events; }
    void on_connection(const net::Address& at) override {
        while (const auto end = network.accept(at)) {
            network.set_owner(*end, *this);
            accepted.push_back(*end);
        }
    }
    net::Address listen_address() const { return simnet::Network::address(server_machine, 80); }
    void run_for(simnet::Ticks span) {
        const auto until = events.now() + span;
        while (events.step(until)) continue;
        events.advance_to(until);
    }
    // An established connection: returns its end at the client machine; the other end is the last one in
    // `accepted`.
    simnet::End connect() {
        if (network.is_free(listen_address())) network.listen(listen_address(), *this, 4);
        const simnet::End end = network.connect(client_machine, listen_address(), *this);
        run_for(2000);
        return end;
    }
    std::string read(simnet::End end) {
        std::array<char, 8192> bytes;
        std::string received;
        for (net::IoResult result; (result = network.read(end, bytes)).bytes > 0;)
            received.append(bytes.data(), result.bytes);
        return received;
    }
};

}  // namespace

TEST_CASE("simulated streams carry all bytes in order, cut anywhere, within their window") {
    simnet::NetworkConditions conditions;
    conditions.cut_reads = conditions.cut_writes = 0.9;
    conditions.window = 4096;
    for (std::uint64_t seed = 1; seed < 20; ++seed) {
        NetworkFixture fixture(conditions, seed);
        const auto end = fixture.connect();
        REQUIRE(fixture.accepted.size() == 1);
        std::string sent, received;
        for (int i = 0; i < 3000; ++i) sent += std::to_string(i) + " ";
        std::size_t written = 0, most_in_flight = 0;
        for (int step = 0; step < 100000 && received.size() < sent.size(); ++step) {
            const auto accepted_bytes =
                fixture.network.write(end, std::string_view(sent).substr(written)).bytes;
            written += accepted_bytes;
            most_in_flight = std::max(most_in_flight, written - received.size());
            fixture.run_for(5);
            received += fixture.read(fixture.accepted[0]);
        }
        CHECK(received == sent);
        CHECK(most_in_flight <= 4096);
    }
}

TEST_CASE("the end of a stream follows its last byte; a close with unread input causes a reset") {
    NetworkFixture fixture;
    const auto end = fixture.connect();
    fixture.network.write(end, "last", true);
    fixture.network.shutdown_write(end);
    fixture.run_for(100);
    CHECK(fixture.read(fixture.accepted[0]) == "last");
    std::array<char, 8> bytes;
    CHECK(fixture.network.read(fixture.accepted[0], bytes).ended);
    const auto second = fixture.connect();
    fixture.network.write(second, "unread", true);
    fixture.run_for(100);
    fixture.network.close(fixture.accepted[1]);
    fixture.run_for(100);
    CHECK(fixture.network.read(second, bytes).error == ECONNRESET);
    CHECK(fixture.network.read(second, bytes).ended);
    CHECK(fixture.network.write(second, "x").error == EPIPE);
}

TEST_CASE("a machine that is partitioned sends nothing; lost data arrives after the partition or is reset") {
    NetworkFixture fixture;
    const auto end = fixture.connect(), forgotten = fixture.connect();
    fixture.network.cut_off(fixture.server_machine);
    fixture.network.write(end, "late", true);
    const auto unconnected =
        fixture.network.connect(fixture.client_machine, fixture.listen_address(), fixture);
    fixture.run_for(30000);
    CHECK(fixture.read(fixture.accepted[0]).empty());
    CHECK(!fixture.network.is_up(unconnected));
    CHECK(fixture.network.poll_events(end, POLLIN) == 0);
    fixture.network.heal(fixture.server_machine);
    fixture.run_for(50000);
    CHECK(fixture.read(fixture.accepted[0]) == "late");
    CHECK(fixture.network.is_up(unconnected));
    fixture.network.forget(fixture.server_machine);
    fixture.network.write(forgotten, "lost", true);
    fixture.run_for(100);
    CHECK((fixture.network.poll_events(forgotten, POLLIN) & POLLERR) != 0);
}

TEST_CASE("connections are refused where nobody listens, and wait where the queue is full") {
    NetworkFixture fixture;
    struct IgnoringListener final : simnet::StreamListener {
        void on_stream_event(simnet::End) override {}
        void on_connection(const net::Address&) override {}
    } listener;
    const auto end = fixture.network.connect(fixture.client_machine, fixture.listen_address(), fixture);
    fixture.run_for(100);
    CHECK(fixture.network.connect_error(end) == ECONNREFUSED);
    fixture.network.listen(fixture.listen_address(), listener, 1);
    const auto first = fixture.network.connect(fixture.client_machine, fixture.listen_address(), fixture);
    fixture.run_for(100);
    const auto second = fixture.network.connect(fixture.client_machine, fixture.listen_address(), fixture);
    fixture.run_for(5000);
    CHECK(fixture.network.is_up(first));
    CHECK(!fixture.network.is_up(second));
    CHECK(fixture.network.accept(fixture.listen_address()).has_value());
    fixture.run_for(40000);
    CHECK(fixture.network.is_up(second));
}

TEST_CASE(
    "datagrams are lost, duplicated and reordered as the network conditions say, never across a partition") {
    simnet::NetworkConditions conditions;
    conditions.lost = 0.3;
    conditions.doubled = 0.3;
    conditions.datagram_jitter = 1000;
    NetworkFixture fixture(conditions);
    struct DatagramRecorder final : simnet::StreamListener {
        std::vector<int> received;
        void on_stream_event(simnet::End) override {}
        void on_connection(const net::Address&) override {}
        void on_datagram(const net::Address&, const net::Address&,
                         std::span<const std::uint8_t> bytes) override {
            received.push_back(bytes[0]);
        }
    } recorder;
    const auto from = simnet::Network::address(fixture.client_machine, 9),
               to = simnet::Network::address(fixture.server_machine, 9);
    fixture.network.bind(to, recorder);
    for (std::uint8_t i = 0; i < 200; ++i) fixture.network.send(from, to, {&i, 1});
    fixture.run_for(5000);
    CHECK((recorder.received.size() > 120 && recorder.received.size() < 260));
    CHECK(!std::is_sorted(recorder.received.begin(), recorder.received.end()));
    const auto received_before = recorder.received.size();
    fixture.network.cut_off(fixture.server_machine);
    for (std::uint8_t i = 0; i < 50; ++i) fixture.network.send(from, to, {&i, 1});
    fixture.run_for(5000);
    CHECK(recorder.received.size() == received_before);
}

TEST_CASE(
    "a simulated process opens no more descriptors than its limit and gets the errno values of the kernel") {
    NetworkFixture fixture;
    fixture.network.listen(fixture.listen_address(), fixture, 100);
    simnet::Process process(fixture.events, fixture.network, fixture.client_machine, {0, 1, 8});
    std::vector<net::Fd> descriptors;
    descriptors.reserve(5);
    for (int i = 0; i < 5; ++i) descriptors.push_back(process.connect_to(fixture.listen_address()));
    CHECK(descriptors.back().open());
    CHECK(!process.connect_to(fixture.listen_address()).open());
    CHECK(errno == EMFILE);
    descriptors.pop_back();
    CHECK(process.connect_to(fixture.listen_address()).open());
    process.exhaust_descriptors(true);
    CHECK(!process.connect_to(fixture.listen_address()).open());
    CHECK(errno == ENFILE);
    descriptors.clear();
    CHECK(process.held() == 3);
}

TEST_CASE("an event loop that spins on an unhandled event is detected, one that waits is not") {
    for (const bool reads : {false, true}) {
        NetworkFixture fixture;
        fixture.network.listen(fixture.listen_address(), fixture, 4);
        simnet::Process process(fixture.events, fixture.network, fixture.client_machine, {0, 1, 16});
        const net::Fd fd = process.connect_to(fixture.listen_address());
        std::array<char, 64> bytes;
        process.start([&] {
            pollfd polled{fd.get(), POLLIN, 0};
            if (process.poll({&polled, 1}, 10000) > 0 && reads) process.read_some(fd.get(), bytes);
            return true;
        });
        fixture.run_for(1000);
        REQUIRE(fixture.accepted.size() == 1);
        for (int i = 0; i < 100; ++i)
            fixture.network.write(fixture.accepted[0], "line\r\n", true), fixture.run_for(50);
        CHECK((process.longest_spin() > 1000) == !reads);
        CHECK(process.longest_spin() != 1);
    }
}
