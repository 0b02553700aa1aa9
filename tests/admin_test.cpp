// The admin server and the metrics page: calls whole, in pieces, wrong and by thousands; the figures;
// clients sent away.
#include <doctest/doctest.h>

#include <chrono>
#include <csignal>

#include "admin/routes.h"
#include "http/request.h"
#include "node_fixture.h"

using namespace fake;

namespace {

struct Answers final : admin::AdminHandler {
    bool is_ready = true;
    bool ready() const override { return is_ready; }
    std::string_view phase() const override { return is_ready ? "serving" : "drained"; }
    std::string metrics_page() const override { return "{}"; }
    bool drain() override { return is_ready = false, true; }
    bool resume() override { return is_ready = true; }
};

std::string answer_to(std::string_view bytes) {
    http::Request request;
    request.feed(bytes);
    Answers node;
    return request.is_complete() || request.error() != http::RequestError::none
               ? admin::respond(request, node)
               : "";
}

int status_of(std::string_view answer) {
    return answer.size() < 12 ? 0 : std::stoi(std::string(answer.substr(9, 3)));
}

std::string long_head() { return "GET /stats HTTP/1.1\r\nX: " + std::string(9000, 'x'); }
std::string many_fields() {
    std::string call = "GET /stats HTTP/1.1\r\n";
    for (int i = 0; i < 100; ++i) call += "X: y\r\n";
    return call + "\r\n";
}

NodeFixture::Options operated(int sockets = 256) { return {.max_descriptors = sockets, .admin = true}; }

// A figure behind its name in an answer; -1: there is none.
long figure(const std::string& answer, const std::string& name) {
    const auto at = answer.find("\"" + name + "\":");
    return at == std::string::npos ? -1 : std::stol(answer.substr(at + name.size() + 3));
}

}  // namespace

TEST_CASE("an admin request is read the same whatever byte it is cut at") {
    for (const std::string call : {"GET /stats?x=1 HTTP/1.1\r\nHost: n\r\nAccept: */*\r\n\r\n",
                                   "\r\nPOST /healthcheck/fail HTTP/1.1\r\nContent-LENGTH: 3 \r\n\r\nabc",
                                   "GET /healthcheck HTTP/1.0\n\n"}) {
        for (std::size_t at = 0; at <= call.size(); ++at) {
            http::Request request;
            request.feed(std::string_view(call).substr(0, at));
            CHECK(request.is_complete() == (at == call.size()));
            request.feed(std::string_view(call).substr(at));
            REQUIRE(request.is_complete());
            CHECK(request.error() == http::RequestError::none);
            CHECK(status_of(answer_to(call)) == 200);
        }
    }
}

TEST_CASE("an invalid request gets its status, with Content-Length and Connection: close") {
    const std::pair<std::string, int> calls[] = {
        {"GET /nothing HTTP/1.1\r\n\r\n", 404},
        {"GET /healthcheck/fail HTTP/1.1\r\n\r\n", 405},
        {"DELETE /stats HTTP/1.1\r\n\r\n", 405},
        {"get /stats HTTP/1.1\r\n\r\n", 405},
        {"GET /stats HTTP/2.0\r\n\r\n", 505},
        {"GET /stats\r\n\r\n", 400},
        {"GET stats HTTP/1.1\r\n\r\n", 400},
        {"GET / stats HTTP/1.1\r\n\r\n", 400},
        {"\x16\x03\x01\x02\n", 400},
        {"GET /stats HTTP/1.1\r\nno colon\r\n\r\n", 400},
        {"GET /stats HTTP/1.1\r\nbad name : x\r\n\r\n", 400},
        {"POST /healthcheck/ok HTTP/1.1\r\nContent-Length: -1\r\n\r\n", 400},
        {"POST /healthcheck/ok HTTP/1.1\r\nContent-Length: 1x\r\n\r\n", 400},
        {"POST /healthcheck/ok HTTP/1.1\r\nContent-Length:\r\n\r\n", 400},
        {"POST /healthcheck/ok HTTP/1.1\r\nContent-Length: 0\r\nContent-Length: 0\r\n\r\n", 400},
        {"POST /healthcheck/ok HTTP/1.1\r\nContent-Length: 4097\r\n\r\n", 413},
        {"POST /healthcheck/ok HTTP/1.1\r\nContent-Length: 99999999999999999999999\r\n\r\n", 413},
        {"POST /healthcheck/ok HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n", 411},
        {"POST /healthcheck/ok HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n", 400},
        {long_head(), 431},
        {many_fields(), 431}};
    for (const auto& row : calls) {
        const std::string& call = row.first;
        const int status = row.second;
        const std::string answer = answer_to(call);
        CAPTURE(call.substr(0, 80));
        CHECK(status_of(answer) == status);
        const auto head = answer.find("\r\n\r\n");
        REQUIRE(head != std::string::npos);
        CHECK(answer.find("Content-Length: " + std::to_string(answer.size() - head - 4) + "\r\n") < head);
        CHECK(answer.find("\r\nConnection: close\r\n") < head);
        CHECK((answer.find("\r\nAllow: ") < head) == (status == 405));
    }
}

