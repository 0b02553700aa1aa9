// The parsers of JSON, of the configuration and of the lines and lists that others send. Input that is cut at
// any byte or malformed must be refused, or ignored, and must never be read beyond its end.
#include <doctest/doctest.h>

#include "balancer_fixture.h"
#include "config/node_config.h"
#include "discovery/endpoint_directory.h"
#include "discovery/http_lines.h"
#include "health_check/health_checker.h"
#include "node_fixture.h"
#include "tunnel/request_line.h"

using namespace fake;

TEST_CASE("a JSON text that is cut at any byte is refused, and the complete one yields its fields") {
    const std::string text =
        R"( {"a":[1,-2.5e1,{"b":null}],"t":"x\n\u00e9\ud83d\ude00","yes":true,"o":{"n":12},"e":[]} )";
    json::Document document;
    for (std::size_t size = 0; size + 1 < text.size(); ++size)
        CHECK(!document.parse(std::string_view(text).substr(0, size)));
    REQUIRE(document.parse(text));
    std::vector<double> numbers;
    document.root().for_each("a", [&](const json::Value& value) { numbers.push_back(value.as_number()); });
    REQUIRE(numbers.size() == 3);
    CHECK(numbers[1] == -25);
    CHECK(document.root().text("t") == "x\n\xc3\xa9\xf0\x9f\x98\x80");
    CHECK(document.root().flag("yes"));
    CHECK(document.root().object("o").uint64("n") == 12);
}

TEST_CASE("a text that is not JSON is refused") {
    json::Document document;
    for (const char* invalid :
         {"", "{", "01", "+1", "1.", "1e", "\"\x01\"", "\"\\x\"", "\"\\ud800\"", "\"\\u12g4\"", "[1,]",
          "{\"a\"}", "{\"a\":1,}", "{1:2}", "tru", "nul", "[1 2]", "1 2", "'a'"})
        CHECK_MESSAGE(!document.parse(invalid), invalid);
    CHECK(!document.parse(std::string(100000, '[')));  // nested too deeply
}

TEST_CASE("an error names the field that is missing or has the wrong type, and the value that came") {
    json::Document document;
    REQUIRE(document.parse(R"({"n":"x","big":99999999999})"));
    const auto root = document.root().with_context("here");
    CHECK_THROWS_WITH(root.uint64("m"), "here: field 'm' is missing, expected a non-negative integer");
    CHECK_THROWS_WITH(root.number("n"), "here: field 'n' must be a number, got \"x\"");
    CHECK_THROWS_WITH(root.uint32("big"), "here: field 'big' must be at most 4294967295, got 99999999999");
}

TEST_CASE("an error shows a value as one line of printable ASCII of limited length") {
    // The value is logged. With line ends or terminal codes it could forge other lines, and a line that is
    // longer than the log's buffer would be dropped.
    const std::string digits(1000, '7');
    const std::string text = R"({"empty":"","odd":"a\n\u0000\u001b\u007f\u0085\u00e9\"\\ b","raw":")"
                             "\xff\xc3\x28"
                             R"(","long":")" +
                             std::string(63, 'x') + R"(\u00e9yz","exact":")" + std::string(64, 'x') +
                             R"(","digits":)" + digits + R"(,"list":[1],"object":{},"yes":true})";
    json::Document document;
    REQUIRE(document.parse(text));
    const auto root = document.root().with_context("here");
    const auto expect = [&](const char* name, const std::string& shown) {
        const std::string message = "here: field '" + std::string(name) + "' is wrong" + shown;
        CHECK_THROWS_WITH_AS(root.fail(name, "is wrong"), message.c_str(), json::Malformed);
    };
    expect("empty", R"(, got "")");
    expect("odd", R"(, got "a\x0a\x00\x1b\x7f\xc2\x85\xc3\xa9\"\\ b")");
    expect("raw", R"(, got "\xff\xc3(")");
    expect("long", ", got \"" + std::string(63, 'x') + "\\xc3...\"");
    expect("exact", ", got \"" + std::string(64, 'x') + "\"");
    expect("digits", ", got " + digits.substr(0, 64) + "...");
    expect("yes", ", got true");
    for (const char* without_text : {"list", "object", "missing"}) expect(without_text, "");
}

