// Outages of discovery, on the loopback: however it is down, and whatever has happened to the node meanwhile,
// the node calls again within its drain grace once discovery can be reached. Otherwise it sends clients to
// endpoints that drain for longer than it may (review/10).
#include <doctest/doctest.h>

#include <array>
#include <chrono>
#include <csignal>
#include <string>
#include <utility>
#include <vector>

#include "node_fixture.h"

using namespace fake;

namespace {

// What discovery does while it is down.
enum class Outage : std::uint8_t { refuses, says_nothing, resets_answers, breaks_off_answers };
// What happens to the node meanwhile.
enum class Event : std::uint8_t { none, starts, reloads, is_upgraded };

constexpr const char* drain_grace = "0.25";  // s
// The grace, and the slack of 50 ms that each time limit has on sockets.
constexpr auto longest_wait = std::chrono::milliseconds(300);
constexpr int outage_ms = 2000;

const std::string response_head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

// Discovery as seen by one node, which is down from the start on or from its first answer on.
class FailingDiscovery {
  public:
    FailingDiscovery(NodeFixture& fixture, Outage outage) : fixture_(fixture), outage_(outage) {}
    // Answers the first call with an unchanged list, and then goes down.
    void answer_once() {
        TestConnection watch;
        REQUIRE(fixture_.run_until([&] {
            if (!watch.fd.open()) watch = fixture_.discovery.accept();
            return watch.fd.open() && watch.has_received("\r\n\r\n");
        }));
        watch.send(response_head + "1\r\n\n\r\n");
        fixture_.run_for(50);
        watch.abort();
    }
    void stay_down_for(int ms) {
        if (outage_ == Outage::refuses) fixture_.discovery.fd.close();
        fixture_.run_until(
            [&] {
                take_calls();
                return false;
            },
            ms);
    }
    // From now on calls are answered. Calls of before are not, and are not told.
    void come_back() {
        if (outage_ == Outage::refuses) fixture_.discovery.fd = net::listen_on(fixture_.discovery.address);
        take_calls();
    }
    // Waits for a new call; returns how long that took.
    std::chrono::steady_clock::duration time_to_next_call() {
        const auto from = std::chrono::steady_clock::now();
        TestConnection call;
        CHECK(fixture_.run_until([&] {
            if (!call.fd.open()) call = fixture_.discovery.accept();
            return call.fd.open() && call.has_received("\r\n\r\n");
        }));
        return std::chrono::steady_clock::now() - from;
    }
    std::size_t calls() const { return calls_.size(); }

  private:
    void take_calls() {
        if (!fixture_.discovery.fd.open()) return;
        for (TestConnection call = fixture_.discovery.accept(); call.fd.open();
             call = fixture_.discovery.accept())
            calls_.push_back(std::move(call));
        if (outage_ != Outage::resets_answers && outage_ != Outage::breaks_off_answers) return;
        for (TestConnection& call : calls_) break_off(call);
    }
    void break_off(TestConnection& call) {
        if (!call.fd.open() || !call.has_received("\r\n\r\n")) return;
        call.received.clear();
        call.send(response_head + "40\r\n{\"revision\":7,\"complete\":tr");
        if (outage_ == Outage::resets_answers) call.abort();
    }
    NodeFixture& fixture_;
    Outage outage_;
    std::vector<TestConnection> calls_;  // made while it is down
};

// Returns how long the node needs for its next call once discovery is back.
std::chrono::steady_clock::duration play(Outage outage, Event event) {
    NodeFixture fixture({.inherits_listener = event == Event::is_upgraded, .drain_grace = drain_grace});
    FailingDiscovery discovery(fixture, outage);
    if (event != Event::starts) discovery.answer_once();
    discovery.stay_down_for(outage_ms / 2);
    if (event == Event::reloads) std::raise(SIGHUP);
    if (event == Event::is_upgraded) fixture.upgrade();
    discovery.stay_down_for(outage_ms / 2);
    discovery.come_back();
    return discovery.time_to_next_call();
}

void check_all_events(Outage outage) {
    for (const Event event : {Event::none, Event::starts, Event::reloads, Event::is_upgraded}) {
        CAPTURE(static_cast<int>(event));
        CHECK(play(outage, event) <= longest_wait);
    }
}

}  // namespace

TEST_CASE("discovery that refused calls is called again within the drain grace") {
    check_all_events(Outage::refuses);
}

TEST_CASE("discovery that accepted calls and said nothing is called again within the drain grace") {
    check_all_events(Outage::says_nothing);
}

TEST_CASE("discovery that reset its answers half way is called again within the drain grace") {
    check_all_events(Outage::resets_answers);
}

TEST_CASE("discovery that broke off its answers without a word is called again within the drain grace") {
    check_all_events(Outage::breaks_off_answers);
}

// Guards against a call that was put off by the grace of before and so comes too late for the new one.
TEST_CASE("a reload that shortens the drain grace counts for the outage that lasts") {
    NodeFixture fixture({.drain_grace = "10"});
    FailingDiscovery discovery(fixture, Outage::says_nothing);
    discovery.answer_once();
    discovery.stay_down_for(outage_ms);
    const std::string old_grace = R"("stop_sending_within":10)";
    fixture.config_text.replace(fixture.config_text.find(old_grace), old_grace.size(),
                                R"("stop_sending_within":0.25)");
    std::raise(SIGHUP);
    discovery.stay_down_for(50);
    discovery.come_back();
    CHECK(discovery.time_to_next_call() <= longest_wait);
}

// The calls of an outage are many in a second; a line for each would hide everything else.
TEST_CASE("an outage of discovery is logged once, not once a call") {
    std::array<int, 2> pipe_ends{};
    REQUIRE(::pipe(pipe_ends.data()) == 0);
    const net::Fd in(pipe_ends[0]), out(pipe_ends[1]);
    NodeFixture fixture(
        {.log_descriptor = out.get(), .drain_grace = drain_grace, .log_level = log::Level::info});
    FailingDiscovery discovery(fixture, Outage::refuses);
    discovery.answer_once();
    const std::uint64_t calls = fixture.node->resource_counters().discovery_requests;
    discovery.stay_down_for(outage_ms);
    CHECK(fixture.node->resource_counters().discovery_requests > calls + 10);
    std::array<char, 16384> bytes;
    const ssize_t size = ::read(in.get(), bytes.data(), bytes.size());
    const std::string text(bytes.data(), static_cast<std::size_t>(std::max<ssize_t>(size, 0)));
    const auto first = text.find("watch on discovery");
    CHECK(first != std::string::npos);
    CHECK(text.find("watch on discovery", first + 1) == std::string::npos);
}

// A slow discovery must not be left for a new call again and again: the first one keeps its turn.
TEST_CASE("a call that is answered late is kept, and the calls beside it are closed") {
    NodeFixture fixture({.drain_grace = drain_grace});
    TestConnection first;
    REQUIRE(fixture.run_until([&] {
        if (!first.fd.open()) first = fixture.discovery.accept();
        return first.fd.open() && first.has_received("\r\n\r\n");
    }));
    FailingDiscovery later(fixture, Outage::says_nothing);
    later.stay_down_for(1000);
    CHECK(later.calls() > 0);
    CHECK(!first.is_closed());
    first.send(response_head + "1\r\n\n\r\n");
    fixture.run_for(50);
    later.stay_down_for(10);
    const std::size_t calls = later.calls();
    later.stay_down_for(1000);
    CHECK(later.calls() == calls);
    CHECK(!first.is_closed());
}
