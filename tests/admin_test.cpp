// Stories of those who operate a node: their calls whole, in pieces, wrong and by thousands; the figures;
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

Town::BalancerConfig operated(int sockets = 256) { return {.sockets = sockets, .operators = true}; }

// A figure behind its name in an answer; -1: there is none.
long figure(const std::string& answer, const std::string& name) {
    const auto at = answer.find("\"" + name + "\":");
    return at == std::string::npos ? -1 : std::stol(answer.substr(at + name.size() + 3));
}

}  // namespace

TEST_CASE("a call is the same whatever byte it is cut at") {
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

TEST_CASE("what is no call of the table is told so, with its length and the end of the connection") {
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

TEST_CASE("a call that goes wrong at any byte keeps little, however much follows") {
    http::Request request;
    request.feed("GET /stats HTTP/1.1\r\n");
    for (int i = 0; i < 10000; ++i) request.feed("xxxxxxxxxxxxxxxx");
    CHECK(request.error() == http::RequestError::header_too_large);
    CHECK(!request.is_complete());
}

TEST_CASE("a drained node says no at once and yes again; to say it twice is harmless") {
    Town town(operated());
    CHECK(status_of(town.get("/healthcheck")) == 200);
    for (int i = 0; i < 2; ++i) CHECK(status_of(town.post("/healthcheck/fail")) == 200);
    CHECK(status_of(town.get("/healthcheck")) == 503);
    End front = town.client("PING\r\n");
    CHECK(town.until([&] { return front.heard("\r\n"); }));
    CHECK(front.got != "PONG\r\n");
    for (int i = 0; i < 2; ++i) CHECK(status_of(town.post("/healthcheck/ok")) == 200);
    CHECK(status_of(town.get("/healthcheck")) == 200);
    front = town.client("PING\r\n");
    CHECK(town.until([&] { return front.heard("PONG\r\n"); }));
}

TEST_CASE("a node that leaves is not ready and cannot be told to take clients again") {
    Town town(operated());
    OpenTunnel tunnel = town.opened();
    std::raise(SIGTERM);
    town.pass(20);
    CHECK(status_of(town.get("/healthcheck")) == 503);
    CHECK(status_of(town.post("/healthcheck/ok")) == 503);
    CHECK(status_of(town.post("/healthcheck/fail")) == 200);
    CHECK(town.get("/healthcheck").find("leaving") != std::string::npos);
}

TEST_CASE("the figures are what clients and hosts saw, zeros among them") {
    Town town(operated());
    std::string f = town.get("/stats");
    for (const char* name :
         {"fulfilled", "throttled", "faulted", "relayed", "open_requests", "out_of_rotation"})
        CHECK(figure(f, name) == 0);
    CHECK(figure(f, "registry_entries") == 2);
    CHECK(f.find(R"({"operations":{"chat":{)") != std::string::npos);
    OpenTunnel tunnel = town.opened();
    OpenTunnel second = town.opened();
    End waits = town.client(town.line());
    End asked = town.setup();
    f = town.get("/stats");
    CHECK(figure(f, "fulfilled") == 2);
    CHECK(figure(f, "relayed") == 3);
    CHECK(f.find(R"(},"relayed":3,)") != std::string::npos);  // of all classes, beside each class's own
    CHECK(figure(f, "open_requests") == 3);
    asked.say("BUSY\r\n");
    for (int i = 0; i < 2; ++i) town.setup().say("BUSY\r\n");
    CHECK(town.until([&] { return waits.heard("BUSY\r\n"); }));
    tunnel.client.finish();
    CHECK(town.until([&] { return tunnel.host.over(); }));
    tunnel.host.finish();
    CHECK(town.until([&] { return tunnel.client.over(); }));
    End bad = town.client("OPEN 1 k c=nothing,d=2000\r\n");
    CHECK(town.until([&] { return bad.heard("ERR\r\n"); }));
    f = town.get("/stats");
    CHECK(figure(f, "fulfilled") == 2);
    CHECK(figure(f, "throttled") == 1);
    CHECK(figure(f, "faulted") == 0);
    CHECK(figure(f, "relayed") == 5);
    CHECK(figure(f, "open_requests") == 1);
}

TEST_CASE("a setup that fails for good counts once, and a client that sends another command is not lost") {
    Town town(operated());
    End c = town.client(town.line());
    End h = town.setup();
    c.say("PING\r\n");
    CHECK(town.until([&] { return c.heard("ERR\r\n"); }));
    const std::string f = town.get("/stats");
    CHECK(figure(f, "faulted") == 1);
    CHECK(figure(f, "open_requests") == 0);
}

TEST_CASE("callers that say nothing or half a call, by hundreds, keep neither callers nor clients out") {
    Town town(operated(64));
    std::vector<End> slow;
    for (int i = 0; i < 300; ++i) {
        slow.push_back(town.caller(i % 2 == 0 ? "" : "GET /hea"));
        if (i % 50 == 0) town.pass(1);
    }
    const auto from = std::chrono::steady_clock::now();
    for (int i = 0; i < 5; ++i) CHECK(status_of(town.get("/stats")) == 200);
    CHECK(std::chrono::steady_clock::now() - from < std::chrono::seconds(1));
    OpenTunnel tunnel = town.opened();
    CHECK(town.until([&] { return std::all_of(slow.begin(), slow.end(), [](End& e) { return e.over(); }); },
                     9000));
    End half = town.caller("GET /hea");
    CHECK(town.until([&] { return half.over(); }, 4000));
    CHECK(status_of(half.got) == 408);
}

TEST_CASE("a caller that sends on for ever, or reads nothing, is let go") {
    Town town(operated());
    End talks = town.caller("GET /stats HTTP/1.1\r\n\r\n"),
        reads_nothing = town.caller("GET /stats HTTP/1.1\r\n\r\n");
    CHECK(town.until([&] {
        for (int i = 0; i < 10; ++i) talks.say(std::string(1000, 'x'));
        return talks.over() && talks.heard("200 OK");
    }));
    town.pass(800);
    char byte = 0;
    CHECK(::recv(reads_nothing.fd.get(), &byte, 1, MSG_PEEK) ==
          1);  // its answer is there, and the node is done
    CHECK(town.node->holds().callers == 0);
}

TEST_CASE(
    "a node full of clients still answers its operators, and tunnels never take the desk's descriptors") {
    Town town(operated(64));
    std::vector<std::pair<End, End>> open;
    std::vector<End> declined;
    for (int i = 0; i < 40; ++i) {
        End c = town.client(town.line());
        End h;
        town.until([&] {
            for (const Door* d : {&town.a, &town.b})
                if (!h.fd.open()) h = d->accept();
            return (h.fd.open() && h.heard("\n")) || c.over();
        });
        if (!h.fd.open()) {
            declined.push_back(std::move(c));
            continue;
        }
        h.say("UP r\r\n");
        CHECK(town.until([&] { return c.heard("UP r\r\n"); }));
        open.emplace_back(std::move(c), std::move(h));
    }
    CHECK(!declined.empty());
    std::vector<End> idle;
    idle.reserve(40);
    for (int i = 0; i < 40; ++i) idle.push_back(town.client());
    const std::string f = town.get("/stats");
    CHECK(figure(f, "open_requests") == static_cast<long>(open.size()));
    CHECK(figure(f, "fulfilled") == static_cast<long>(open.size()));
    CHECK(figure(f, "throttled") == static_cast<long>(declined.size()));
}

TEST_CASE("an address for operators that is faulty or taken ends the start and names the key") {
    Town town(operated());
    std::string text = town.text;
    json::Document file;
    text.replace(text.find(town.desk), town.desk.size(), "nowhere");
    REQUIRE(file.parse(text));
    CHECK_THROWS_WITH_AS(config::parse_node_config(file.root()), doctest::Contains("admin_addr"),
                         json::Malformed);
    CHECK_THROWS_WITH_AS(config::parse_node_config(file.root(), {.admin_addr = "x:y"}),
                         doctest::Contains("NODE_ADMIN_ADDR"), json::Malformed);
    // The environment goes before the file.
    CHECK(config::parse_node_config(file.root(), {.admin_addr = "127.0.0.1:7"}).admin ==
          net::parse_address("127.0.0.1:7"));
    Door taken;
    text.replace(text.find("nowhere"), 7, taken.name());
    text.replace(text.find(town.name), town.name.size(), Door().name());
    REQUIRE(file.parse(text));
    CHECK_THROWS_WITH_AS(node::Node(town.kernel, config::parse_node_config(file.root()),
                                    file.root().inner("known"), town.log, {}),
                         doctest::Contains("admin_addr"), json::Malformed);
}

TEST_CASE("without an address for operators there is no listener and nothing is set aside") {
    Town with(operated()), without;
    CHECK(config::parse_node_config(without.file.root()).max_admin_connections == 0);
    CHECK(config::parse_node_config(with.file.root()).max_admin_connections > 0);
    CHECK(!without.caller("GET /stats HTTP/1.1\r\n\r\n").heard("HTTP"));
    CHECK(without.node->holds().descriptors < with.node->holds().descriptors);
}

TEST_CASE("a drained node moves its clients between two lines, stays, and takes clients again") {
    Town town({.mode = "proxy", .operators = true});
    OpenTunnel tunnel = town.opened();
    OpenTunnel second = town.opened();
    second.host.say("half a li");  // its host is in the middle of a line, and then says nothing more
    CHECK(town.until([&] { return second.client.heard("half a li"); }));
    End waits = town.client(town.line());
    End asked = town.setup();
    CHECK(status_of(town.post("/healthcheck/fail")) == 200);
    const auto from = std::chrono::steady_clock::now();
    // Who came before the no is served, and moved when it is open.
    asked.say("UP r\r\n");
    CHECK(town.until([&] { return waits.heard("UP r\r\n"); }));
    CHECK(town.until([&] { return tunnel.client.over() && waits.over() && second.client.over(); }, 4000));
    CHECK(std::chrono::steady_clock::now() - from < std::chrono::milliseconds(3500));
    CHECK(tunnel.client.got == "MOVE\r\n");
    CHECK(waits.got == "UP r\r\nMOVE\r\n");
    CHECK(!tunnel.client.reset);
    CHECK(tunnel.host.over());
    town.pass(1200);
    CHECK(town.runs);
    CHECK(figure(town.get("/stats"), "open_requests") == 0);
    CHECK(status_of(town.post("/healthcheck/ok")) == 200);
    OpenTunnel third = town.opened();
    town.pass(1500);
    CHECK(!third.client.over());
}

TEST_CASE("a drain that is taken back half way moves nobody from then on") {
    Town town({.mode = "proxy", .operators = true});
    OpenTunnel tunnel = town.opened();
    town.post("/healthcheck/fail");
    town.pass(100);
    town.post("/healthcheck/ok");
    town.pass(2000);
    CHECK(!tunnel.client.over());
    tunnel.client.say("still here\r\n");
    CHECK(town.until([&] { return tunnel.host.heard("still here\r\n"); }));
}

TEST_CASE("where packets pass a drained node keeps what it carries") {
    Town town({.mode = "pass", .operators = true});
    OpenTunnel tunnel = town.opened();
    town.post("/healthcheck/fail");
    town.pass(2500);
    CHECK(!tunnel.client.over());
    tunnel.host.say("on\r\n");
    CHECK(town.until([&] { return tunnel.client.heard("on\r\n"); }));
}

TEST_CASE("SIGTERM while drained makes it leave") {
    Town town({.mode = "proxy", .operators = true});
    OpenTunnel tunnel = town.opened();
    town.post("/healthcheck/fail");
    town.pass(100);
    std::raise(SIGTERM);
    CHECK(town.until([&] { return tunnel.client.over() && !town.runs; }, 4000));
    CHECK(tunnel.client.got == "MOVE\r\n");
}
