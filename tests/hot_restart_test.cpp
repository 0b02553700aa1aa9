// A new process takes over a node under load. Guards against clients that both processes or neither accept or
// answer, against tunnels or bytes lost in the transfer, and against a restart that harms the node when the
// other process is stuck, invalid, or dies half way.
#include <doctest/doctest.h>

#include <array>
#include <csignal>
#include <cstdio>
#include <string>
#include <utility>
#include <vector>

#include "hot_restart/state_machine.h"
#include "hot_restart_fixture.h"

using namespace fake;
using hot_restart::Event;
using hot_restart::Role;

TEST_CASE("in every pair of roles of two processes exactly one process is the node") {
    const std::pair<Role, Role> pairs[] = {{Role::offering_state, Role::requesting_state},
                                           {Role::transferring, Role::taking_over},
                                           {Role::transferring, Role::receiving},
                                           {Role::transferred, Role::receiving}};
    for (const auto& [old_role, new_role] : pairs)
        CHECK(hot_restart::is_active(old_role) != hot_restart::is_active(new_role));
    // Of the old process in these roles and the new one, at most one accepts clients.
    for (const Role old_role : {Role::offering_state, Role::transferring, Role::transferred})
        for (const Role new_role : {Role::requesting_state, Role::taking_over})
            CHECK((!hot_restart::accepts_clients(old_role) || !hot_restart::accepts_clients(new_role)));
    CHECK(next(Role::standalone, Event::request_received) == Role::offering_state);
    CHECK(next(Role::offering_state, Event::peer_ready) == Role::transferring);
    CHECK(!next(Role::standalone, Event::peer_ready));
    CHECK(!next(Role::receiving, Event::peer_ready));
    CHECK(next(Role::requesting_state, Event::state_received) == Role::taking_over);
    CHECK(next(Role::taking_over, Event::peer_stopped) == Role::receiving);
    for (const Role role : {Role::requesting_state, Role::offering_state, Role::transferring,
                            Role::transferred, Role::taking_over, Role::receiving})
        CHECK(next(role, Event::disconnected) == Role::standalone);
}

TEST_CASE(
    "a packet that is truncated or too long is malformed; one of another version is a version mismatch") {
    const hot_restart::Packet sent{.kind = hot_restart::PacketKind::tunnel,
                                   .flag = true,
                                   .descriptors_held = 7,
                                   .number = 1ULL << 40,
                                   .payload = "abc"};
    const std::string bytes = hot_restart::encode(sent);
    hot_restart::Packet decoded;
    REQUIRE(hot_restart::decode(bytes, decoded) == hot_restart::DecodeResult::ok);
    CHECK((decoded.kind == sent.kind && decoded.flag && decoded.descriptors_held == 7 &&
           decoded.number == sent.number && decoded.payload == "abc"));
    for (std::size_t length = 0; length < bytes.size(); ++length)
        CHECK(hot_restart::decode(bytes.substr(0, length), decoded) == hot_restart::DecodeResult::malformed);
    CHECK(hot_restart::decode(bytes + "x", decoded) == hot_restart::DecodeResult::malformed);
    std::string changed = bytes;
    changed[4] = 99;  // the version
    CHECK(hot_restart::decode(changed, decoded) == hot_restart::DecodeResult::version_mismatch);
    changed = bytes;
    changed[5] = 0;  // the kind
    CHECK(hot_restart::decode(changed, decoded) == hot_restart::DecodeResult::malformed);
}

