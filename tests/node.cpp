// Stories of the node on sockets: one for each way in which a connection, a host or discovery fails it.
#include <doctest/doctest.h>
#include <fcntl.h>
#include <sys/resource.h>

#include <csignal>

#include "fake.h"
#include "node/peer_link.h"

using namespace fake;

TEST_CASE("a client's line reaches a host with the wait that is left, and lines pass both ways unchanged") {
    Town town;
    End c = town.client("OPEN 9b1f k c=chat,d=2000,x=7\r\nfirst\r\n");
    End h = town.setup();
    const auto d = h.got.find(",d=");
    REQUIRE(h.got.substr(0, d) == "OPEN 9b1f k c=chat");
    const int wait = std::stoi(h.got.substr(d + 3));
    CHECK((wait > 0 && wait < 2000));
    CHECK(h.got.substr(h.got.find(',', d + 1)) == ",x=7\r\n");
    h.say("UP receipt\r\nLOAD 120\r\n");
    CHECK(town.until([&] { return c.heard("UP receipt\r\nLOAD 120\r\n"); }));
    CHECK(town.until([&] { return h.heard("first\r\n"); }));
    c.say("a\r\nb");
    CHECK(town.until([&] { return h.heard("first\r\na\r\nb"); }));
}

TEST_CASE("a first line may come cut at any byte") {
    Town town;
    for (std::size_t at = 1, size = 99; at < size; ++at) {
        const std::string line = "PING\r\n" + town.line();
        size = line.size();
        End c = town.client(line.substr(0, at));
        town.pass(1);
        c.say(line.substr(at));
        End h = town.setup();
        h.say("UP r\r\n");
        REQUIRE(town.until([&] { return c.heard("UP r\r\n"); }));
        CHECK(c.got == "PONG\r\nUP r\r\n");
    }
}

TEST_CASE("a host that refuses connections has run nothing: the other gets the tunnel") {
    Town town;
    town.a.fd.close();
    for (int i = 0; i < 6; ++i) {
        End c = town.client(town.line());
        End h = town.setup();
        h.say("UP r\r\n");
        CHECK(town.until([&] { return c.heard("UP r\r\n"); }));
    }
}

TEST_CASE("a silent setup is given up and its connection closed before the next goes out") {
    Town town;
    End c = town.client(town.line());
    const Door *first = nullptr, *second = nullptr;
    End h1 = town.setup(&first), h2 = town.setup(&second);
    CHECK(first != second);
    CHECK(town.until([&] { return h1.over(); }, 100));
    h1.say("UP late\r\n");
    h2.say("UP r\r\n");
    CHECK(town.until([&] { return c.heard("UP r\r\n"); }));
    CHECK(c.got == "UP r\r\n");
}

TEST_CASE("a tunnel that no host takes is declined at once, cleanly, though the client has sent more") {
    Town town;
    End c = town.client("OPEN 1 k c=chat,d=2000\r\nmore\r\n");
    for (int i = 0; i < 3; ++i) town.setup().say("BUSY\r\n");
    CHECK(town.until([&] { return c.over(); }));
    CHECK(c.got == "BUSY\r\n");
    CHECK(!c.reset);
}

TEST_CASE("a client that leaves while it waits ends its setup") {
    Town town;
    End c = town.client(town.line());
    End h = town.setup();
    c.fd.close();
    CHECK(town.until([&] { return h.over(); }));
    CHECK(town.opened().first.fd.open());
}

TEST_CASE("an end is passed on as an end behind the last byte, a reset as a reset") {
    Town town;
    auto [c, h] = town.opened();
    h.say("last words\r\nBYE\r\n");
    h.finish();
    CHECK(town.until([&] { return c.over(); }));
    CHECK(c.got == "last words\r\nBYE\r\n");
    CHECK(!c.reset);
    auto [c2, h2] = town.opened();
    h2.cut();
    CHECK(town.until([&] { return c2.over(); }));
    CHECK(c2.reset);
    auto [c3, h3] = town.opened();
    c3.say("bye\r\n");
    c3.finish();
    CHECK(town.until([&] { return h3.over(); }));
    CHECK(h3.got == "bye\r\n");
    CHECK(!h3.reset);
}

