// When each step of a graceful drain has to be finished. It all follows from the platform's protocol and the
// longest client timeout of the settings, here and nowhere else: with client deadlines of half a second the
// process is killed sooner than with those of three. Times are tenths of a ms since the drain began.
#pragma once

#include <algorithm>

#include "balance/balance.h"

namespace lemonstair::node {

struct DrainSchedule {
    // SIGKILL follows SIGTERM after the longest client deadline, of which no more than this counts, and a
    // grace.
    static constexpr Ticks max_client_deadline = 30000, kill_grace = 7000;
    // After a drain by operators a connection that was not migrated by then counts as lost.
    static constexpr Ticks drain_limit = 40000;
    // New clients still come for up to 0.4 s; they are migrated with the others, spread over some time so
    // that they do not all reconnect at once.
    static constexpr Ticks migrate_from = 5000, max_migration = 10000;
    // Reserved at the end: for final lines to reach clients, and for lines that are stuck half way.
    static constexpr Ticks reserve_for_answers = 2500, reserve_for_stuck_lines = 1000;
    static constexpr Ticks check_interval = 500;

    static DrainSchedule on_shutdown(const BalancerConfig& settings) {
        Ticks longest = 0;
        for (const TrafficClass& traffic_class : settings.traffic_classes)
            longest = std::max(longest, traffic_class.client_timeout);
        return DrainSchedule(std::min(longest, max_client_deadline) + kill_grace);
    }
    static DrainSchedule on_drain() { return DrainSchedule(drain_limit); }

    Ticks answer_deadline;  // each waiting client has its final answer
    Ticks migrate_until;    // each migration has begun
    Ticks close_deadline;   // each migrated tunnel is closed

  private:
    explicit DrainSchedule(Ticks end)
        : answer_deadline(end - reserve_for_answers),
          migrate_until(std::clamp(end - reserve_for_answers - reserve_for_stuck_lines, migrate_from,
                                   migrate_from + max_migration)),
          close_deadline(end - reserve_for_stuck_lines) {}
};

}  // namespace lemonstair::node