TEST_CASE("an invalid configuration is refused with the name of the key") {
    NodeFixture fixture;
    const auto refuse = [&](std::string_view part, std::string_view replacement, const char* key) {
        std::string text = fixture.config_text;
        REQUIRE(text.find(part) != std::string::npos);
        text.replace(text.find(part), part.size(), replacement);
        json::Document document;
        REQUIRE(document.parse(text));
        CHECK_THROWS_WITH_AS(config::parse_node_config(document.root()), doctest::Contains(key),
                             json::Malformed);
    };
    refuse(R"("listen":"127)", R"("listen":"x127)", "'listen'");
    refuse(R"("seed":"8c1f")", R"("seed":"8g1f")", "'seed'");
    refuse(R"("sockets":256)", R"("sockets":8)", "'sockets'");
    refuse(R"("me":0)", R"("me":1)", "'me'");
    refuse(R"("effect":"read_like")", R"("effect":"magic")",
           "field 'effect' must be 'read_like' or 'idempotency_key' or 'non_idempotent', got \"magic\"");
    refuse(R"("client_timeout":3,)", "", "'client_timeout'");
    refuse(R"("max_setups":3)", R"("max_setups":0)", "'max_setups'");
    refuse(R"("settings")", R"("sittings")", "'settings'");
    refuse(R"("balancers":1)", R"("balancers":0)", "'balancers'");
    refuse(R"("effect":"read_like")", R"("effect":")" + std::string(100000, '\x7f') + '"', R"(\x7f\x7f...")");
}

TEST_CASE("the error about an invalid seed names the key and does not show the value") {
    // Errors are logged, and whoever knows the seed can predict the node's random choices.
    NodeFixture fixture;
    const std::string valid = R"("seed":"8c1f")";
    const auto message_with = [&](std::string_view replacement) {
        std::string text = fixture.config_text;
        REQUIRE(text.find(valid) != std::string::npos);
        text.replace(text.find(valid), valid.size(), replacement);
        json::Document document;
        REQUIRE(document.parse(text));
        try {
            config::parse_node_config(document.root().with_context("here"));
        } catch (const json::Malformed& error) {
            return std::string(error.what());
        }
        return std::string();
    };
    const std::string invalid = "here: field 'seed' must be a 64-bit number in hex digits";
    for (const char* replacement : {R"("seed":"")", R"("seed":"8c1g")", R"("seed":"8c1f8c1f8c1f8c1f8")"})
        CHECK(message_with(replacement) == invalid);
    for (const char* replacement : {R"("seed":8215)", R"("seed":true)", R"("seed":["8c1f"])"})
        CHECK(message_with(replacement) == "here: field 'seed' must be a string");
    CHECK(message_with(R"("unused":1)") == "here: field 'seed' is missing, expected a string");
}

TEST_CASE("an HTTP response cut at any byte yields the same lines, and one with invalid framing is refused") {
    const std::string text =
        "HTTP/1.1 200 OK\r\nDate: x\r\ntransfer-encoding:  Chunked\r\n\r\n"
        "7;x=y\r\n{\"a\":1}\r\n3\r\n\nhi\r\n4\r\n\r\n\nx\r\n1\r\n\n\r\n0\r\n\r\n";
    const std::vector<std::string> expected{"{\"a\":1}", "hi", "", "x"};
    for (std::size_t cut = 0; cut <= text.size(); ++cut) {
        discovery::HttpLineParser parser;
        std::vector<std::string> lines;
        const auto on_line = [&](std::string_view line) { lines.emplace_back(line); };
        REQUIRE(parser.feed(std::string_view(text).substr(0, cut), on_line));
        CHECK(parser.at_end() == (cut == text.size()));
        REQUIRE(parser.feed(std::string_view(text).substr(cut), on_line));
        CHECK(lines == expected);
        CHECK(parser.at_end());
    }
    const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (const std::string& invalid :
         {std::string("HTTP/1.1 503 No\r\n"), std::string("HTTP/2 200 OK\r\n"), std::string("SSH-2.0\r\n"),
          std::string(9000, 'x'), head + "g\r\n", head + "-1\r\n", head + "1\r\nab\r\n",
          std::string("HTTP/1.1 200 OK\r\nno colon\r\n\r\n"),
          head + "500000\r\n" + std::string(5000000, 'x')}) {
        discovery::HttpLineParser parser;
        CHECK(!parser.feed(invalid, [](std::string_view) {}));
    }
}