TEST_CASE("an invalid request keeps little memory, however much follows") {
    http::Request request;
    request.feed("GET /stats HTTP/1.1\r\n");
    for (int i = 0; i < 10000; ++i) request.feed("xxxxxxxxxxxxxxxx");
    CHECK(request.error() == http::RequestError::header_too_large);
    CHECK(!request.is_complete());
}

TEST_CASE(
    "a draining node is not ready at once, and ready again after the drain is undone; both are idempotent") {
    NodeFixture fixture(operated());
    CHECK(status_of(fixture.get("/healthcheck")) == 200);
    for (int i = 0; i < 2; ++i) CHECK(status_of(fixture.post("/healthcheck/fail")) == 200);
    CHECK(status_of(fixture.get("/healthcheck")) == 503);
    TestConnection front = fixture.connect_client("PING\r\n");
    CHECK(fixture.run_until([&] { return front.has_received("\r\n"); }));
    CHECK(front.received != "PONG\r\n");
    for (int i = 0; i < 2; ++i) CHECK(status_of(fixture.post("/healthcheck/ok")) == 200);
    CHECK(status_of(fixture.get("/healthcheck")) == 200);
    front = fixture.connect_client("PING\r\n");
    CHECK(fixture.run_until([&] { return front.has_received("PONG\r\n"); }));
}

TEST_CASE("a node in a graceful shutdown is not ready, and its drain cannot be undone") {
    NodeFixture fixture(operated());
    OpenTunnel tunnel = fixture.open_tunnel();
    std::raise(SIGTERM);
    fixture.run_for(20);
    CHECK(status_of(fixture.get("/healthcheck")) == 503);
    CHECK(status_of(fixture.post("/healthcheck/ok")) == 503);
    CHECK(status_of(fixture.post("/healthcheck/fail")) == 200);
    CHECK(fixture.get("/healthcheck").find("leaving") != std::string::npos);
}

TEST_CASE("metrics are what clients and hosts saw, zeros included") {
    NodeFixture fixture(operated());
    std::string f = fixture.get("/stats");
    for (const char* name :
         {"fulfilled", "throttled", "faulted", "relayed", "open_requests", "out_of_rotation"})
        CHECK(figure(f, name) == 0);
    CHECK(figure(f, "registry_entries") == 2);
    CHECK(f.find(R"({"operations":{"chat":{)") != std::string::npos);
    OpenTunnel tunnel = fixture.open_tunnel();
    OpenTunnel second = fixture.open_tunnel();
    TestConnection waits = fixture.connect_client(fixture.open_line());
    TestConnection asked = fixture.accept_attempt();
    f = fixture.get("/stats");
    CHECK(figure(f, "fulfilled") == 2);
    CHECK(figure(f, "relayed") == 3);
    CHECK(f.find(R"(},"relayed":3,)") != std::string::npos);  // of all classes, beside each class's own
    CHECK(figure(f, "open_requests") == 3);
    asked.send("BUSY\r\n");
    for (int i = 0; i < 2; ++i) fixture.accept_attempt().send("BUSY\r\n");
    CHECK(fixture.run_until([&] { return waits.has_received("BUSY\r\n"); }));
    tunnel.client.shutdown_write();
    CHECK(fixture.run_until([&] { return tunnel.server.is_closed(); }));
    tunnel.server.shutdown_write();
    CHECK(fixture.run_until([&] { return tunnel.client.is_closed(); }));
    TestConnection bad = fixture.connect_client("OPEN 1 k c=nothing,d=2000\r\n");
    CHECK(fixture.run_until([&] { return bad.has_received("ERR\r\n"); }));
    f = fixture.get("/stats");
    CHECK(figure(f, "fulfilled") == 2);
    CHECK(figure(f, "throttled") == 1);
    CHECK(figure(f, "faulted") == 0);
    CHECK(figure(f, "relayed") == 5);
    CHECK(figure(f, "open_requests") == 1);
}