TEST_CASE("a side that takes nothing holds the other back, and nothing is lost") {
    Town town;
    auto [c, h] = town.opened();
    const std::string line(1022, 'x');
    std::size_t sent = 0;
    for (int i = 0; i < 20000; ++i) {
        const auto r = net::write_some(h.fd.get(), line + "\r\n");
        sent += r.bytes;
        if (r.bytes < 1024) town.pass(1);
        if (r.bytes < 1024 && sent > 8000000) break;
    }
    CHECK(town.until([&] {
        c.hear();
        return c.got.size() == sent;
    }));
}

TEST_CASE("told to leave, the node takes clients on, moves all between two lines and leaves when empty") {
    Town town({.mode = "proxy", .sockets = 256, .probing = false});
    auto [c, h] = town.opened();
    h.say("half a ");
    CHECK(town.until([&] { return c.heard("half a "); }));
    std::raise(SIGTERM);
    town.pass(300);
    auto [c2, h2] = town.opened();
    CHECK(town.until([&] { return c2.over(); }));
    CHECK(c2.got == "MOVE\r\n");
    CHECK(!c.over());
    h.say("line\r\nand half of the ne");
    CHECK(town.until([&] { return c.over(); }));
    CHECK(c.got == "half a line\r\nMOVE\r\n");
    CHECK(!c.reset);
    c.fd.close(), c2.fd.close(), h.fd.close(), h2.fd.close();
    CHECK(town.until([&] { return !town.runs; }));
}

TEST_CASE("where packets pass, a node told to leave keeps what it carries") {
    Town town;
    auto [c, h] = town.opened();
    std::raise(SIGTERM);
    town.pass(1200);
    CHECK(!c.over());
    h.say("BYE\r\n");
    h.finish();
    CHECK(town.until([&] { return c.over(); }));
    CHECK(c.got == "BYE\r\n");
    c.fd.close();
    CHECK(town.until([&] { return !town.runs; }));
}

TEST_CASE("a host from which no line comes any more is left within seconds") {
    Town town;
    auto [c, h] = town.opened();
    c.say("hello\r\n");
    for (int i = 0; i < 16 && !c.over(); ++i) {
        h.say("LOAD 100\r\n");  // it still tells its load
        town.until([&] { return c.over(); }, 250);
    }
    CHECK(c.over());
    CHECK(c.got.substr(c.got.size() - 6) == "MOVE\r\n");
    CHECK(!c.reset);
}

TEST_CASE("a tunnel whose lines its host no longer answers is moved within 7 s, though others there go on") {
    Town town;
    town.b.fd.close();
    auto [c, h] = town.opened();
    auto [well, host] = town.opened();
    c.say("hello\r\n");
    const auto quiet_for = [&](int ms) {
        for (; ms > 0 && !c.over(); ms -= 500) {
            well.say("line\r\n");
            host.say("line\r\n");
            town.until([&] { return c.over(); }, 500);
        }
        return !c.over();
    };
    CHECK(quiet_for(4000));
    CHECK(!quiet_for(2500));
    CHECK(c.got == "MOVE\r\n");
    CHECK(!well.over());
}

TEST_CASE(
    "a tunnel that falls silent between lines is moved within 7 s of the last, not of the first unanswered") {
    Town town;
    town.b.fd.close();
    auto [c, h] = town.opened();
    auto [well, host] = town.opened();
    const auto begin = std::chrono::steady_clock::now();
    for (int ms = 0; ms < 6800 && !c.over(); ms += 100) {  // the other goes on: the host is not to blame
        if (ms % 2000 == 1900) c.say("hello\r\n");
        if (ms % 2000 == 900) well.say("line\r\n");
        if (ms % 2000 == 1000) host.say("line\r\n");
        town.until([&] { return c.over(); }, 100);
    }
    CHECK(c.got == "MOVE\r\n");
    CHECK(std::chrono::steady_clock::now() - begin > std::chrono::milliseconds(5800));
    CHECK(!well.over());
}

