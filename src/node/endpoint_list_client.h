// Follows discovery's endpoint list: keeps a watch open, passes what it brings to the directory and the
// balancer, and calls again, after a growing pause, when the watch is lost.
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
    // `owns_node`: whether this process is the one of its node that calls discovery.
    EndpointListClient(tunnel::TunnelRegistry& registry, std::function<bool()> owns_node);
    // Opens the watch, unless it is open or being opened.
    void open() { watch_.open(registry_.endpoints.revision()); }
    // The same, where discovery notifies; where it must be polled the balancer asks for each call.
    void open_if_notified();
    void open_if_owner();
    bool is_open() const { return watch_.is_open(); }
    void stop() { watch_.stop(); }
    // After a new configuration: where discovery has moved, the old watch is closed. Returns whether it has.
    bool follow_config();
    // Opens a watch after a reload, at once whatever failures there were; an open one stays.
    void reopen();
    // Tells the balancer what became of the list, without entries.
    void notify_balancer(EndpointListKind kind);

    void on_ready(std::uint64_t, short) override {}
    void on_timer(std::uint64_t) override { open_if_owner(); }

  private:
    bool on_list(const json::Value& list) override;
    void on_unchanged() override;
    void on_still_current() override { registry_.endpoints.confirm_current(registry_.loop.now()); }
    void on_watch_lost() override;

    tunnel::TunnelRegistry& registry_;
    std::function<bool()> owns_node_;
    discovery::Watch watch_;
    backoff::Backoff backoff_;
    std::minstd_rand random_;
};

}  // namespace lemonstair::node
