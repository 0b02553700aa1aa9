// The project's own parsers: cut at every byte, and on what they must refuse.
#include <doctest/doctest.h>

#include "balancer_fixture.h"
#include "config/node_config.h"
#include "discovery/endpoint_directory.h"
#include "discovery/http_lines.h"
#include "health_check/health_checker.h"
#include "node_fixture.h"
#include "tunnel/request_line.h"

using namespace fake;

TEST_CASE("a JSON text cut at any byte is refused; the whole one gives its fields") {
    const std::string text =
        R"( {"a":[1,-2.5e1,{"b":null}],"t":"x\n\u00e9\ud83d\ude00","yes":true,"o":{"n":12},"e":[]} )";
    json::Document d;
    for (std::size_t n = 0; n + 1 < text.size(); ++n) CHECK(!d.parse(std::string_view(text).substr(0, n)));
    REQUIRE(d.parse(text));
    std::vector<double> seen;
    d.root().for_each("a", [&](const json::Value& v) { seen.push_back(v.as_number()); });
    REQUIRE(seen.size() == 3);
    CHECK(seen[1] == -25);
    CHECK(d.root().text("t") == "x\n\xc3\xa9\xf0\x9f\x98\x80");
    CHECK(d.root().flag("yes"));
    CHECK(d.root().object("o").uint64("n") == 12);
}

TEST_CASE("what is not JSON is refused") {
    json::Document d;
    for (const char* bad :
         {"", "{", "01", "+1", "1.", "1e", "\"\x01\"", "\"\\x\"", "\"\\ud800\"", "\"\\u12g4\"", "[1,]",
          "{\"a\"}", "{\"a\":1,}", "{1:2}", "tru", "nul", "[1 2]", "1 2", "'a'"})
        CHECK_MESSAGE(!d.parse(bad), bad);
    CHECK(!d.parse(std::string(100000, '[')));
}

TEST_CASE("a field that is missing or mistyped is named") {
    json::Document d;
    REQUIRE(d.parse(R"({"n":"x","big":99999999999})"));
    const auto root = d.root().with_context("here");
    CHECK_THROWS_WITH(root.uint64("m"), "here: field 'm' is missing");
    CHECK_THROWS_WITH(root.number("n"), "here: field 'n' is not a number");
    CHECK_THROWS_WITH(root.uint32("big"), "here: field 'big' is too large");
}

TEST_CASE("an invalid configuration is refused with the name of the key") {
    NodeFixture fixture;
    const auto refuse = [&](std::string_view part, std::string_view by, const char* key) {
        std::string text = fixture.config_text;
        REQUIRE(text.find(part) != std::string::npos);
        text.replace(text.find(part), part.size(), by);
        json::Document d;
        REQUIRE(d.parse(text));
        CHECK_THROWS_WITH_AS(config::parse_node_config(d.root()), doctest::Contains(key), json::Malformed);
    };
    refuse(R"("listen":"127)", R"("listen":"x127)", "'listen'");
    refuse(R"("seed":"8c1f")", R"("seed":"8g1f")", "'seed'");
    refuse(R"("sockets":256)", R"("sockets":8)", "'sockets'");
    refuse(R"("me":0)", R"("me":1)", "'me'");
    refuse(R"("effect":"read_like")", R"("effect":"magic")", "effect 'magic'");
    refuse(R"("client_timeout":3,)", "", "'client_timeout'");
    refuse(R"("max_setups":3)", R"("max_setups":0)", "'max_setups'");
    refuse(R"("settings")", R"("sittings")", "'settings'");
    refuse(R"("balancers":1)", R"("balancers":0)", "'balancers'");
}

TEST_CASE("an HTTP answer cut at any byte gives the same lines; wrong framing is refused") {
    const std::string text =
        "HTTP/1.1 200 OK\r\nDate: x\r\ntransfer-encoding:  Chunked\r\n\r\n"
        "7;x=y\r\n{\"a\":1}\r\n3\r\n\nhi\r\n4\r\n\r\n\nx\r\n1\r\n\n\r\n0\r\n\r\n";
    const std::vector<std::string> wanted{"{\"a\":1}", "hi", "", "x"};
    for (std::size_t cut = 0; cut <= text.size(); ++cut) {
        discovery::HttpLines lines;
        std::vector<std::string> got;
        const auto take = [&](std::string_view l) { got.emplace_back(l); };
        REQUIRE(lines.feed(std::string_view(text).substr(0, cut), take));
        CHECK(lines.at_end() == (cut == text.size()));
        REQUIRE(lines.feed(std::string_view(text).substr(cut), take));
        CHECK(got == wanted);
        CHECK(lines.at_end());
    }
    const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (const std::string& bad :
         {std::string("HTTP/1.1 503 No\r\n"), std::string("HTTP/2 200 OK\r\n"), std::string("SSH-2.0\r\n"),
          std::string(9000, 'x'), head + "g\r\n", head + "-1\r\n", head + "1\r\nab\r\n",
          std::string("HTTP/1.1 200 OK\r\nno colon\r\n\r\n"),
          head + "500000\r\n" + std::string(5000000, 'x')}) {
        discovery::HttpLines lines;
        CHECK(!lines.feed(bad, [](std::string_view) {}));
    }
}

