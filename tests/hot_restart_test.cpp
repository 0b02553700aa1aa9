// Stories of a new version that takes a node over under load: who takes clients, who answers, what goes over,
// and what happens where one of the two is stuck, foreign, or dies half way.
#include <doctest/doctest.h>

#include <csignal>

#include "hot_restart/packets.h"
#include "hot_restart/state_machine.h"
#include "node_fixture.h"

using namespace fake;
using hot_restart::Event;
using hot_restart::Role;

namespace {

Town::BalancerConfig upgraded(const std::string& mode = "pass", int sockets = 256) {
    return {.mode = mode, .sockets = sockets, .operators = true, .inherits = true};
}

std::string state_of(Town& town) {
    const std::string answer = town.get("/healthcheck");
    const auto at = answer.find("\"state\":\"");
    return at == std::string::npos ? answer : answer.substr(at + 9, answer.find('"', at + 9) - at - 9);
}

// What the old process has handed over entirely, the new one holds.
bool all_over(Town& town) { return town.next->holds().tunnels > 0 && town.node->holds().tunnels == 0; }

// A process at the other end of the line, played by a story.
struct Stranger {
    net::Kernel kernel;
    net::Fd fd;
    std::string name;
    explicit Stranger(Town& town) : name(town.launch().hot_restart_path) {}
    bool call() {
        fd = kernel.connect_local(name);
        return fd.open();
    }
    void say(std::string_view bytes) { kernel.send_packet(fd.get(), bytes, {}); }
    void say(const hot_restart::Packet& packet) { say(hot_restart::encode(packet)); }
    // The kinds of all that came, and whether the line is over.
    std::vector<hot_restart::PacketKind> heard;
    bool over = false;
    bool hear(Town& town, const std::function<bool()>& enough, int ms = 3000) {
        std::vector<char> room(hot_restart::max_packet_bytes);
        return town.until(
            [&] {
                for (;;) {
                    std::vector<net::Fd> descriptors;
                    const auto got = kernel.receive_packet(fd.get(), room, descriptors);
                    over = over || got.ended || got.error != 0;
                    if (got.bytes == 0) break;
                    hot_restart::Packet packet;
                    if (hot_restart::decode({room.data(), got.bytes}, packet) ==
                        hot_restart::DecodeResult::ok)
                        heard.push_back(packet.kind);
                }
                return enough();
            },
            ms);
    }
    bool has(hot_restart::PacketKind kind) const {
        return std::find(heard.begin(), heard.end(), kind) != heard.end();
    }
};

}  // namespace

TEST_CASE("one process is the node in every stand that two can be in together") {
    const std::pair<Role, Role> together[] = {{Role::offering_state, Role::requesting_state},
                                              {Role::transferring, Role::receiving},
                                              {Role::transferred, Role::receiving}};
    for (const auto& [old, fresh] : together)
        CHECK(hot_restart::is_active(old) != hot_restart::is_active(fresh));
    CHECK(next(Role::standalone, Event::request_received) == Role::offering_state);
    CHECK(next(Role::offering_state, Event::peer_ready) == Role::transferring);
    CHECK(!next(Role::standalone, Event::peer_ready));
    CHECK(!next(Role::receiving, Event::peer_ready));
    for (const Role s : {Role::requesting_state, Role::offering_state, Role::transferring, Role::transferred,
                         Role::receiving})
        CHECK(next(s, Event::disconnected) == Role::standalone);
}

TEST_CASE("a packet cut at any byte, or with one more, is torn; one of another version is told from it") {
    const hot_restart::Packet said{.kind = hot_restart::PacketKind::tunnel,
                                   .flag = true,
                                   .descriptors_held = 7,
                                   .number = 1ULL << 40,
                                   .payload = "abc"};
    const std::string whole = hot_restart::encode(said);
    hot_restart::Packet read;
    REQUIRE(hot_restart::decode(whole, read) == hot_restart::DecodeResult::ok);
    CHECK((read.kind == said.kind && read.flag && read.descriptors_held == 7 && read.number == said.number &&
           read.payload == "abc"));
    for (std::size_t n = 0; n < whole.size(); ++n)
        CHECK(hot_restart::decode(whole.substr(0, n), read) == hot_restart::DecodeResult::malformed);
    CHECK(hot_restart::decode(whole + "x", read) == hot_restart::DecodeResult::malformed);
    std::string other = whole;
    other[4] = 99;
    CHECK(hot_restart::decode(other, read) == hot_restart::DecodeResult::version_mismatch);
    other = whole;
    other[5] = 0;
    CHECK(hot_restart::decode(other, read) == hot_restart::DecodeResult::malformed);
}

