/// Follows the endpoint list of discovery: keeps a watch open, and passes its updates to the endpoint
/// directory and the balancer. Where discovery pushes its lists, it decides by itself when to call again:
/// after a lost watch with exponential backoff, and beside a call that is not answered. Where discovery must
/// be polled, the balancer requests each call.
#pragma once

#include <functional>
#include <random>

#include "backoff/backoff.h"
#include "balance/balance.h"
#include "discovery/endpoint_directory.h"
#include "discovery/watch.h"
#include "net/loop.h"
#include "tunnel/tunnel_registry.h"

namespace lemonstair::node {

class EndpointListClient final : public net::EventHandler, discovery::WatchListener {
  public:
    /// `follows_list`: returns whether this process, of the two in a hot restart, may call discovery.
    EndpointListClient(tunnel::TunnelRegistry& registry, std::function<bool()> follows_list);
    /// Opens the watch unless it is open or being opened.
    void open();
    /// Opens the watch if discovery sends updates by itself. If it must be polled, the balancer requests each
    /// call.
    void open_if_notified();
    /// Opens the watch if this process may call discovery.
    void open_if_following();
    bool is_open() const { return watch_.is_open(); }
    /// This process has been replaced in a hot restart, and may still place clients that it accepted before.
    /// It goes on following a pushed list. A polled one it leaves to the new process: an answer to either of
    /// them counts as told to the node.
    void on_replaced();
    /// Applies a new configuration: if discovery has moved, closes the old watch and returns true.
    bool follow_config();
    /// After a reload: opens a watch at once, without backoff from earlier failures. An open one stays open.
    void reopen();
    /// Tells the balancer what has happened to the endpoint list, without changing its entries.
    void notify_balancer(EndpointListKind kind);

    void on_ready(std::uint64_t, short) override {}
    void on_timer(std::uint64_t) override;

  private:
    bool must_poll() const { return registry_.config.balancer.must_poll; }
    void set_waits();
    void schedule_call(Ticks at);
    void call_again();
    // The longest wait from a call in this phase to the next one.
    Ticks wait_after(discovery::CallPhase phase) const;
    // When another call is due beside the pending one, of which there is at least one.
    Ticks next_hedge_at() const;
    bool on_list(const json::Value& list) override;
    void on_unchanged() override;
    void on_still_current() override { registry_.endpoints.confirm_current(registry_.loop.now()); }
    void on_watch_lost(discovery::CallPhase phase) override;

    tunnel::TunnelRegistry& registry_;
    std::function<bool()> follows_list_;
    discovery::Watch watch_;
    backoff::PushedListWaits waits_;
    backoff::Backoff backoff_;
    std::minstd_rand random_;
    Ticks last_call_at_ = 0;
    Ticks next_call_at_ = 0;  // 0: no call is scheduled
};

}  // namespace lemonstair::node
