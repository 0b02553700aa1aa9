// The module's Host in the node. What it asks for waits until the call into the module has returned: a setup
// that fails at once would otherwise call the module from within itself.
#pragma once

#include <cstdint>
#include <memory>
#include <string_view>
#include <vector>

#include "balance/balance.h"
#include "log/log.h"
#include "net/loop.h"
#include "node/peer_link.h"

namespace lemonstair::node {

class Orders final : public Host {
  public:
    enum class Kind : std::uint8_t { set_up, decline, close_with_error, move, probe, watch };
    struct Order {
        Kind kind;
        std::uint32_t ep = 0;
        std::uint64_t tun = 0;
        Tenths span = 0;
    };
    Orders(net::Loop& loop, PeerLink& peers, log::Log& log, account::Costs& costs)
        : loop_(loop), peers_(peers), log_(log), costs_(costs) {}
    // Another will decide from now on: what the last one was to be woken for counts no more.
    void expect_another() {
        if (!minds_.empty()) minds_.back()->balancer = nullptr;
        minds_.push_back(std::make_unique<Mind>(loop_));
    }
    void decide_by(Balancer& balancer) { minds_.back()->balancer = &balancer; }
    // Each order in turn, also those that carrying one out brings.
    template <class CarryOut>
    void carry_out(CarryOut&& each) {
        for (std::size_t i = 0; i < waiting_.size(); ++i) {
            const Order order = waiting_[i];
            each(order);
        }
        waiting_.clear();
    }

    void set_up(std::uint64_t tun, std::uint32_t ep, Tenths max_wait) override {
        waiting_.push_back({Kind::set_up, ep, tun, max_wait});
    }
    void decline(std::uint64_t tun, Tenths come_back_after) override {
        waiting_.push_back({Kind::decline, 0, tun, come_back_after});
    }
    void close_with_error(std::uint64_t tun) override {
        waiting_.push_back({Kind::close_with_error, 0, tun});
    }
    void explain(std::uint64_t tun, Reason why) override {
        costs_.explained(why);
        log_.debug() << "tunnel " << static_cast<std::uint32_t>(tun) << " is given up: " << name_of(why);
    }
    void move(std::uint64_t tun) override { waiting_.push_back({Kind::move, 0, tun}); }
    void probe(std::uint32_t ep) override { waiting_.push_back({Kind::probe, ep}); }
    void watch_list() override { waiting_.push_back({Kind::watch}); }
    void wake(Tenths at, std::uint64_t label) override { loop_.at(at, *minds_.back(), label); }
    void tell(std::uint32_t node, std::span<const std::uint8_t> bytes) override { peers_.tell(node, bytes); }
    void tell_all(std::span<const std::uint8_t> bytes) override { peers_.tell_all(bytes); }
    void log(std::string_view line) override { log_.info() << line; }

  private:
    struct Mind final : net::Waiter {
        explicit Mind(net::Loop& with) : loop(with) {}
        void ready(std::uint64_t, short) override {}
        void due(std::uint64_t label) override {
            if (balancer == nullptr) return;
            balancer->at(loop.now());
            balancer->woken(label);
        }
        net::Loop& loop;
        Balancer* balancer = nullptr;
    };
    net::Loop& loop_;
    PeerLink& peers_;
    log::Log& log_;
    account::Costs& costs_;
    std::vector<std::unique_ptr<Mind>> minds_;  // timers may still name those before the last
    std::vector<Order> waiting_;
};

}  // namespace lemonstair::node