TEST_CASE("past its descriptors the node says BUSY, and takes clients again when some have left") {
    Town town({.mode = "pass", .sockets = 40, .probing = false});
    std::vector<std::pair<End, End>> open;
    End refused;
    for (int i = 0; i < 40 && !refused.heard("BUSY\r\n"); ++i) {
        refused = town.client(town.line());
        End h = town.setup();
        h.say("UP r\r\n");
        town.until([&] { return refused.heard("\r\n"); });
        if (refused.got[0] == 'U') open.emplace_back(std::move(refused), std::move(h));
    }
    CHECK((open.size() >= 5 && open.size() < 20));
    CHECK(refused.got == "BUSY\r\n");
    open.clear();
    town.pass(50);
    CHECK(town.opened().first.fd.open());
}

TEST_CASE("clients that say nothing, or ask once and stay, give way to those that speak, and go within 3 s") {
    Town town({.mode = "pass", .sockets = 40, .probing = false});
    std::vector<End> silent;
    for (int i = 0; i < 60; ++i) {
        silent.push_back(town.client(i % 3 == 0 ? "PING\r\n" : i % 3 == 1 ? "OPEN 7" : ""));
        if (i % 20 == 19) town.pass(30);
    }
    for (int i = 0; i < 3; ++i) {
        auto t = std::chrono::steady_clock::now();
        CHECK(town.opened().first.fd.open());
        CHECK(std::chrono::steady_clock::now() - t < std::chrono::milliseconds(200));
    }
    CHECK(town.until(
        [&] { return std::all_of(silent.begin(), silent.end(), [](End& e) { return e.over(); }); }));
}

TEST_CASE("a client whose line comes in pieces is not taken for a silent one when hundreds of those come") {
    Town town(Town::BalancerConfig{.sockets = 64});
    const std::string line = town.line();
    End slow = town.client();
    std::vector<End> crowd;
    for (std::size_t at = 0; at < line.size(); at += 4) {
        slow.say(line.substr(at, 4));
        town.pass(5);
        for (int i = 0; i < 12; ++i) crowd.push_back(town.client(i % 2 == 0 ? "" : "OPEN half"));
        town.pass(30);
    }
    End h = town.setup();
    h.say("UP r\r\n");
    CHECK(town.until([&] { return slow.heard("UP r\r\n"); }));
    // What all these connections hold is bounded: a buffer or none for each, whatever was written of lines.
    CHECK(town.node->holds().buffers <= 64);
    CHECK(town.node->holds().descriptors <= 64);
}

TEST_CASE("silent clients hold a quarter of the descriptors at most, however many come") {
    Town town({.mode = "pass", .sockets = 200, .probing = false});
    std::vector<End> silent;
    for (int i = 0; i < 150; ++i) {
        silent.push_back(town.client());
        if (i % 10 == 9) town.pass(25);
    }
    town.pass(25);
    CHECK(std::count_if(silent.begin(), silent.end(), [](End& e) { return !e.over(); }) < 65);
    CHECK(!silent.back().over());
}

TEST_CASE("a client that asks whether the node is ready and stays is let go within a second or so") {
    Town town;
    End c = town.client("PING\r\n"), slow = town.client();
    CHECK(town.until([&] { return c.over(); }, 1300));
    CHECK(c.got == "PONG\r\n");
    CHECK(!slow.over());
}