TEST_CASE("an attempt that fails for good counts once, and a client that sends another command is not lost") {
    NodeFixture fixture(operated());
    TestConnection c = fixture.connect_client(fixture.open_line());
    TestConnection h = fixture.accept_attempt();
    c.send("PING\r\n");
    CHECK(fixture.run_until([&] { return c.has_received("ERR\r\n"); }));
    const std::string f = fixture.get("/stats");
    CHECK(figure(f, "faulted") == 1);
    CHECK(figure(f, "open_requests") == 0);
}

TEST_CASE("hundreds of idle or partial admin requests block neither admin connections nor clients") {
    NodeFixture fixture(operated(64));
    std::vector<TestConnection> slow;
    for (int i = 0; i < 300; ++i) {
        slow.push_back(fixture.connect_admin(i % 2 == 0 ? "" : "GET /hea"));
        if (i % 50 == 0) fixture.run_for(1);
    }
    const auto from = std::chrono::steady_clock::now();
    for (int i = 0; i < 5; ++i) CHECK(status_of(fixture.get("/stats")) == 200);
    CHECK(std::chrono::steady_clock::now() - from < std::chrono::seconds(1));
    OpenTunnel tunnel = fixture.open_tunnel();
    CHECK(fixture.run_until(
        [&] {
            return std::all_of(slow.begin(), slow.end(), [](TestConnection& e) { return e.is_closed(); });
        },
        9000));
    TestConnection half = fixture.connect_admin("GET /hea");
    CHECK(fixture.run_until([&] { return half.is_closed(); }, 4000));
    CHECK(status_of(half.received) == 408);
}

TEST_CASE("an admin connection that never stops sending, or never reads, is closed") {
    NodeFixture fixture(operated());
    TestConnection talks = fixture.connect_admin("GET /stats HTTP/1.1\r\n\r\n"),
                   reads_nothing = fixture.connect_admin("GET /stats HTTP/1.1\r\n\r\n");
    CHECK(fixture.run_until([&] {
        for (int i = 0; i < 10; ++i) talks.send(std::string(1000, 'x'));
        return talks.is_closed() && talks.has_received("200 OK");
    }));
    fixture.run_for(800);
    char byte = 0;
    CHECK(::recv(reads_nothing.fd.get(), &byte, 1, MSG_PEEK) ==
          1);  // its answer is there, and the node is done
    CHECK(fixture.node->resource_usage().admin_connections == 0);
}

TEST_CASE(
    "a node full of clients still answers its operators, and tunnels never take the desk's descriptors") {
    NodeFixture fixture(operated(64));
    std::vector<std::pair<TestConnection, TestConnection>> open;
    std::vector<TestConnection> declined;
    for (int i = 0; i < 40; ++i) {
        TestConnection c = fixture.connect_client(fixture.open_line());
        TestConnection h;
        fixture.run_until([&] {
            for (const TestListener* d : {&fixture.server_a, &fixture.server_b})
                if (!h.fd.open()) h = d->accept();
            return (h.fd.open() && h.has_received("\n")) || c.is_closed();
        });
        if (!h.fd.open()) {
            declined.push_back(std::move(c));
            continue;
        }
        h.send("UP r\r\n");
        CHECK(fixture.run_until([&] { return c.has_received("UP r\r\n"); }));
        open.emplace_back(std::move(c), std::move(h));
    }
    CHECK(!declined.empty());
    std::vector<TestConnection> idle;
    idle.reserve(40);
    for (int i = 0; i < 40; ++i) idle.push_back(fixture.connect_client());
    const std::string f = fixture.get("/stats");
    CHECK(figure(f, "open_requests") == static_cast<long>(open.size()));
    CHECK(figure(f, "fulfilled") == static_cast<long>(open.size()));
    CHECK(figure(f, "throttled") == static_cast<long>(declined.size()));
}