TEST_CASE("a request line is parsed and rewritten with another time limit, and may be cut at any byte") {
    const std::vector<std::string> traffic_classes{"chat", "feed"};
    const std::string line = "OPEN 9b1f 7f3a c=feed,d=1500.75,g=5c0f,r=1,mid=1,h=0.02";
    const auto parsed = tunnel::parse_request_line(line, traffic_classes, 100);
    REQUIRE(parsed.has_value());
    const TunnelRequest& request = parsed->request;
    CHECK(request.key == "7f3a");
    CHECK(request.group == "5c0f");
    CHECK(request.traffic_class == 1);
    CHECK(request.mid_flow);
    CHECK(request.expected_load == 0.02);
    CHECK(request.deadline == 100 + 15007);  // a limit is rounded down
    CHECK(parsed->current_endpoint.empty());
    net::BufferPool pool;
    for (std::size_t size = 0; size <= line.size(); ++size) {
        net::Buffer out = pool.acquire();
        static_cast<void>(
            tunnel::parse_request_line(std::string_view(line).substr(0, size), traffic_classes, 100));
        CHECK(tunnel::write_request_line(std::string_view(line).substr(0, size), 7999, out));
    }
    net::Buffer out = pool.acquire();
    CHECK(tunnel::write_request_line(line, 7999, out));
    CHECK(out.view() == "OPEN 9b1f 7f3a c=feed,d=799,g=5c0f,r=1,mid=1,h=0.02\r\n");
}

TEST_CASE("the answer to a health check yields the valid values of the names that are known") {
    LoadReport report;
    CHECK(health_check::decode_pong("PONG queue=2,x0=0.75,what=1,util=", report));
    CHECK(report.queue == 2);
    CHECK(report.load == 0.75);
    CHECK(std::isnan(report.utilization));
    CHECK(health_check::decode_pong("PONG", report));
    CHECK(!health_check::decode_pong("ERR", report));
    CHECK(!health_check::decode_pong("PONGx", report));
    const std::string line = "PONG inflight=7,queue=2,util=0.61";
    for (std::size_t size = 0; size < line.size(); ++size)
        health_check::decode_pong(std::string_view(line).substr(0, size), report);
}

TEST_CASE(
    "a list of changes applies, an outdated or repeated one does not; an unknown phase gets no tunnels") {
    const std::vector<std::string> zones{"z"};
    log::DescriptorSink nowhere(-1);
    log::Log log(log::Level::error, nowhere);
    discovery::EndpointDirectory directory(zones, log);
    BalancerFixture node;
    TestListener a, b;
    const auto apply = [&](int revision, bool complete, const std::string& members, bool cached = false) {
        json::Document document;
        const std::string text = R"({"revision":)" + std::to_string(revision) + R"(,"complete":)" +
                                 (complete ? "true" : "false") + R"(,"members":[)" + members + "]}";
        REQUIRE(document.parse(text));
        return directory.apply(document.root(), *node.balancer,
                               cached ? discovery::ListSource::cache : discovery::ListSource::discovery,
                               node.now);
    };
    // The id of the endpoint at which a new tunnel is attempted; empty: none.
    const auto attempted_at = [&](std::uint64_t tunnel) {
        node.on_request(tunnel);
        return node.attempts.empty() || node.last_attempt().tunnel != tunnel ? ""
               : directory.index_of(node.last_attempt().endpoint) == 0       ? "a"
                                                                             : "b";
    };
    CHECK(apply(4, true, NodeFixture::member("a", a) + "," + NodeFixture::member("b", b), true));
    CHECK(apply(5, false, NodeFixture::member("a", a, "terminating")));
    CHECK(apply(5, false, NodeFixture::member("b", b, "terminated")));  // repeated
    CHECK(apply(2, true, NodeFixture::member("a", a)));
    for (std::uint64_t t = 1; t < 9; ++t) CHECK(attempted_at(t) == std::string("b"));
    CHECK(apply(6, false, NodeFixture::member("a", a) + "," + NodeFixture::member("b", b, "suspended")));
    for (std::uint64_t t = 11; t < 19; ++t) CHECK(attempted_at(t) == std::string("a"));
    json::Document document;
    for (const char* malformed : {"[]", "{}", R"({"revision":9})", R"({"revision":"x","members":[]})"}) {
        REQUIRE(document.parse(malformed));
        CHECK(!directory.apply(document.root(), *node.balancer, discovery::ListSource::discovery, node.now));
    }
    CHECK(directory.revision() == 6);
}
