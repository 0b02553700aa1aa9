// When a node that empties has to be through with what. Everything follows from the platform's protocol and
// the longest client timeout of the settings, here and nowhere else: with deadlines of half a second it is
// killed a second sooner than with those of three. Times are tenths of a ms from the word to leave, or to
// drain.
#pragma once

#include <algorithm>

#include "balance/balance.h"

namespace lemonstair::node {

struct Departure {
    // SIGKILL comes no sooner than the longest deadline, this at most, and so much after SIGTERM; after a
    // drain a connection that was not moved counts as lost from here on.
    static constexpr Tenths longest_deadline = 30000, after_deadline = 7000, drained_by = 40000;
    // New clients come for 0.4 s at most; they are moved with the rest, spread so that not all come again at
    // once.
    static constexpr Tenths move_from = 5000, longest_move = 10000;
    // For the last answers and moves to reach their clients, and for lines that are stuck half way.
    static constexpr Tenths for_answers = 2500, for_stuck = 1000;
    static constexpr Tenths look_every = 500;

    static Departure on_term(const Terms& terms) {
        Tenths longest = 0;
        for (const auto& p : terms.profiles) longest = std::max(longest, p.client_timeout);
        return Departure(std::min(longest, longest_deadline) + after_deadline);
    }
    static Departure on_drain() { return Departure(drained_by); }

    Tenths answer_by, move_until, over_by;

  private:
    explicit Departure(Tenths ends)
        : answer_by(ends - for_answers),
          move_until(std::clamp(ends - for_answers - for_stuck, move_from, move_from + longest_move)),
          over_by(ends - for_stuck) {}
};

}  // namespace lemonstair::node
