/// Reloads the configuration on SIGHUP. If the file cannot be read or is invalid, the reload is retried for
/// some time, since the file may still be being written. Until it succeeds the old configuration stays in
/// force.
#pragma once

#include <functional>
#include <string>

#include "config/node_config.h"
#include "log/log.h"
#include "net/loop.h"

namespace lemonstair::node {

class ConfigReloader final : public net::EventHandler {
  public:
    /// Throws json::Malformed, whose text names the invalid key.
    using Read = std::function<config::NodeConfig()>;
    /// Called when the new configuration is in force, with the changed keys that take effect only after a
    /// restart.
    using OnReloaded = std::function<void(const std::string& restart_keys)>;
    ConfigReloader(net::EventLoop& loop, config::NodeConfig& config, log::Log& log, Read read,
                   OnReloaded on_reloaded)
        : loop_(loop),
          config_(config),
          log_(log),
          read_(std::move(read)),
          on_reloaded_(std::move(on_reloaded)) {}
    void reload();
    /// For a SIGHUP before there is a balancer: notes the reload, and reload_deferred() performs it.
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
    Ticks retry_at_ = 0;  // 0: no retry is scheduled
    Ticks retry_until_ = 0;
};

}  // namespace lemonstair::node
