// A new version takes over a node under load: who takes clients, who answers, what goes over,
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

NodeFixture::Options upgraded(const std::string& mode = "pass", int sockets = 256) {
    return {.mode = mode, .max_descriptors = sockets, .admin = true, .inherits_listener = true};
}

std::string state_of(NodeFixture& fixture) {
    const std::string answer = fixture.get("/healthcheck");
    const auto at = answer.find("\"state\":\"");
    return at == std::string::npos ? answer : answer.substr(at + 9, answer.find('"', at + 9) - at - 9);
}

// What the old process has handed over entirely, the new one holds.
bool all_over(NodeFixture& fixture) {
    return fixture.next->resource_usage().tunnels > 0 && fixture.node->resource_usage().tunnels == 0;
}

// A process at the other end of the line, played by the test.
struct Stranger {
    net::Kernel kernel;
    net::Fd fd;
    std::string name;
    explicit Stranger(NodeFixture& fixture) : name(fixture.parse_config().hot_restart_path) {}
    bool call() {
        fd = kernel.connect_local(name);
        return fd.open();
    }
    void send(std::string_view bytes) { kernel.send_packet(fd.get(), bytes, {}); }
    void send(const hot_restart::Packet& packet) { send(hot_restart::encode(packet)); }
    // The kinds of all that came, and whether the line is over.
    std::vector<hot_restart::PacketKind> heard;
    bool over = false;
    bool hear(NodeFixture& fixture, const std::function<bool()>& enough, int ms = 3000) {
        std::vector<char> room(hot_restart::max_packet_bytes);
        return fixture.run_until(
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

TEST_CASE("in every pair of states of two processes exactly one is the node") {
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

TEST_CASE("open tunnels are transferred with partly read lines, and neither side notices") {
    NodeFixture fixture(upgraded());
    OpenTunnel tunnel = fixture.open_tunnel();
    OpenTunnel second = fixture.open_tunnel();
    tunnel.client.send("half a ");
    second.server.send("LOAD 1");
    CHECK(fixture.run_until(
        [&] { return tunnel.server.has_received("half a ") && second.client.has_received("LOAD 1"); }));
    fixture.upgrade();
    CHECK(fixture.run_until([&] { return all_over(fixture); }));
    CHECK(fixture.next->resource_usage().tunnels == 2);
    tunnel.client.send("line\r\n");
    second.server.send("20\r\n");
    CHECK(fixture.run_until([&] {
        return tunnel.server.has_received("half a line\r\n") && second.client.has_received("LOAD 120\r\n");
    }));
    // The old one leaves, and nothing of it is felt.
    std::raise(SIGTERM);
    CHECK(fixture.run_until([&] { return !fixture.running; }, 4000));
    fixture.retire_old_node();
    tunnel.server.send("still\r\n");
    CHECK(fixture.run_until([&] { return tunnel.client.has_received("still\r\n"); }));
    CHECK(!tunnel.client.is_closed());
    tunnel.client.shutdown_write();
    CHECK(fixture.run_until([&] { return tunnel.server.is_closed(); }));
    CHECK(!tunnel.server.reset);
}

TEST_CASE("bytes that one side has not read are transferred too, none lost and none twice") {
    NodeFixture fixture(upgraded());
    OpenTunnel tunnel = fixture.open_tunnel();
    std::string sent;
    for (int i = 0; i < 30000; ++i) {
        const std::string line = std::to_string(i) + std::string(200, 'x') + "\r\n";
        if (net::write_some(tunnel.server.fd.get(), line).bytes < line.size()) break;
        sent += line;
        if (i % 1000 == 0) fixture.run_for(1);
    }
    REQUIRE(sent.size() > 100000);
    fixture.upgrade();
    CHECK(fixture.run_until([&] { return all_over(fixture); }));
    fixture.running = false;  // it has nothing left to do
    CHECK(fixture.run_until([&] {
        tunnel.client.receive();
        return tunnel.client.received.size() >= sent.size();
    }));
    const bool same = tunnel.client.received.substr(0, sent.size()) == sent;
    CHECK(same);
}

TEST_CASE(
    "an attempt in flight is answered by the process that started it; its tunnel is transferred when open") {
    NodeFixture fixture(upgraded());
    TestConnection c = fixture.connect_client(fixture.open_line());
    TestConnection h = fixture.accept_attempt();
    fixture.upgrade();
    CHECK(fixture.run_until([&] { return state_of(fixture) == "serving"; }));
    CHECK(fixture.node->resource_usage().tunnels == 1);
    h.send("UP r\r\n");
    CHECK(fixture.run_until([&] { return c.has_received("UP r\r\n"); }));
    CHECK(fixture.run_until([&] { return all_over(fixture); }));
    h.send("on\r\n");
    CHECK(fixture.run_until([&] { return c.has_received("on\r\n"); }));
    CHECK(c.received == "UP r\r\non\r\n");
}

TEST_CASE("each client that connects during hot restarts is answered by one process") {
    NodeFixture fixture(upgraded());
    int answered = 0;
    for (int round = 0; round < 3; ++round) {
        std::vector<TestConnection> waiting, at_host;
        const auto come = [&] {
            waiting.push_back(fixture.connect_client(fixture.open_line()));
            fixture.run_for(1);
            for (const TestListener* d : {&fixture.server_a, &fixture.server_b})
                for (TestConnection e = d->accept(); e.fd.open(); e = d->accept())
                    at_host.push_back(std::move(e));
            for (TestConnection& e : at_host)
                if (e.has_received("\n") && e.received.substr(0, 4) == "OPEN")
                    e.send("UP r\r\n"), e.received = "said";
        };
        for (int i = 0; i < 5; ++i) come();
        fixture.upgrade();
        for (int i = 0; i < 10; ++i) come();
        std::raise(SIGTERM);
        CHECK(fixture.run_until(
            [&] {
                for (const TestListener* d : {&fixture.server_a, &fixture.server_b})
                    for (TestConnection e = d->accept(); e.fd.open(); e = d->accept())
                        at_host.push_back(std::move(e));
                for (TestConnection& e : at_host)
                    if (e.has_received("\n") && e.received.substr(0, 4) == "OPEN")
                        e.send("UP r\r\n"), e.received = "said";
                return !fixture.running;
            },
            4000));
        fixture.retire_old_node();
        for (TestConnection& e : waiting) {
            CHECK(fixture.run_until([&] { return e.has_received("UP r\r\n"); }));
            CHECK(e.received == "UP r\r\n");
            CHECK(!e.is_closed());
            ++answered;
        }
        CHECK(fixture.run_until([&] { return fixture.node->resource_usage().tunnels == waiting.size(); }));
        waiting.clear();
        at_host.clear();
        CHECK(fixture.run_until([&] { return fixture.node->resource_usage().tunnels == 0; }));
    }
    CHECK(answered == 45);
}

TEST_CASE("when a new process dies after it agreed, the old one stays the node") {
    NodeFixture fixture(upgraded());
    OpenTunnel tunnel = fixture.open_tunnel();
    fixture.upgrade();
    CHECK(fixture.run_until([&] { return all_over(fixture); }));
    auto late = fixture.connect_client(fixture.open_line());
    fixture.next.reset();  // with what it had taken
    fixture.next_running = false;
    TestConnection h2 = fixture.accept_attempt();
    h2.send("UP r\r\n");
    CHECK(fixture.run_until([&] { return late.has_received("UP r\r\n"); }));
    TestConnection front = fixture.connect_client("PING\r\n");
    CHECK(fixture.run_until([&] { return front.has_received("PONG\r\n"); }));
}

TEST_CASE("an old process that is stuck does not keep the new one from serving") {
    NodeFixture fixture(upgraded());
    fixture.running = false;  // it is not called any more
    fixture.upgrade();
    CHECK(fixture.run_until([&] { return state_of(fixture) == "serving"; }, 4000));
    OpenTunnel tunnel = fixture.open_tunnel();
    CHECK(fixture.next->resource_usage().tunnels == 1);
    // When it goes on it finds that it was replaced, and leaves the clients to the other when it is told to
    // go.
    fixture.running = true;
    fixture.run_for(50);
    std::raise(SIGTERM);
    CHECK(fixture.run_until([&] { return !fixture.running; }, 4000));
}

TEST_CASE("a stale socket of a dead process is not taken for a process") {
    NodeFixture fixture(upgraded());
    const std::string name = fixture.parse_config().hot_restart_path;
    fixture.running = false;
    fixture.node.reset();
    REQUIRE(std::filesystem::exists(name));
    fixture.upgrade();
    CHECK(state_of(fixture) == "serving");
}

TEST_CASE("foreign, truncated and unexpected packets end the channel and nothing else") {
    NodeFixture fixture(upgraded());
    OpenTunnel tunnel = fixture.open_tunnel();
    Stranger stranger(fixture);
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
        stranger.send(word);
        CAPTURE(word.substr(0, 20));
        CHECK(stranger.hear(fixture, [&] { return stranger.over; }));
    }
    tunnel.server.send("on\r\n");
    CHECK(fixture.run_until([&] { return tunnel.client.has_received("on\r\n"); }));
    OpenTunnel second = fixture.open_tunnel();
    CHECK(state_of(fixture) == "serving");
}

TEST_CASE("a new process that stops after its greeting, or dies, changes nothing; the next one may start") {
    NodeFixture fixture(upgraded());
    OpenTunnel tunnel = fixture.open_tunnel();
    Stranger stranger(fixture), third(fixture);
    REQUIRE(stranger.call());
    stranger.send({.kind = hot_restart::PacketKind::request_state, .descriptors_held = 10, .payload = "n0"});
    CHECK(stranger.hear(fixture, [&] { return stranger.has(hot_restart::PacketKind::state_complete); }));
    CHECK(stranger.has(hot_restart::PacketKind::balancer_state_part));
    CHECK(state_of(fixture) == "serving");
    // A third one meanwhile is told to wait.
    REQUIRE(third.call());
    CHECK(third.hear(fixture, [&] { return third.has(hot_restart::PacketKind::reject); }));
    stranger.fd.close();
    fixture.run_for(5);
    REQUIRE(third.call());
    third.send({.kind = hot_restart::PacketKind::request_state, .descriptors_held = 10, .payload = "n0"});
    CHECK(third.hear(fixture, [&] { return third.has(hot_restart::PacketKind::state_complete); }));
    third.send({.kind = hot_restart::PacketKind::ready});
    CHECK(third.hear(fixture, [&] { return third.has(hot_restart::PacketKind::tunnel); }));
    third.fd.close();  // before it has said that it has the tunnel
    CHECK(fixture.run_until([&] { return state_of(fixture) == "serving"; }));
    tunnel.server.send("on\r\n");
    CHECK(fixture.run_until([&] { return tunnel.client.has_received("on\r\n"); }));
    CHECK(fixture.run_until([&] { return true; }));
}

TEST_CASE("a third version that is started during an upgrade waits for its turn") {
    NodeFixture fixture(upgraded());
    OpenTunnel tunnel = fixture.open_tunnel();
    fixture.upgrade();
    CHECK(fixture.run_until([&] { return all_over(fixture); }));
    auto second = std::move(fixture.next);
    fixture.upgrade();
    std::raise(SIGTERM);
    fixture.running = fixture.node->run_once();  // who reads it first is told
    CHECK(fixture.run_until(
        [&] {
            second->run_once();
            if (!fixture.running) fixture.node.reset();
            return !fixture.running && state_of(fixture) == "serving" &&
                   fixture.next->resource_usage().tunnels == 1;
        },
        6000));
    tunnel.server.send("on\r\n");
    CHECK(fixture.run_until([&] { return tunnel.client.has_received("on\r\n"); }));
}

TEST_CASE("what the listener's number names must be a listening socket, else the start ends and says so") {
    NodeFixture fixture(upgraded());
    const auto with = [&](const char* fd) {
        return node::Node(fixture.kernel,
                          config::parse_node_config(fixture.config_document.root(), {.inherited_fd = fd}),
                          fixture.config_document.root().object("known"), fixture.log, {});
    };
    for (const char* fd : {"x", "-1", "5x"})
        CHECK_THROWS_WITH_AS(with(fd), doctest::Contains("NODE_INHERITED_FD"), json::Malformed);
    const net::Fd plain(::socket(AF_INET, SOCK_STREAM, 0)), udp(::socket(AF_INET, SOCK_DGRAM, 0)),
        file = fixture.kernel.open_spare();
    for (const int fd : {900, plain.get(), udp.get(), file.get()})
        CHECK_THROWS_WITH_AS(with(std::to_string(fd).c_str()), doctest::Contains("NODE_INHERITED_FD"),
                             json::Malformed);
}

TEST_CASE("without an inherited listener there is no hot restart socket, and no descriptor reserved for it") {
    NodeFixture with(upgraded()), without(NodeFixture::Options{.admin = true});
    CHECK(without.parse_config().hot_restart_path.empty());
    CHECK(without.node->resource_usage().descriptors + 1 == with.node->resource_usage().descriptors);
}

TEST_CASE("a hot restart while draining, in proxy mode, migrates nobody once clients are transferred") {
    NodeFixture fixture(upgraded("proxy"));
    OpenTunnel tunnel = fixture.open_tunnel();
    CHECK(fixture.post("/healthcheck/fail").substr(9, 3) == "200");
    fixture.upgrade();
    CHECK(fixture.run_until([&] { return all_over(fixture); }));
    CHECK(state_of(fixture) == "serving");
    std::raise(SIGTERM);
    CHECK(fixture.run_until([&] { return !fixture.running; }, 4000));
    fixture.retire_old_node();
    fixture.run_for(1500);
    CHECK(!tunnel.client.is_closed());
}

TEST_CASE("with few descriptors both processes together stay within the limit") {
    NodeFixture fixture(upgraded("pass", 64));
    std::vector<OpenTunnel> open;
    open.reserve(12);
    for (int i = 0; i < 12; ++i) open.push_back(fixture.open_tunnel());
    fixture.upgrade();
    std::size_t most = 0;
    CHECK(fixture.run_until([&] {
        most = std::max(
            most, fixture.node->resource_usage().descriptors + fixture.next->resource_usage().descriptors);
        return all_over(fixture);
    }));
    CHECK(fixture.next->resource_usage().tunnels == open.size());
    CHECK(most + 12 <=
          64 + 8);  // twice what both have outside their loops, and the admin server's, which are reserved
    for (OpenTunnel& tunnel : open) {
        tunnel.server.send("on\r\n");
        CHECK(fixture.run_until([&] { return tunnel.client.has_received("on\r\n"); }));
    }
}
