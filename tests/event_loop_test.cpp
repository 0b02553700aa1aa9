// The event loop on real descriptors. A handler may close another descriptor whose event is pending in the
// same pass; the event must not reach the handler that then takes over the slot.
#include <doctest/doctest.h>

#include <array>
#include <vector>

#include "node_fixture.h"

using namespace fake;

TEST_CASE("an event never reaches a handler that took the slot of a closed descriptor in the same pass") {
    net::Kernel kernel;
    net::EventLoop loop(kernel);
    // Closes the other socket when called and registers `idle` in its slot.
    struct SlotReuser final : net::EventHandler {
        std::vector<std::uint64_t> called_tokens;
        std::vector<net::Socket> sockets;
        net::EventLoop* loop = nullptr;
        net::Fd idle;  // never readable
        void on_ready(std::uint64_t token, short) override {
            called_tokens.push_back(token);
            sockets[1 - token].close();  // frees the slot for the next socket
            sockets[1 - token] = net::Socket(*loop, std::move(idle), POLLIN, *this, 9);
        }
        void on_timer(std::uint64_t) override {}
    } handler;
    handler.loop = &loop;
    std::array<int, 2> first{}, second{}, third{};
    REQUIRE(::pipe(first.data()) == 0);
    REQUIRE(::pipe(second.data()) == 0);
    REQUIRE(::pipe(third.data()) == 0);
    const net::Fd first_writer(first[1]), second_writer(second[1]), third_writer(third[1]);
    handler.idle = net::Fd(third[0]);
    handler.sockets.emplace_back(loop, net::Fd(first[0]), POLLIN, handler, 0);
    handler.sockets.emplace_back(loop, net::Fd(second[0]), POLLIN, handler, 1);
    CHECK(::write(first_writer.get(), "x", 1) == 1);
    CHECK(::write(second_writer.get(), "x", 1) == 1);
    loop.run_once([] {});
    CHECK(handler.called_tokens == std::vector<std::uint64_t>{0});
}
