/// Keeps the balancer's decisions until the call into the balancer has returned. If they were executed at
/// once, an attempt that fails immediately would call the balancer from within its own call.
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

/// Attempts, final answers, migrations, health checks and list requests are deferred. Timers, gossip and log
/// lines cannot call back into the balancer and are executed at once.
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
        std::uint32_t endpoint = 0;  // its number; of start_attempt and check_health
        std::uint64_t tunnel = 0;
        Ticks span = 0;  // max_wait of start_attempt; retry_after of reject
    };
    DeferredActions(net::EventLoop& loop, PeerLink& peers, log::Log& log, metrics::ResourceCounters& counters)
        : loop_(loop), peers_(peers), log_(log), counters_(counters) {}
    /// To be called before a balancer is created: from now on the timers of the previous one are ignored.
    void retire_balancer() {
        if (!timer_targets_.empty()) timer_targets_.back()->balancer = nullptr;
        timer_targets_.push_back(std::make_unique<TimerTarget>(loop_));
    }
    /// The balancer that receives the timers set since the last retire_balancer().
    void set_balancer(Balancer& balancer) { timer_targets_.back()->balancer = &balancer; }
    /// Calls execute(action) for each action in order, including those that are added meanwhile.
    template <class Execute>
    void run_all(Execute&& execute) {
        for (std::size_t i = 0; i < actions_.size(); ++i) {
            const Action action = actions_[i];
            execute(action);
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
                     << " will not be opened: " << name_of(reason);
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
    // Timers cannot be cancelled, so each balancer has its own target, which outlives it.
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
    std::vector<std::unique_ptr<TimerTarget>> timer_targets_;  // the last one belongs to the current balancer
    std::vector<Action> actions_;
};

}  // namespace lemonstair::node
