/// Reloads the configuration on SIGHUP. If the file is invalid, the reload is retried for some time, since
/// the file may still be being written. If the system cannot read it for lack of a resource, such as a free
/// descriptor, the reload is retried until it can. Until it succeeds the old configuration stays in force.
#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "config/node_config.h"
#include "log/log.h"
#include "net/loop.h"

namespace lemonstair::node {

class ConfigReloader final : public net::EventHandler {
  public:
    /// Throws json::Malformed, whose text names the invalid key, or config::TransientReadError.
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
    // unreadable: for a lack of resources, which says nothing about the file.
    enum class Result : std::uint8_t { reloaded, invalid, unreadable };
    void attempt_reload(Attempt attempt);
    Result try_reload(Attempt attempt);
    void log_failure(Attempt attempt, const json::Malformed& error);
    void schedule_retry(Result last);

    net::EventLoop& loop_;
    config::NodeConfig& config_;
    log::Log& log_;
    Read read_;
    OnReloaded on_reloaded_;
    bool deferred_ = false;
    Ticks retry_at_ = 0;     // 0: no retry is scheduled
    Ticks retry_until_ = 0;  // of an invalid file
};

}  // namespace lemonstair::node