TEST_CASE("open tunnels go over with what is half read of them, and neither side notices") {
    Town town(upgraded());
    OpenTunnel tunnel = town.opened();
    OpenTunnel second = town.opened();
    tunnel.client.say("half a ");
    second.host.say("LOAD 1");
    CHECK(town.until([&] { return tunnel.host.heard("half a ") && second.client.heard("LOAD 1"); }));
    town.upgrade();
    CHECK(town.until([&] { return all_over(town); }));
    CHECK(town.next->holds().tunnels == 2);
    tunnel.client.say("line\r\n");
    second.host.say("20\r\n");
    CHECK(town.until(
        [&] { return tunnel.host.heard("half a line\r\n") && second.client.heard("LOAD 120\r\n"); }));
    // The old one leaves, and nothing of it is felt.
    std::raise(SIGTERM);
    CHECK(town.until([&] { return !town.runs; }, 4000));
    town.old_is_gone();
    tunnel.host.say("still\r\n");
    CHECK(town.until([&] { return tunnel.client.heard("still\r\n"); }));
    CHECK(!tunnel.client.over());
    tunnel.client.finish();
    CHECK(town.until([&] { return tunnel.host.over(); }));
    CHECK(!tunnel.host.reset);
}

TEST_CASE("bytes that one side does not take yet go over too, none lost and none twice") {
    Town town(upgraded());
    OpenTunnel tunnel = town.opened();
    std::string sent;
    for (int i = 0; i < 30000; ++i) {
        const std::string line = std::to_string(i) + std::string(200, 'x') + "\r\n";
        if (net::write_some(tunnel.host.fd.get(), line).bytes < line.size()) break;
        sent += line;
        if (i % 1000 == 0) town.pass(1);
    }
    REQUIRE(sent.size() > 100000);
    town.upgrade();
    CHECK(town.until([&] { return all_over(town); }));
    town.runs = false;  // it has nothing left to do
    CHECK(town.until([&] {
        tunnel.client.hear();
        return tunnel.client.got.size() >= sent.size();
    }));
    const bool same = tunnel.client.got.substr(0, sent.size()) == sent;
    CHECK(same);
}

TEST_CASE(
    "a setup that is out is answered by the process that took it; its tunnel goes over when it is open") {
    Town town(upgraded());
    End c = town.client(town.line());
    End h = town.setup();
    town.upgrade();
    CHECK(town.until([&] { return state_of(town) == "serving"; }));
    CHECK(town.node->holds().tunnels == 1);
    h.say("UP r\r\n");
    CHECK(town.until([&] { return c.heard("UP r\r\n"); }));
    CHECK(town.until([&] { return all_over(town); }));
    h.say("on\r\n");
    CHECK(town.until([&] { return c.heard("on\r\n"); }));
    CHECK(c.got == "UP r\r\non\r\n");
}

TEST_CASE("each client that comes during upgrades is answered, by one process") {
    Town town(upgraded());
    int answered = 0;
    for (int round = 0; round < 3; ++round) {
        std::vector<End> waiting, at_host;
        const auto come = [&] {
            waiting.push_back(town.client(town.line()));
            town.pass(1);
            for (const Door* d : {&town.a, &town.b})
                for (End e = d->accept(); e.fd.open(); e = d->accept()) at_host.push_back(std::move(e));
            for (End& e : at_host)
                if (e.heard("\n") && e.got.substr(0, 4) == "OPEN") e.say("UP r\r\n"), e.got = "said";
        };
        for (int i = 0; i < 5; ++i) come();
        town.upgrade();
        for (int i = 0; i < 10; ++i) come();
        std::raise(SIGTERM);
        CHECK(town.until(
            [&] {
                for (const Door* d : {&town.a, &town.b})
                    for (End e = d->accept(); e.fd.open(); e = d->accept()) at_host.push_back(std::move(e));
                for (End& e : at_host)
                    if (e.heard("\n") && e.got.substr(0, 4) == "OPEN") e.say("UP r\r\n"), e.got = "said";
                return !town.runs;
            },
            4000));
        town.old_is_gone();
        for (End& e : waiting) {
            CHECK(town.until([&] { return e.heard("UP r\r\n"); }));
            CHECK(e.got == "UP r\r\n");
            CHECK(!e.over());
            ++answered;
        }
        CHECK(town.until([&] { return town.node->holds().tunnels == waiting.size(); }));
        waiting.clear();
        at_host.clear();
        CHECK(town.until([&] { return town.node->holds().tunnels == 0; }));
    }
    CHECK(answered == 45);
}

