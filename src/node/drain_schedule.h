/// The deadlines of the steps of a graceful drain, in ticks (0.1 ms) since its start. All of them are derived
/// here, from the shutdown protocol of the platform and the longest client timeout in the settings: the
/// shorter the client timeouts, the sooner the process is killed.
#pragma once

#include <algorithm>

#include "balance/balance.h"

namespace lemonstair::node {

struct DrainSchedule {
    /// SIGKILL follows SIGTERM after the longest client timeout, of which at most max_client_deadline counts,
    /// plus the grace.
    static constexpr Ticks max_client_deadline = 30000, kill_grace = 7000;
    /// In a drain by operators, a connection that is not migrated by then counts as lost.
    static constexpr Ticks drain_limit = 40000;
    /// New clients still arrive for up to 0.4 s. They are migrated with the others, spread over some time so
    /// that they do not all reconnect at once.
    static constexpr Ticks migrate_from = 5000, max_migration = 10000;
    /// Reserved at the end: for final lines to reach the clients, and for tunnels whose current line does not
    /// end.
    static constexpr Ticks reserve_for_answers = 2500, reserve_for_stuck_lines = 1000;
    static constexpr Ticks check_interval = 500;

    static DrainSchedule on_shutdown(const BalancerConfig& settings) {
        Ticks longest = 0;
        for (const TrafficClass& traffic_class : settings.traffic_classes)
            longest = std::max(longest, traffic_class.client_timeout);
        return DrainSchedule(std::min(longest, max_client_deadline) + kill_grace);
    }
    static DrainSchedule on_drain() { return DrainSchedule(drain_limit); }

    Ticks answer_deadline;  // every waiting client has its final answer
    Ticks migrate_until;    // every migration has begun
    Ticks close_deadline;   // every migrated tunnel is closed

  private:
    explicit DrainSchedule(Ticks end)
        : answer_deadline(end - reserve_for_answers),
          migrate_until(std::clamp(end - reserve_for_answers - reserve_for_stuck_lines, migrate_from,
                                   migrate_from + max_migration)),
          close_deadline(end - reserve_for_stuck_lines) {}
};

}  // namespace lemonstair::node