TEST_CASE("a client that sends on after its bad line, or reconnects with it, has its ERR and costs little") {
    Town town({.mode = "pass", .sockets = 256, .probing = false});
    End rude = town.client("frob\r\n");
    const std::string more(1 << 16, 'x');
    std::size_t sent = 0;
    CHECK(town.until([&] {
        const auto r = net::write_some(rude.fd.get(), more);
        sent += r.bytes;
        return rude.heard("ERR\r\n") && rude.ended;
    }));
    CHECK(town.until([&] { return net::write_some(rude.fd.get(), more).error != 0; }, 2000));
    CHECK(sent < (16 << 20));
    std::vector<End> rest;
    for (int i = 0; i < 300; ++i) rest.push_back(town.client("frob\r\n"));
    CHECK(town.opened().first.fd.open());
    CHECK(town.until([&] { return std::all_of(rest.begin(), rest.end(), [](End& e) { return e.over(); }); }));
}

TEST_CASE(
    "commands behind a first line, or the id of another's open tunnel, are neither passed on nor served") {
    Town town;
    const std::string line = town.line();
    End c = town.client(line), h = town.setup();
    h.say("UP r\r\n");
    REQUIRE(town.until([&] { return c.heard("UP r\r\n"); }));
    const auto nothing_at_hosts = [&] { return !town.a.accept().fd.open() && !town.b.accept().fd.open(); };
    End twin = town.client(line), many = town.client(town.line() + town.line());
    End pings = town.client();
    for (int i = 0; i < 100; ++i) pings.say("PING\r\n");
    CHECK(town.until([&] { return twin.over() && many.over() && pings.over(); }));
    CHECK(twin.got == "ERR\r\n");
    CHECK(many.got == "ERR\r\n");
    CHECK(nothing_at_hosts());
    End late = town.client(town.line()), out = town.setup();
    late.say("OPEN 2 k c=chat,d=9\r\n");
    CHECK(town.until([&] { return late.over() && out.over(); }));
    CHECK(late.got == "ERR\r\n");
    CHECK(nothing_at_hosts());
    c.cut();  // an id is spent with its tunnel; only packets that come back mid-flow go on under it
    End again = town.client(line);
    CHECK(town.until([&] { return again.over(); }));
    CHECK(again.got == "ERR\r\n");
    CHECK(nothing_at_hosts());
    End back = town.client(line.substr(0, line.size() - 2) + ",mid=1\r\n");
    End h2 = town.setup();
    h2.say("UP r\r\n");
    CHECK(town.until([&] { return back.heard("UP r\r\n"); }));
    back.cut();  // nor does it matter that the node has yet to hear that they went elsewhere before
    back = town.client(line.substr(0, line.size() - 2) + ",mid=1\r\n");
    town.setup().say("UP r\r\n");
    CHECK(town.until([&] { return back.heard("UP r\r\n"); }));
}

TEST_CASE("with no descriptor left the node neither spins nor ends, and goes on when there are some") {
    Town town;
    End c = town.client();
    rlimit was{};
    ::getrlimit(RLIMIT_NOFILE, &was);
    const int next = ::dup(0);
    ::close(next);
    const rlimit none{static_cast<rlim_t>(next), was.rlim_max};
    ::setrlimit(RLIMIT_NOFILE, &none);
    int turns = 0;
    town.until([&] { return ++turns, false; }, 300);
    ::setrlimit(RLIMIT_NOFILE, &was);
    CHECK(turns < 60);
    c.say(town.line());
    End h = town.setup();
    h.say("UP r\r\n");
    CHECK(town.until([&] { return c.heard("UP r\r\n"); }));
}