TEST_CASE("a first line is read and written again with another wait; cut at any byte it does no harm") {
    const std::vector<std::string> profiles{"chat", "feed"};
    const std::string line = "OPEN 9b1f 7f3a c=feed,d=1500.75,g=5c0f,r=1,mid=1,h=0.02";
    const auto parsed = tunnel::parse_request_line(line, profiles, 100);
    REQUIRE(parsed.has_value());
    const TunnelRequest& a = parsed->request;
    CHECK(a.key == "7f3a");
    CHECK(a.group == "5c0f");
    CHECK(a.traffic_class == 1);
    CHECK(a.mid_flow);
    CHECK(a.expected_load == 0.02);
    CHECK(a.deadline == 100 + 15007);  // a limit is rounded down
    CHECK(parsed->current_endpoint.empty());
    net::BufferPool pool;
    for (std::size_t n = 0; n <= line.size(); ++n) {
        net::Buffer out = pool.acquire();
        static_cast<void>(tunnel::parse_request_line(std::string_view(line).substr(0, n), profiles, 100));
        CHECK(tunnel::write_request_line(std::string_view(line).substr(0, n), 7999, out));
    }
    net::Buffer out = pool.acquire();
    CHECK(tunnel::write_request_line(line, 7999, out));
    CHECK(out.view() == "OPEN 9b1f 7f3a c=feed,d=799,g=5c0f,r=1,mid=1,h=0.02\r\n");
}

TEST_CASE("the answer to a health check gives the values that it names") {
    LoadReport r;
    CHECK(health_check::decode_pong("PONG queue=2,x0=0.75,what=1,util=", r));
    CHECK(r.queue == 2);
    CHECK(r.load == 0.75);
    CHECK(std::isnan(r.utilization));
    CHECK(health_check::decode_pong("PONG", r));
    CHECK(!health_check::decode_pong("ERR", r));
    CHECK(!health_check::decode_pong("PONGx", r));
    const std::string line = "PONG inflight=7,queue=2,util=0.61";
    for (std::size_t n = 0; n < line.size(); ++n)
        health_check::decode_pong(std::string_view(line).substr(0, n), r);
}

TEST_CASE(
    "lists: changes apply on top, an old or repeated one is passed over, an unknown phase gets nothing") {
    const std::vector<std::string> zones{"z"};
    log::DescriptorSink nowhere(-1);
    log::Log log(log::Level::error, nowhere);
    discovery::EndpointDirectory hosts(zones, log);
    BalancerFixture n;
    TestListener a, b;
    const auto hear = [&](int revision, bool whole, const std::string& members, bool known = false) {
        json::Document d;
        const std::string text = R"({"revision":)" + std::to_string(revision) + R"(,"complete":)" +
                                 (whole ? "true" : "false") + R"(,"members":[)" + members + "]}";
        REQUIRE(d.parse(text));
        return hosts.apply(d.root(), *n.balancer,
                           known ? discovery::ListSource::cache : discovery::ListSource::discovery, n.now);
    };
    const auto goes_to = [&](std::uint64_t tun) {
        n.on_request(tun);
        return n.attempts.empty() || n.last_attempt().tunnel != tun ? ""
               : hosts.index_of(n.last_attempt().endpoint) == 0     ? "a"
                                                                    : "b";
    };
    CHECK(hear(4, true, NodeFixture::member("a", a) + "," + NodeFixture::member("b", b), true));
    CHECK(hear(5, false, NodeFixture::member("a", a, "terminating")));
    CHECK(hear(5, false, NodeFixture::member("b", b, "terminated")));  // heard before
    CHECK(hear(2, true, NodeFixture::member("a", a)));
    for (std::uint64_t t = 1; t < 9; ++t) CHECK(goes_to(t) == std::string("b"));
    CHECK(hear(6, false, NodeFixture::member("a", a) + "," + NodeFixture::member("b", b, "on_holiday")));
    for (std::uint64_t t = 11; t < 19; ++t) CHECK(goes_to(t) == std::string("a"));
    json::Document d;
    for (const char* broken : {"[]", "{}", R"({"revision":9})", R"({"revision":"x","members":[]})"}) {
        REQUIRE(d.parse(broken));
        CHECK(!hosts.apply(d.root(), *n.balancer, discovery::ListSource::discovery, n.now));
    }
    CHECK(hosts.revision() == 6);
}