TEST_CASE("a new process that dies after its yes leaves the node to the old one") {
    Town town(upgraded());
    OpenTunnel tunnel = town.opened();
    town.upgrade();
    CHECK(town.until([&] { return all_over(town); }));
    auto late = town.client(town.line());
    town.next.reset();  // with what it had taken
    town.next_runs = false;
    End h2 = town.setup();
    h2.say("UP r\r\n");
    CHECK(town.until([&] { return late.heard("UP r\r\n"); }));
    End front = town.client("PING\r\n");
    CHECK(town.until([&] { return front.heard("PONG\r\n"); }));
}

TEST_CASE("an old process that is stuck does not keep the new one from serving") {
    Town town(upgraded());
    town.runs = false;  // it is not called any more
    town.upgrade();
    CHECK(town.until([&] { return state_of(town) == "serving"; }, 4000));
    OpenTunnel tunnel = town.opened();
    CHECK(town.next->holds().tunnels == 1);
    // When it goes on it finds that it was replaced, and leaves the clients to the other when it is told to
    // go.
    town.runs = true;
    town.pass(50);
    std::raise(SIGTERM);
    CHECK(town.until([&] { return !town.runs; }, 4000));
}

TEST_CASE("what a dead process left in the meeting place is no process") {
    Town town(upgraded());
    const std::string name = town.launch().hot_restart_path;
    town.runs = false;
    town.node.reset();
    REQUIRE(std::filesystem::exists(name));
    town.upgrade();
    CHECK(state_of(town) == "serving");
}

TEST_CASE("foreign, torn and untimely words end the line and nothing else") {
    Town town(upgraded());
    OpenTunnel tunnel = town.opened();
    Stranger stranger(town);
    const std::string hello = hot_restart::encode(
        {.kind = hot_restart::PacketKind::request_state, .descriptors_held = 10, .payload = "n0"});
    std::vector<std::string> words{
        "",
        "GET / HTTP/1.1\r\n\r\n",
        std::string(40000, 'x'),
        hello.substr(0, 9),
        hot_restart::encode({.kind = hot_restart::PacketKind::request_state, .payload = "another node"}),
        hot_restart::encode({.kind = hot_restart::PacketKind::ready}),
        hot_restart::encode({.kind = hot_restart::PacketKind::tunnel_result, .number = 3}),
        hot_restart::encode({.kind = hot_restart::PacketKind::tunnel, .payload = "x"})};
    words[0] = hello;
    words[0][4] = 99;
    for (const std::string& word : words) {
        REQUIRE(stranger.call());
        stranger.over = false;
        stranger.say(word);
        CAPTURE(word.substr(0, 20));
        CHECK(stranger.hear(town, [&] { return stranger.over; }));
    }
    tunnel.host.say("on\r\n");
    CHECK(town.until([&] { return tunnel.client.heard("on\r\n"); }));
    OpenTunnel second = town.opened();
    CHECK(state_of(town) == "serving");
}