TEST_CASE("open tunnels are transferred with partly read lines, and neither client nor endpoint notices") {
    NodeFixture fixture(restartable());
    OpenTunnel tunnel = fixture.open_tunnel();
    OpenTunnel second = fixture.open_tunnel();
    tunnel.client.send("half a ");
    second.server.send("LOAD 1");
    CHECK(fixture.run_until([&] { return tunnel.server.has_received("half a "); }));
    fixture.run_for(50);
    CHECK(!second.client.has_received("LOAD"));  // held back, and transferred with the tunnel
    fixture.upgrade();
    CHECK(fixture.run_until([&] { return all_transferred(fixture); }));
    CHECK(fixture.next->resource_usage().tunnels == 2);
    tunnel.client.send("line\r\n");
    second.server.send("20\r\n");
    CHECK(fixture.run_until([&] {
        return tunnel.server.has_received("half a line\r\n") && second.client.has_received("LOAD 120\r\n");
    }));
    // The old process exits, and the tunnels are not affected.
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

TEST_CASE("bytes that the client has not read yet arrive after the transfer, none lost and none twice") {
    NodeFixture fixture(restartable());
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
    CHECK(fixture.run_until([&] { return all_transferred(fixture); }));
    fixture.running = false;  // the old process has nothing left to do
    CHECK(fixture.run_until([&] {
        tunnel.client.receive();
        return tunnel.client.received.size() >= sent.size();
    }));
    const bool same_bytes = tunnel.client.received.substr(0, sent.size()) == sent;
    CHECK(same_bytes);
}

TEST_CASE(
    "an attempt in flight is answered by the process that started it; its tunnel is transferred when open") {
    NodeFixture fixture(restartable());
    TestConnection client = fixture.connect_client(fixture.open_line());
    TestConnection attempt = fixture.accept_attempt();
    fixture.upgrade();
    CHECK(fixture.run_until([&] { return state_of(fixture) == "serving"; }));
    CHECK(fixture.node->resource_usage().tunnels == 1);
    attempt.send("UP r\r\n");
    CHECK(fixture.run_until([&] { return client.has_received("UP r\r\n"); }));
    CHECK(fixture.run_until([&] { return all_transferred(fixture); }));
    attempt.send("on\r\n");
    CHECK(fixture.run_until([&] { return client.has_received("on\r\n"); }));
    CHECK(client.received == "UP r\r\non\r\n");
}

TEST_CASE("each client that connects during hot restarts is answered by one process") {
    NodeFixture fixture(restartable());
    int answered = 0;
    for (int round = 0; round < 3; ++round) {
        std::vector<TestConnection> clients, attempts;
        const auto connect_one = [&] {
            clients.push_back(fixture.connect_client(fixture.open_line()));
            fixture.run_for(1);
            for (const TestListener* server : {&fixture.server_a, &fixture.server_b})
                for (TestConnection attempt = server->accept(); attempt.fd.open(); attempt = server->accept())
                    attempts.push_back(std::move(attempt));
            for (TestConnection& attempt : attempts)
                if (attempt.has_received("\n") && attempt.received.substr(0, 4) == "OPEN")
                    attempt.send("UP r\r\n"), attempt.received = "answered";
        };
        for (int i = 0; i < 5; ++i) connect_one();
        fixture.upgrade();
        for (int i = 0; i < 10; ++i) connect_one();
        std::raise(SIGTERM);
        CHECK(fixture.run_until(
            [&] {
                for (const TestListener* server : {&fixture.server_a, &fixture.server_b})
                    for (TestConnection attempt = server->accept(); attempt.fd.open();
                         attempt = server->accept())
                        attempts.push_back(std::move(attempt));
                for (TestConnection& attempt : attempts)
                    if (attempt.has_received("\n") && attempt.received.substr(0, 4) == "OPEN")
                        attempt.send("UP r\r\n"), attempt.received = "answered";
                return !fixture.running;
            },
            4000));
        fixture.retire_old_node();
        for (TestConnection& client : clients) {
            CHECK(fixture.run_until([&] { return client.has_received("UP r\r\n"); }));
            CHECK(client.received == "UP r\r\n");
            CHECK(!client.is_closed());
            ++answered;
        }
        CHECK(fixture.run_until([&] { return fixture.node->resource_usage().tunnels == clients.size(); }));
        clients.clear();
        attempts.clear();
        CHECK(fixture.run_until([&] { return fixture.node->resource_usage().tunnels == 0; }));
    }
    CHECK(answered == 45);
}

TEST_CASE("when a new process dies after it took over, the old one becomes the node again") {
    NodeFixture fixture(restartable());
    OpenTunnel tunnel = fixture.open_tunnel();
    fixture.upgrade();
    CHECK(fixture.run_until([&] { return all_transferred(fixture); }));
    auto late_client = fixture.connect_client(fixture.open_line());
    fixture.next.reset();  // with the tunnels transferred to it
    fixture.next_running = false;
    TestConnection attempt = fixture.accept_attempt();
    attempt.send("UP r\r\n");
    CHECK(fixture.run_until([&] { return late_client.has_received("UP r\r\n"); }));
    TestConnection front_client = fixture.connect_client("PING\r\n");
    CHECK(fixture.run_until([&] { return front_client.has_received("PONG\r\n"); }));
}

TEST_CASE("an old process that is stuck does not prevent the new one from serving") {
    NodeFixture fixture(restartable());
    fixture.running = false;  // the old process does not run any more
    fixture.upgrade();
    CHECK(fixture.run_until([&] { return state_of(fixture) == "serving"; }, 4000));
    OpenTunnel tunnel = fixture.open_tunnel();
    CHECK(fixture.next->resource_usage().tunnels == 1);
    // When it runs again it finds that the new process serves. On SIGTERM it leaves new clients to that
    // process. It must exit all the same.
    fixture.running = true;
    fixture.run_for(50);
    std::raise(SIGTERM);
    CHECK(fixture.run_until([&] { return !fixture.running; }, 4000));
}

// Guards against a replaced process that places clients by the endpoint list of the moment when it was
// replaced.
TEST_CASE("a replaced process is told of drains, and sends no late client to an endpoint that drains") {
    NodeFixture::Options options = restartable("proxy");
    options.drain_grace = "0.25";
    NodeFixture fixture(options);
    std::vector<TestConnection> watches;
    const auto accept_watches = [&](std::size_t wanted) {
        return fixture.run_until([&] {
            TestConnection call = fixture.discovery.accept();
            if (call.fd.open()) watches.push_back(std::move(call));
            return watches.size() >= wanted && watches.back().has_received("\r\n\r\n");
        });
    };
    REQUIRE(accept_watches(1));
    const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    watches[0].send(head + "1\r\n\n\r\n");
    // Clients of the old process whose first lines come late, and so are placed by it.
    std::vector<TestConnection> late_clients;
    late_clients.reserve(8);
    for (int i = 0; i < 8; ++i) late_clients.push_back(fixture.connect_client("OPEN "));
    REQUIRE(fixture.run_until([&] { return fixture.node->resource_usage().tunnels == 8; }));
    fixture.upgrade();
    REQUIRE(accept_watches(2));
    REQUIRE(fixture.run_until([&] { return state_of(fixture) == "serving"; }));
    const std::string list = R"({"revision":7,"complete":false,"members":[)" +
                             NodeFixture::member("a", fixture.server_a, "terminating") + "]}\n";
    std::array<char, 16> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", list.size());
    watches[1].send(head);
    for (TestConnection& watch : watches) watch.send(size.data() + list + "\r\n");
    fixture.run_for(300);
    for (std::size_t i = 0; i < late_clients.size(); ++i) {
        late_clients[i].send("2" + std::to_string(i) + " k c=chat,d=2000\r\n");
        const TestListener* reached = nullptr;
        TestConnection attempt = fixture.accept_attempt(&reached);
        CHECK(reached == &fixture.server_b);
        attempt.send("UP r\r\n");
        CHECK(fixture.run_until([&] { return late_clients[i].has_received("UP r\r\n"); }));
    }
}

TEST_CASE("a socket file that a dead process left behind does not hold up the start") {
    NodeFixture fixture(restartable());
    const std::string path = fixture.parse_config().hot_restart_path;
    fixture.running = false;
    fixture.node.reset();
    REQUIRE(std::filesystem::exists(path));
    fixture.upgrade();
    CHECK(state_of(fixture) == "serving");
}

TEST_CASE("foreign, truncated and unexpected packets close the channel and have no other effect") {
    NodeFixture fixture(restartable());
    OpenTunnel tunnel = fixture.open_tunnel();
    FakePeer peer(fixture);
    const std::string request = hot_restart::encode(
        {.kind = hot_restart::PacketKind::request_state, .descriptors_held = 10, .payload = "n0"});
    std::vector<std::string> packets{
        "",
        "GET / HTTP/1.1\r\n\r\n",
        std::string(40000, 'x'),
        request.substr(0, 9),
        hot_restart::encode({.kind = hot_restart::PacketKind::request_state, .payload = "another node"}),
        hot_restart::encode({.kind = hot_restart::PacketKind::ready}),
        hot_restart::encode({.kind = hot_restart::PacketKind::tunnel_result, .number = 3}),
        hot_restart::encode({.kind = hot_restart::PacketKind::tunnel, .payload = "x"})};
    packets[0] = request;
    packets[0][4] = 99;  // another protocol version
    for (const std::string& packet : packets) {
        REQUIRE(peer.connect());
        peer.disconnected = false;
        peer.send(packet);
        CAPTURE(packet.substr(0, 20));
        CHECK(peer.receive_until(fixture, [&] { return peer.disconnected; }));
    }
    tunnel.server.send("on\r\n");
    CHECK(fixture.run_until([&] { return tunnel.client.has_received("on\r\n"); }));
    OpenTunnel second = fixture.open_tunnel();
    CHECK(state_of(fixture) == "serving");
}

TEST_CASE(
    "a new process that stops after its request, or dies, changes nothing, and the next one can take over") {
    NodeFixture fixture(restartable());
    OpenTunnel tunnel = fixture.open_tunnel();
    FakePeer second(fixture), third(fixture);
    REQUIRE(second.connect());
    second.send({.kind = hot_restart::PacketKind::request_state, .descriptors_held = 10, .payload = "n0"});
    CHECK(second.receive_until(fixture,
                               [&] { return second.has_received(hot_restart::PacketKind::state_complete); }));
    CHECK(second.has_received(hot_restart::PacketKind::balancer_state_part));
    CHECK(state_of(fixture) == "serving");
    // A third process is rejected meanwhile.
    REQUIRE(third.connect());
    CHECK(third.receive_until(fixture, [&] { return third.has_received(hot_restart::PacketKind::reject); }));
    second.fd.close();
    fixture.run_for(5);
    REQUIRE(third.connect());
    third.send({.kind = hot_restart::PacketKind::request_state, .descriptors_held = 10, .payload = "n0"});
    CHECK(third.receive_until(fixture,
                              [&] { return third.has_received(hot_restart::PacketKind::state_complete); }));
    third.send({.kind = hot_restart::PacketKind::ready});
    CHECK(third.receive_until(fixture, [&] { return third.has_received(hot_restart::PacketKind::tunnel); }));
    third.fd.close();  // before it reported that it accepted the tunnel
    CHECK(fixture.run_until([&] { return state_of(fixture) == "serving"; }));
    tunnel.server.send("on\r\n");
    CHECK(fixture.run_until([&] { return tunnel.client.has_received("on\r\n"); }));
    CHECK(fixture.run_until([&] { return true; }));
}

TEST_CASE("a third process that starts during a hot restart waits until that is complete") {
    NodeFixture fixture(restartable());
    OpenTunnel tunnel = fixture.open_tunnel();
    fixture.upgrade();
    CHECK(fixture.run_until([&] { return all_transferred(fixture); }));
    auto second = std::move(fixture.next);
    fixture.upgrade();
    std::raise(SIGTERM);
    fixture.running = fixture.node->run_once();  // the old process reads the signal, since it runs first
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

TEST_CASE(
    "an inherited descriptor that is not a listening TCP socket fails the start and names the variable") {
    NodeFixture fixture(restartable());
    const auto start_with = [&](const char* fd) {
        return node::Node(fixture.kernel,
                          config::parse_node_config(fixture.config_document.root(), {.inherited_fd = fd}),
                          fixture.config_document.root().object("known"), fixture.log, {});
    };
    for (const char* fd : {"x", "-1", "5x"})
        CHECK_THROWS_WITH_AS(start_with(fd), doctest::Contains("NODE_INHERITED_FD"), json::Malformed);
    const net::Fd plain(::socket(AF_INET, SOCK_STREAM, 0)), udp(::socket(AF_INET, SOCK_DGRAM, 0)),
        file = fixture.kernel.open_spare();
    for (const int fd : {900, plain.get(), udp.get(), file.get()})
        CHECK_THROWS_WITH_AS(start_with(std::to_string(fd).c_str()), doctest::Contains("NODE_INHERITED_FD"),
                             json::Malformed);
}

TEST_CASE("without an inherited listener there is no hot restart socket, and no descriptor reserved for it") {
    NodeFixture with(restartable()), without(NodeFixture::Options{.admin = true});
    CHECK(without.parse_config().hot_restart_path.empty());
    CHECK(without.node->resource_usage().descriptors + 1 == with.node->resource_usage().descriptors);
}

TEST_CASE(
    "a hot restart during a drain, in proxy mode, migrates no client once the tunnels are transferred") {
    NodeFixture fixture(restartable("proxy"));
    OpenTunnel tunnel = fixture.open_tunnel();
    CHECK(fixture.post("/healthcheck/fail").substr(9, 3) == "200");
    fixture.upgrade();
    CHECK(fixture.run_until([&] { return all_transferred(fixture); }));
    CHECK(state_of(fixture) == "serving");
    std::raise(SIGTERM);
    CHECK(fixture.run_until([&] { return !fixture.running; }, 4000));
    fixture.retire_old_node();
    fixture.run_for(1500);
    CHECK(!tunnel.client.is_closed());
}

TEST_CASE("with few descriptors both processes together stay within the limit") {
    NodeFixture fixture(restartable("pass", 64));
    std::vector<OpenTunnel> tunnels;
    tunnels.reserve(12);
    for (int i = 0; i < 12; ++i) tunnels.push_back(fixture.open_tunnel());
    fixture.upgrade();
    std::size_t peak_descriptors = 0;
    CHECK(fixture.run_until([&] {
        peak_descriptors = std::max(peak_descriptors, fixture.node->resource_usage().descriptors +
                                                          fixture.next->resource_usage().descriptors);
        return all_transferred(fixture);
    }));
    CHECK(fixture.next->resource_usage().tunnels == tunnels.size());
    // 12: each process holds 6 descriptors outside its event loop. 8: the sum includes the 4 descriptors that
    // each process reserves for its admin server.
    CHECK(peak_descriptors + 12 <= 64 + 8);
    for (OpenTunnel& tunnel : tunnels) {
        tunnel.server.send("on\r\n");
        CHECK(fixture.run_until([&] { return tunnel.client.has_received("on\r\n"); }));
    }
}
