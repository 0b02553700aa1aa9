// Reads the configuration again on SIGHUP. A file that cannot be read, or is faulty, is tried again for a
// while: it may be half written. Until one can be taken the old configuration stays in force.
#pragma once

#include <functional>
#include <string>

#include "config/node_config.h"
#include "log/log.h"
#include "net/loop.h"

namespace lemonstair::node {

class ConfigReloader final : public net::EventHandler {
  public:
    // Throws json::Malformed, which names the faulty key.
    using Read = std::function<config::NodeConfig()>;
    // Is called once the new configuration is in force; with the keys that changed and need a restart.
    using OnReloaded = std::function<void(const std::string& unchanged_keys)>;
    ConfigReloader(net::EventLoop& loop, config::NodeConfig& config, log::Log& log, Read read,
                   OnReloaded on_reloaded)
        : loop_(loop),
          config_(config),
          log_(log),
          read_(std::move(read)),
          on_reloaded_(std::move(on_reloaded)) {}
    void reload();
    // For a SIGHUP that comes before there is a balancer: reload_deferred() answers it.
    void defer() { deferred_ = true; }
    void reload_deferred();
    void on_ready(std::uint64_t, short) override {}
    void on_timer(std::uint64_t token) override;

  private:
    enum class Attempt : std::uint8_t { first, retry };
    bool try_reload(Attempt attempt);
    void schedule_retry();

    net::EventLoop& loop_;
    config::NodeConfig& config_;
    log::Log& log_;
    Read read_;
    OnReloaded on_reloaded_;
    bool deferred_ = false;
    Ticks retry_at_ = 0;  // 0: no retry is due
    Ticks retry_until_ = 0;
};

}  // namespace lemonstair::node
