// The balancer's decisions, kept until the call into the balancer has returned: carried out at once, an
// attempt that fails immediately would call the balancer from within itself.
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

// Carried out later: attempts, final answers, migrations, health checks and list requests. Timers, gossip and
// log lines cannot call back and are carried out at once.
class DeferredActions final : public BalancerDelegate {
  public:
    enum class Kind : std::uint8_t {
        start_attempt,
        reject,
        fail,
        migrate,
        check_health,
        request_endpoint_list
    };
    struct Action {
        Kind kind;
        std::uint32_t endpoint = 0;  // of start_attempt, check_health
        std::uint64_t tunnel = 0;
        Ticks span = 0;  // max_wait of start_attempt, retry_after of reject
    };
    DeferredActions(net::EventLoop& loop, PeerLink& peers, log::Log& log, metrics::ResourceCounters& counters)
        : loop_(loop), peers_(peers), log_(log), counters_(counters) {}
    // Before a balancer is made: timers of the one before it are ignored from now on.
    void retire_balancer() {
        if (!timer_targets_.empty()) timer_targets_.back()->balancer = nullptr;
        timer_targets_.push_back(std::make_unique<TimerTarget>(loop_));
    }
    // Timers that were set since the last retire_balancer() go to this one.
    void set_balancer(Balancer& balancer) { timer_targets_.back()->balancer = &balancer; }
    // Calls carry_out(action) for each in turn, also for those that it adds.
    template <class CarryOut>
    void run_all(CarryOut&& carry_out) {
        for (std::size_t i = 0; i < actions_.size(); ++i) {
            const Action action = actions_[i];
            carry_out(action);
        }
        actions_.clear();
    }

    void start_attempt(std::uint64_t tunnel, std::uint32_t endpoint, Ticks max_wait) override {
        actions_.push_back({Kind::start_attempt, endpoint, tunnel, max_wait});
    }
    void reject(std::uint64_t tunnel, Ticks retry_after) override {
        actions_.push_back({Kind::reject, 0, tunnel, retry_after});
    }
    void fail(std::uint64_t tunnel) override { actions_.push_back({Kind::fail, 0, tunnel}); }
    void report_reason(std::uint64_t tunnel, Reason reason) override {
        counters_.count_reason(reason);
        log_.debug() << "tunnel " << static_cast<std::uint32_t>(tunnel)
                     << " is given up: " << name_of(reason);
    }
    void migrate(std::uint64_t tunnel) override { actions_.push_back({Kind::migrate, 0, tunnel}); }
    void check_health(std::uint32_t endpoint) override { actions_.push_back({Kind::check_health, endpoint}); }
    void request_endpoint_list() override { actions_.push_back({Kind::request_endpoint_list}); }
    void set_timer(Ticks deadline, std::uint64_t label) override {
        loop_.schedule(deadline, *timer_targets_.back(), label);
    }
    void send_gossip(std::uint32_t node, std::span<const std::uint8_t> bytes) override {
        peers_.send_to(node, bytes);
    }
    void broadcast_gossip(std::span<const std::uint8_t> bytes) override { peers_.broadcast(bytes); }
    void log(std::string_view line) override { log_.info() << line; }

  private:
    // Timers cannot be unset: each balancer has a target of its own, which outlives it.
    struct TimerTarget final : net::EventHandler {
        explicit TimerTarget(net::EventLoop& event_loop) : loop(event_loop) {}
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
    metrics::ResourceCounters& counters_;
    std::vector<std::unique_ptr<TimerTarget>> timer_targets_;  // the last one is in use
    std::vector<Action> actions_;
};

}  // namespace lemonstair::node