TEST_CASE("bad input ends its own connection and nothing else") {
    Town town;
    auto [c, h] = town.opened();
    const std::string endless(9000, 'x');
    for (const std::string& bad :
         {endless, std::string("OPEN\r\n"), std::string("OPEN 1 k c=no,d=5\r\n"),
          std::string("OPEN 1 k c=chat,d=-1\r\n"), std::string("OPEN 1 k c=chat,d=99999999999999999999\r\n"),
          std::string("OPEN 1 k c=chat,d=soon\r\n"), std::string("OPEN 1 k c=chat,d=\r\n"),
          std::string("OPEN  k c=chat,d=5\r\n"), std::string("OPEN k c=chat,d=5\r\n"),
          std::string("OPEN 1 k\x01 c=chat,d=5\r\n"), std::string("\0\xff\r\n", 4)}) {
        End e = town.client(bad);
        CHECK(town.until([&] { return e.over(); }));
        CHECK(e.got.substr(0, 3) != "UP ");
    }
    End cut = town.client("OPEN 1 k c=ch");
    cut.finish();
    CHECK(town.until([&] { return cut.over(); }));
    End c2 = town.client(town.line());
    town.setup().say(endless);  // a host's answer without end is no answer: another host is asked
    End h2 = town.setup();
    h2.say("UP r\r\n");
    CHECK(town.until([&] { return c2.heard("UP r\r\n"); }));
    h2.say(endless);
    CHECK(town.until([&] { return c2.over(); }));
    h.say("still here\r\n");
    CHECK(town.until([&] { return c.heard("still here\r\n"); }));
}

TEST_CASE("a tunnel that stood before the start goes to its host, again until it is up") {
    Town town;
    End c = town.client("OPEN 1 k c=chat,d=2000,at=b\r\n");
    for (int i = 0; i < 2; ++i) {
        End h;
        CHECK(town.until([&] {
            if (!h.fd.open()) h = town.b.accept();
            return h.fd.open() && h.heard("at=b\r\n");
        }));
        h.say(i == 0 ? "BUSY\r\n" : "UP r\r\n");
        if (i == 1) CHECK(town.until([&] { return c.heard("UP r\r\n"); }));
    }
    CHECK(!town.a.accept().fd.open());
}

// Calls that a discovery gets: waits for one that asks for this.
End called(Town& town, const Door& discovery, std::string_view asked) {
    End e;
    CHECK(town.until([&] {
        if (!e.fd.open()) e = discovery.accept();
        return e.fd.open() && e.heard(asked);
    }));
    return e;
}

std::string chunk(const std::string& line) {
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", line.size() + 1);
    return size + line + "\n\r\n";
}

const std::string good_answer = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

TEST_CASE(
    "on SIGHUP a node calls the new discovery at once, whose lists count from the start, and serves on") {
    for (const bool leaving : {false, true}) {
        Town town({.mode = "pass", .sockets = 256, .probing = false});
        auto [c, h] = town.opened();
        for (int i = 0; i < 3; ++i)  // the old one fails again and again: the next call to it would be late
            called(town, town.discovery, "index=4 ").say("HTTP/1.1 503 Busy\r\n\r\n");
        if (leaving) std::raise(SIGTERM);
        const Door old = std::move(town.discovery);
        town.discovery = Door();
        town.text.replace(town.text.find(old.name()), old.name().size(), town.discovery.name());
        std::raise(SIGHUP);
        std::raise(SIGHUP);
        End watch;
        CHECK(town.until(
            [&] {
                if (!watch.fd.open()) watch = town.discovery.accept();
                return watch.fd.open() && watch.heard("index=0 ");
            },
            150));
        watch.say(good_answer +
                  chunk(R"({"revision":0,"complete":true,"members":[)" +
                        Town::member("a", town.a, "terminating") + "," + Town::member("b", town.b) + "]}"));
        town.pass(50);
        for (int i = 0; i < 8; ++i) {
            End c2 = town.client("OPEN 1" + std::to_string(i) + " k c=chat,d=2000\r\n");
            const Door* at = nullptr;
            End h2 = town.setup(&at);
            CHECK(at == &town.b);
            h2.say("UP r\r\n");
            town.until([&] { return c2.heard("UP r\r\n"); });
        }
        std::raise(SIGHUP);  // nothing has changed: the watch stands
        town.pass(50);
        CHECK(!watch.over());
        h.say("still here\r\n");
        CHECK(town.until([&] { return c.heard("still here\r\n"); }));
    }
}