TEST_CASE(
    "a new process that greets and says no more, or dies half way, changes nothing; the next one may come") {
    Town town(upgraded());
    OpenTunnel tunnel = town.opened();
    Stranger stranger(town), third(town);
    REQUIRE(stranger.call());
    stranger.say({.kind = hot_restart::PacketKind::request_state, .descriptors_held = 10, .payload = "n0"});
    CHECK(stranger.hear(town, [&] { return stranger.has(hot_restart::PacketKind::state_complete); }));
    CHECK(stranger.has(hot_restart::PacketKind::balancer_state_part));
    CHECK(state_of(town) == "serving");
    // A third one meanwhile is told to wait.
    REQUIRE(third.call());
    CHECK(third.hear(town, [&] { return third.has(hot_restart::PacketKind::reject); }));
    stranger.fd.close();
    town.pass(5);
    REQUIRE(third.call());
    third.say({.kind = hot_restart::PacketKind::request_state, .descriptors_held = 10, .payload = "n0"});
    CHECK(third.hear(town, [&] { return third.has(hot_restart::PacketKind::state_complete); }));
    third.say({.kind = hot_restart::PacketKind::ready});
    CHECK(third.hear(town, [&] { return third.has(hot_restart::PacketKind::tunnel); }));
    third.fd.close();  // before it has said that it has the tunnel
    CHECK(town.until([&] { return state_of(town) == "serving"; }));
    tunnel.host.say("on\r\n");
    CHECK(town.until([&] { return tunnel.client.heard("on\r\n"); }));
    CHECK(town.until([&] { return true; }));
}

TEST_CASE("a third version that is started during an upgrade waits for its turn") {
    Town town(upgraded());
    OpenTunnel tunnel = town.opened();
    town.upgrade();
    CHECK(town.until([&] { return all_over(town); }));
    auto second = std::move(town.next);
    town.upgrade();
    std::raise(SIGTERM);
    town.runs = town.node->turn();  // who reads it first is told
    CHECK(town.until(
        [&] {
            second->turn();
            if (!town.runs) town.node.reset();
            return !town.runs && state_of(town) == "serving" && town.next->holds().tunnels == 1;
        },
        6000));
    tunnel.host.say("on\r\n");
    CHECK(town.until([&] { return tunnel.client.heard("on\r\n"); }));
}

TEST_CASE("what the listener's number names must be a listening socket, else the start ends and says so") {
    Town town(upgraded());
    const auto with = [&](const char* fd) {
        return node::Node(town.kernel, config::parse_node_config(town.file.root(), {.inherited_fd = fd}),
                          town.file.root().inner("known"), town.log, {});
    };
    for (const char* fd : {"x", "-1", "5x"})
        CHECK_THROWS_WITH_AS(with(fd), doctest::Contains("NODE_INHERITED_FD"), json::Malformed);
    const net::Fd plain(::socket(AF_INET, SOCK_STREAM, 0)), udp(::socket(AF_INET, SOCK_DGRAM, 0)),
        file = town.kernel.spare();
    for (const int fd : {900, plain.get(), udp.get(), file.get()})
        CHECK_THROWS_WITH_AS(with(std::to_string(fd).c_str()), doctest::Contains("NODE_INHERITED_FD"),
                             json::Malformed);
}

TEST_CASE("with no listener handed down there is no meeting place, and nothing is held for one") {
    Town with(upgraded()), without(Town::BalancerConfig{.operators = true});
    CHECK(without.launch().hot_restart_path.empty());
    CHECK(without.node->holds().descriptors + 1 == with.node->holds().descriptors);
}

TEST_CASE(
    "an upgrade while drained, and where connections end at the node, moves nobody once clients go over") {
    Town town(upgraded("proxy"));
    OpenTunnel tunnel = town.opened();
    CHECK(town.post("/healthcheck/fail").substr(9, 3) == "200");
    town.upgrade();
    CHECK(town.until([&] { return all_over(town); }));
    CHECK(state_of(town) == "serving");
    std::raise(SIGTERM);
    CHECK(town.until([&] { return !town.runs; }, 4000));
    town.old_is_gone();
    town.pass(1500);
    CHECK(!tunnel.client.over());
}

TEST_CASE("with few descriptors both processes together stay within what is granted") {
    Town town(upgraded("pass", 64));
    std::vector<OpenTunnel> open;
    open.reserve(12);
    for (int i = 0; i < 12; ++i) open.push_back(town.opened());
    town.upgrade();
    std::size_t most = 0;
    CHECK(town.until([&] {
        most = std::max(most, town.node->holds().descriptors + town.next->holds().descriptors);
        return all_over(town);
    }));
    CHECK(town.next->holds().tunnels == open.size());
    CHECK(most + 12 <=
          64 + 8);  // twice what both have outside their loops, and the desk's, which are set aside
    for (OpenTunnel& tunnel : open) {
        tunnel.host.say("on\r\n");
        CHECK(town.until([&] { return tunnel.client.heard("on\r\n"); }));
    }
}
