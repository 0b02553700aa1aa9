// The node: its parts, and its phases from start to exit.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string_view>

#include "admin/admin_server.h"
#include "backoff/backoff.h"
#include "balance/balance.h"
#include "config/node_config.h"
#include "discovery/endpoint_directory.h"
#include "discovery/watch.h"
#include "health_check/health_checker.h"
#include "hot_restart/session.h"
#include "log/log.h"
#include "metrics/resource_counters.h"
#include "net/loop.h"
#include "node/deferred_actions.h"
#include "node/drain_schedule.h"
#include "node/peer_link.h"
#include "tunnel/stages.h"

namespace lemonstair::node {

class Node final : discovery::WatchListener,
                   health_check::Listener,
                   admin::AdminHandler,
                   hot_restart::Delegate,
                   net::EventHandler {
  public:
    // Reads anew what the node is told; throws json::Malformed, which names the faulty key.
    using Reread = std::function<config::NodeConfig()>;
    // What makes the decisions; a tool may put another policy or a watched one in the module's place.
    using Decider = std::function<std::unique_ptr<Balancer>(BalancerConfig, BalancerDelegate&, Ticks now)>;
    Node(net::System& system, config::NodeConfig launch, const json::Value& known, log::Log& log,
         Reread reread, Decider decider = Balancer::start);
    // Until the node has left.
    void run();
    // One pass of the loop; false once the node has left.
    bool turn();

    // What it holds; nothing but timers that come again when it is empty.
    struct Holds {
        std::size_t tunnels, buffers, timers, callers, descriptors;
    };
    const metrics::ResourceCounters& costs() const { return costs_; }
    Holds holds() const {
        return {stages_.floor.in_hand, stages_.floor.pool.out(), loop_.timers(), desk_.open_connections(),
                loop_.descriptors()};
    }

  private:
    // Drained: operators sent its clients away, and it takes them again when they say so.
    enum class Phase : std::uint8_t { starting, serving, drained, leaving, left };
    void go(Phase to);
    void think(std::string_view list);
    void speak();
    void open_peers();
    void fall_silent();
    void carry_out(const DeferredActions::Order& order);
    void look_over();
    void tell_costs();                      // what was added since the last line
    void tell_list(EndpointListKind kind);  // without entries
    void floor_empties();
    void empty_out();
    bool may_leave();
    void move_all();
    void renew();
    void renew_later();
    bool read_again(bool first_try);
    void take_renewed(const std::string& kept);
    void leave();

    bool on_list(const json::Value& list) override;
    void on_unchanged() override;
    void on_still_current() override { hosts_.confirm_current(loop_.now()); }
    void on_watch_lost() override;
    void on_health_check(std::uint32_t ep, Outcome ending, Ticks took, const LoadReport& report) override;
    bool ready() const override {
        return phase_ == Phase::serving && hot_restart::is_active(succession_.role());
    }
    std::string_view phase() const override;
    std::string metrics_page() const override;
    bool drain() override;
    bool resume() override;
    void export_state(std::string& list, std::string& memory) override;
    void begin(std::string_view list, std::string_view memory) override;
    void on_role_changed(hot_restart::Role from, hot_restart::Role to) override;
    net::Ticks clock_base() override { return loop_.system().clock_base(); }
    void on_peer_clock_base(net::Ticks base) override { stages_.carry.set_clock_shift(clock_base() - base); }
    bool next_tunnel(hot_restart::TransferredTunnel& into) override;
    void on_transfer_result(std::uint64_t number, bool taken) override;
    bool receive_tunnel(std::string_view bytes, net::Fd client, net::Fd host) override;
    bool has_tunnels() const override { return stages_.floor.in_hand > 0; }
    std::size_t descriptors_held() const override {
        return loop_.in_use() + tunnel::TunnelRegistry::outside_loop;
    }
    std::size_t descriptor_limit() const override { return launch_.max_descriptors; }
    void on_peer_descriptors(std::size_t descriptors) override { stages_.floor.elsewhere = descriptors; }
    void on_ready(std::uint64_t token, short events) override;
    void on_timer(std::uint64_t token) override;

    // What a new process needs to begin, and what either may take between two words about what it holds.
    // Guards against both together holding more than is granted.
    static constexpr std::size_t for_a_new_one = 16, for_the_other = 8;
    config::NodeConfig launch_;
    json::Value known_;
    log::Log& log_;
    Reread reread_;
    net::EventLoop loop_;
    metrics::ResourceCounters costs_, costs_told_;
    discovery::EndpointDirectory hosts_;
    tunnel::TunnelStages stages_;
    PeerLink peers_;
    DeferredActions orders_;
    discovery::Watch watch_;
    health_check::HealthChecker prober_;
    admin::AdminServer desk_;
    hot_restart::Session succession_;
    Decider decider_;
    std::unique_ptr<Balancer> balancer_;
    std::minstd_rand rng_;
    net::Socket signals_;
    Phase phase_ = Phase::starting;
    DrainSchedule departure_ = DrainSchedule::on_drain();
    Ticks emptying_since_ = 0, empty_at_ = 0;  // drained or leaving; when it is looked after next
    backoff::Backoff backoff_;                 // of the watch, where it comes back by itself
    bool renew_at_begin_ = false;
    Ticks renew_at_ = 0, renew_until_ = 0;  // the next try of a new configuration, and the last
};

}  // namespace lemonstair::node
