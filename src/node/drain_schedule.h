// When a node that empties has to be through with what. Everything follows from the platform's protocol and
// the longest client timeout of the settings, here and nowhere else: with deadlines of half a second it is
// killed a second sooner than with those of three. Times are tenths of a ms from the word to leave, or to
// drain.
#pragma once

#include <algorithm>

#include "balance/balance.h"

namespace lemonstair::node {

struct DrainSchedule {
    // SIGKILL comes no sooner than the longest deadline, this at most, and so much after SIGTERM; after a
    // drain a connection that was not moved counts as lost from here on.
    static constexpr Ticks longest_deadline = 30000, after_deadline = 7000, drained_by = 40000;
    // New clients come for 0.4 s at most; they are moved with the rest, spread so that not all come again at
    // once.
    static constexpr Ticks move_from = 5000, longest_move = 10000;
    // For the last answers and moves to reach their clients, and for lines that are stuck half way.
    static constexpr Ticks for_answers = 2500, for_stuck = 1000;
    static constexpr Ticks look_every = 500;

    static DrainSchedule on_term(const BalancerConfig& terms) {
        Ticks longest = 0;
        for (const auto& p : terms.traffic_classes) longest = std::max(longest, p.client_timeout);
        return DrainSchedule(std::min(longest, longest_deadline) + after_deadline);
    }
    static DrainSchedule on_drain() { return DrainSchedule(drained_by); }

    Ticks answer_by, move_until, over_by;

  private:
    explicit DrainSchedule(Ticks ends)
        : answer_by(ends - for_answers),
          move_until(std::clamp(ends - for_answers - for_stuck, move_from, move_from + longest_move)),
          over_by(ends - for_stuck) {}
};

}  // namespace lemonstair::node