TEST_CASE("an admin address that is invalid or in use fails the start and names the key") {
    NodeFixture fixture(operated());
    std::string text = fixture.config_text;
    json::Document file;
    text.replace(text.find(fixture.admin_address), fixture.admin_address.size(), "nowhere");
    REQUIRE(file.parse(text));
    CHECK_THROWS_WITH_AS(config::parse_node_config(file.root()), doctest::Contains("admin_addr"),
                         json::Malformed);
    CHECK_THROWS_WITH_AS(config::parse_node_config(file.root(), {.admin_addr = "x:y"}),
                         doctest::Contains("NODE_ADMIN_ADDR"), json::Malformed);
    // The environment goes before the file.
    CHECK(config::parse_node_config(file.root(), {.admin_addr = "127.0.0.1:7"}).admin ==
          net::parse_address("127.0.0.1:7"));
    TestListener taken;
    text.replace(text.find("nowhere"), 7, taken.host_port());
    text.replace(text.find(fixture.address), fixture.address.size(), TestListener().host_port());
    REQUIRE(file.parse(text));
    CHECK_THROWS_WITH_AS(node::Node(fixture.kernel, config::parse_node_config(file.root()),
                                    file.root().object("known"), fixture.log, {}),
                         doctest::Contains("admin_addr"), json::Malformed);
}

TEST_CASE("without an admin address there is no listener and no descriptor reserved") {
    NodeFixture with(operated()), without;
    CHECK(config::parse_node_config(without.config_document.root()).max_admin_connections == 0);
    CHECK(config::parse_node_config(with.config_document.root()).max_admin_connections > 0);
    CHECK(!without.connect_admin("GET /stats HTTP/1.1\r\n\r\n").has_received("HTTP"));
    CHECK(without.node->resource_usage().descriptors < with.node->resource_usage().descriptors);
}

TEST_CASE("a draining node migrates its clients between lines, keeps running, and accepts clients again") {
    NodeFixture fixture({.mode = "proxy", .admin = true});
    OpenTunnel tunnel = fixture.open_tunnel();
    OpenTunnel second = fixture.open_tunnel();
    second.server.send("half a li");  // its host is in the middle of a line, and then says nothing more
    CHECK(fixture.run_until([&] { return second.client.has_received("half a li"); }));
    TestConnection waits = fixture.connect_client(fixture.open_line());
    TestConnection asked = fixture.accept_attempt();
    CHECK(status_of(fixture.post("/healthcheck/fail")) == 200);
    const auto from = std::chrono::steady_clock::now();
    // Who came before the no is served, and moved when it is open.
    asked.send("UP r\r\n");
    CHECK(fixture.run_until([&] { return waits.has_received("UP r\r\n"); }));
    CHECK(fixture.run_until(
        [&] { return tunnel.client.is_closed() && waits.is_closed() && second.client.is_closed(); }, 4000));
    CHECK(std::chrono::steady_clock::now() - from < std::chrono::milliseconds(3500));
    CHECK(tunnel.client.received == "MOVE\r\n");
    CHECK(waits.received == "UP r\r\nMOVE\r\n");
    CHECK(!tunnel.client.reset);
    CHECK(tunnel.server.is_closed());
    fixture.run_for(1200);
    CHECK(fixture.running);
    CHECK(figure(fixture.get("/stats"), "open_requests") == 0);
    CHECK(status_of(fixture.post("/healthcheck/ok")) == 200);
    OpenTunnel third = fixture.open_tunnel();
    fixture.run_for(1500);
    CHECK(!third.client.is_closed());
}

TEST_CASE("a drain that is undone half way migrates nobody from then on") {
    NodeFixture fixture({.mode = "proxy", .admin = true});
    OpenTunnel tunnel = fixture.open_tunnel();
    fixture.post("/healthcheck/fail");
    fixture.run_for(100);
    fixture.post("/healthcheck/ok");
    fixture.run_for(2000);
    CHECK(!tunnel.client.is_closed());
    tunnel.client.send("still here\r\n");
    CHECK(fixture.run_until([&] { return tunnel.server.has_received("still here\r\n"); }));
}

TEST_CASE("with packet passthrough a draining node keeps open tunnels") {
    NodeFixture fixture({.mode = "pass", .admin = true});
    OpenTunnel tunnel = fixture.open_tunnel();
    fixture.post("/healthcheck/fail");
    fixture.run_for(2500);
    CHECK(!tunnel.client.is_closed());
    tunnel.server.send("on\r\n");
    CHECK(fixture.run_until([&] { return tunnel.client.has_received("on\r\n"); }));
}

TEST_CASE("SIGTERM while draining starts the graceful shutdown") {
    NodeFixture fixture({.mode = "proxy", .admin = true});
    OpenTunnel tunnel = fixture.open_tunnel();
    fixture.post("/healthcheck/fail");
    fixture.run_for(100);
    std::raise(SIGTERM);
    CHECK(fixture.run_until([&] { return tunnel.client.is_closed() && !fixture.running; }, 4000));
    CHECK(tunnel.client.received == "MOVE\r\n");
}
