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

class DeferredActions final : public BalancerDelegate {
  public:
    enum class Kind : std::uint8_t { set_up, decline, close_with_error, move, probe, watch };
    struct Order {
        Kind kind;
        std::uint32_t ep = 0;
        std::uint64_t tun = 0;
        Ticks span = 0;
    };
    DeferredActions(net::EventLoop& loop, PeerLink& peers, log::Log& log, metrics::ResourceCounters& costs)
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

    void start_attempt(std::uint64_t tun, std::uint32_t ep, Ticks max_wait) override {
        waiting_.push_back({Kind::set_up, ep, tun, max_wait});
    }
    void reject(std::uint64_t tun, Ticks come_back_after) override {
        waiting_.push_back({Kind::decline, 0, tun, come_back_after});
    }
    void fail(std::uint64_t tun) override { waiting_.push_back({Kind::close_with_error, 0, tun}); }
    void report_reason(std::uint64_t tun, Reason why) override {
        costs_.count_reason(why);
        log_.debug() << "tunnel " << static_cast<std::uint32_t>(tun) << " is given up: " << name_of(why);
    }
    void migrate(std::uint64_t tun) override { waiting_.push_back({Kind::move, 0, tun}); }
    void check_health(std::uint32_t ep) override { waiting_.push_back({Kind::probe, ep}); }
    void request_endpoint_list() override { waiting_.push_back({Kind::watch}); }
    void set_timer(Ticks at, std::uint64_t label) override { loop_.schedule(at, *minds_.back(), label); }
    void send_gossip(std::uint32_t node, std::span<const std::uint8_t> bytes) override {
        peers_.tell(node, bytes);
    }
    void broadcast_gossip(std::span<const std::uint8_t> bytes) override { peers_.tell_all(bytes); }
    void log(std::string_view line) override { log_.info() << line; }

  private:
    struct Mind final : net::EventHandler {
        explicit Mind(net::EventLoop& with) : loop(with) {}
        void on_ready(std::uint64_t, short) override {}
        void on_timer(std::uint64_t label) override {
            if (balancer == nullptr) return;
            balancer->set_time(loop.now());
            balancer->on_timer(label);
        }
        net::EventLoop& loop;
        Balancer* balancer = nullptr;
    };
    net::EventLoop& loop_;
    PeerLink& peers_;
    log::Log& log_;
    metrics::ResourceCounters& costs_;
    std::vector<std::unique_ptr<Mind>> minds_;  // timers may still name those before the last
    std::vector<Order> waiting_;
};

}  // namespace lemonstair::node