TEST_CASE("a new configuration that is broken or faulty is logged by its key, and the old one stays") {
    std::array<int, 2> p{};
    REQUIRE(::pipe(p.data()) == 0);
    const net::Fd in(p[0]), out(p[1]);
    Town town({.mode = "pass", .sockets = 256, .probing = false, .log = out.get()});
    End watch = called(town, town.discovery, "index=4 ");
    const std::string good = town.text;
    const auto reread = [&](std::string_view part, std::string_view by) {
        town.text = good;
        town.text.replace(town.text.find(part), part.size(), by);
        std::raise(SIGHUP);
        town.pass(30);
        std::array<char, 4096> bytes;
        const ssize_t n = ::read(in.get(), bytes.data(), bytes.size());
        return std::string(bytes.data(), static_cast<std::size_t>(std::max<ssize_t>(n, 0)));
    };
    CHECK(reread(R"("discovery":"127)", R"("discovery":"x127)").find("'discovery'") != std::string::npos);
    CHECK(reread(R"("known":)", R"("known")").find("not JSON") != std::string::npos);
    CHECK(reread(R"("name":"chat")", R"("name":"talk")").find("profiles") != std::string::npos);
    CHECK(reread(R"("listen":"127.0.0.1)", R"("listen":"127.0.0.2)").find("listen") != std::string::npos);
    CHECK(!watch.over());
    CHECK(town.opened().first.fd.open());
}

TEST_CASE("the watch is kept, dead when silent, back after a pause; broken and old lists do no harm") {
    Town town;
    const auto call = [&](std::string_view asked) { return called(town, town.discovery, asked); };
    for (const char* bad :
         {"HTTP/1.1 503 Busy\r\n\r\n", "nonsense\r\n", "HTTP/1.1 200 OK\r\n\r\n{\"revision\"\n"})
        call("GET /api/targets?stream=1&index=4 ").say(bad);
    End watch = call("index=4 ");
    // An old list takes nothing away; a host that drains gets nothing new; an entry that cannot be read is
    // passed over with no other taken for gone.
    watch.say(good_answer + chunk(R"({"revision":3,"complete":true,"members":[]})") +
              chunk(R"({"revision":6,"complete":true,"members":[{"id":7},)" +
                    Town::member("a", town.a, "terminating") + "]}"));
    town.pass(50);
    for (int i = 0; i < 8; ++i) {
        End c = town.client(town.line());
        const Door* at = nullptr;
        End h = town.setup(&at);
        CHECK(at == &town.b);
        h.say("UP r\r\n");
        town.until([&] { return c.heard("UP r\r\n"); });
    }
    CHECK(town.until([&] { return watch.over(); }, 5500));  // no empty line for 5 s
    call("index=6 ");
}

TEST_CASE(
    "a probe goes over a kept connection; one that died unseen is made anew before the host is blamed") {
    Town town({.mode = "pass", .sockets = 256, .probing = true});
    const auto asked = [&](End& e) {
        return town.until([&] {
            if (!e.fd.open()) e = town.a.accept();
            return e.fd.open() && e.heard("STATS\r\n");
        });
    };
    End e;
    CHECK(asked(e));
    e.say("PONG x0=0.5,nonsense=,queue=x\r\n");
    e.got.clear();
    CHECK(asked(e));
    e.cut();
    e = {};
    CHECK(asked(e));
}

