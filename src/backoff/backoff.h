// When discovery is called again after a call or a watch was lost: capped exponential backoff with jitter,
// and the bound that it keeps. No I/O; chance and clock are the caller's. Times are whole tenths of a ms.
#pragma once
#include <algorithm>
#include <cstddef>
#include <cstdint>

namespace lemonstair::backoff {

using Ticks = std::int64_t;

// A change counts as told this long after discovery had it and could be reached, and this long after a watch
// fell silent. All times below share it.
constexpr Ticks told_after = 60000;
constexpr Ticks sign_every = 20000;  // of a watch that stands, also while nothing changes
// After so long a call that does not come up, one with no answer, a watch with no sign is given up.
constexpr Ticks patience_connecting = 10000, patience_asking = 30000, patience_standing = 30000;
constexpr Ticks longest_pause = 15000;
// Left for the answer of the next call, which waits its turn among the calls of all nodes.
constexpr Ticks for_answer = 15000;
static_assert(patience_asking + longest_pause + for_answer <= told_after);
static_assert(patience_connecting <= patience_asking);
static_assert(patience_standing > sign_every && patience_standing + longest_pause + for_answer <= told_after);

// A process that starts has the list of the one before it, of unknown age: it calls soon, yet not at the same
// instant as all that started with it.
constexpr Ticks first_call_within(std::size_t nodes) {
    constexpr Ticks each = 500;  // discovery takes them in turn
    return std::min<Ticks>(longest_pause, static_cast<Ticks>(std::min<std::size_t>(nodes, 10000)) * each);
}

class Backoff {
  public:
    // `first`: the longest pause after one failure; each further one doubles it, up to longest_pause.
    explicit Backoff(Ticks first = 2500) : first_(std::clamp<Ticks>(first, 1, longest_pause)) {}
    // The pause before the next call; `chance` is drawn evenly from 0 to 1, so that nodes that failed
    // together come again apart.
    Ticks failed(double chance) {
        const Ticks cap = std::min(longest_pause, first_ << std::min(failures_, 8));
        ++failures_;
        return cap / 4 + static_cast<Ticks>(chance * static_cast<double>(cap - cap / 4));
    }
    void answered() { failures_ = 0; }
    int failures() const { return failures_; }

  private:
    Ticks first_;
    int failures_ = 0;
};

}  // namespace lemonstair::backoff
