/// Graceful drain: migrates clients, spread over the available time, and reports when the process may exit.
#pragma once

#include <cstdint>
#include <functional>

#include "net/loop.h"
#include "node/drain_schedule.h"
#include "tunnel/stages.h"

namespace lemonstair::node {

/// drained: operators have requested it; the node keeps running and still serves new clients.
/// shutdown: the node exits as soon as it is empty.
enum class DrainMode : std::uint8_t { none, drained, shutdown };

class DrainController final : public net::EventHandler {
  public:
    /// `is_handed_over`: returns whether another process has replaced this one and is taking its tunnels
    /// over.
    /// `on_finished`: called in shutdown when the process may exit.
    DrainController(tunnel::TunnelStages& stages, std::function<bool()> is_handed_over,
                    std::function<void()> on_finished)
        : stages_(stages), is_handed_over_(std::move(is_handed_over)), on_finished_(std::move(on_finished)) {}
    /// Starts or ends a drain, and sets the registry's deadlines.
    void set_mode(DrainMode mode);
    void on_ready(std::uint64_t, short) override {}
    void on_timer(std::uint64_t token) override;

  private:
    void schedule_check(Ticks when);
    bool is_empty(bool handed_over) const;
    bool may_exit();
    void migrate_some();

    tunnel::TunnelStages& stages_;
    std::function<bool()> is_handed_over_;
    std::function<void()> on_finished_;
    DrainMode mode_ = DrainMode::none;
    DrainSchedule schedule_ = DrainSchedule::on_drain();
    Ticks started_ = 0;
    Ticks next_check_ = 0;
};

}  // namespace lemonstair::node