TEST_CASE("datagrams count from the listed addresses only, and none longer than the limit") {
    net::Kernel kernel;
    net::EventLoop loop(kernel);
    Door a, b;
    config::NodeConfig launch;
    launch.balancer.limits.gossip_enabled = true;
    launch.balancer.own_node = 0;
    launch.peer_listen = a.at;
    launch.peer_addresses = {a.at, b.at};
    std::vector<std::size_t> sizes;
    metrics::ResourceCounters costs;
    node::PeerLink link(loop, launch, costs, [&](std::uint32_t node, std::span<const std::uint8_t> bytes) {
        CHECK(node == 1);
        sizes.push_back(bytes.size());
    });
    link.open();
    const auto send = [&](const net::Fd& from, std::size_t n) {
        const std::string text(n, 'x');
        ::sendto(from.get(), text.data(), n, 0, reinterpret_cast<const sockaddr*>(&a.at.at), sizeof a.at.at);
    };
    const net::Fd peer = net::bind_datagrams(b.at), stranger = net::bind_datagrams(Door().at);
    send(stranger, 5), send(peer, 300), send(peer, 256), send(peer, 0);
    for (int i = 0; i < 4; ++i) {
        loop.schedule(loop.now() + 100, link, 0);
        loop.run_once([] {});
    }
    CHECK(sizes == std::vector<std::size_t>{256, 0});
}

TEST_CASE("an event of this pass never reaches who took the descriptor's slot in it") {
    net::Kernel kernel;
    net::EventLoop loop(kernel);
    struct Both final : net::EventHandler {
        std::vector<std::uint64_t> called;
        std::vector<net::Socket> sockets;
        net::EventLoop* loop = nullptr;
        net::Fd quiet;
        void on_ready(std::uint64_t token, short) override {
            called.push_back(token);
            sockets[1 - token].close();  // and its slot goes to one that has nothing to read
            sockets[1 - token] = net::Socket(*loop, std::move(quiet), POLLIN, *this, 9);
        }
        void on_timer(std::uint64_t) override {}
    } both;
    both.loop = &loop;
    std::array<int, 2> x{}, y{}, z{};
    REQUIRE(::pipe(x.data()) == 0);
    REQUIRE(::pipe(y.data()) == 0);
    REQUIRE(::pipe(z.data()) == 0);
    const net::Fd wx(x[1]), wy(y[1]), wz(z[1]);
    both.quiet = net::Fd(z[0]);
    both.sockets.emplace_back(loop, net::Fd(x[0]), POLLIN, both, 0);
    both.sockets.emplace_back(loop, net::Fd(y[0]), POLLIN, both, 1);
    CHECK(::write(wx.get(), "x", 1) == 1);
    CHECK(::write(wy.get(), "x", 1) == 1);
    loop.run_once([] {});
    CHECK(both.called == std::vector<std::uint64_t>{0});
}

TEST_CASE("a log that nobody reads holds nothing up; lines are dropped and counted") {
    std::array<int, 2> p{};
    REQUIRE(::pipe(p.data()) == 0);
    const net::Fd in(p[0]), out(p[1]);
    log::Descriptor drain(out.get());
    log::Log log(log::Level::info, drain);
    for (int i = 0; i < 5000; ++i) log.info() << "line " << i << " of many that nobody reads";
    log.debug() << "not at this level";
    std::string all;
    std::array<char, 65536> bytes;
    ::fcntl(in.get(), F_SETFL, O_NONBLOCK);
    for (int quiet = 0; quiet < 2;) {
        const ssize_t n = ::read(in.get(), bytes.data(), bytes.size());
        if (n > 0) all.append(bytes.data(), static_cast<std::size_t>(n));
        quiet = n > 0 ? 0 : quiet + 1;
        log.write_out();
    }
    log.info() << "last";
    const ssize_t n = ::read(in.get(), bytes.data(), bytes.size());
    CHECK(std::string_view(bytes.data(), static_cast<std::size_t>(n)).substr(0, 19) == "log lines dropped: ");
    CHECK(all.find("line 1 of many") != std::string::npos);
    CHECK(all.find("not at this level") == std::string::npos);
}
