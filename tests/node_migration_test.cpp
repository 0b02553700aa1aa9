// Clients that a node asks to migrate: in a graceful shutdown, or since their host does not respond.
#include <doctest/doctest.h>

#include <chrono>
#include <csignal>
#include <string>

#include "node_fixture.h"

using namespace fake;

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
