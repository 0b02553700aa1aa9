// Start times: when endpoints started, on this process's own clock. Discovery tells them as Unix time of
// other machines, and the wall clocks of machines may be apart, or be stepped, by seconds or by hours. What
// is certain is that no endpoint has started in a time to come, and that one whose start is news started
// after the list was last heard of, but for the time that discovery takes to notice. No I/O; the clock is an
// argument, in tenths of a ms.
#pragma once

#include <algorithm>
#include <cstdint>

namespace lemonstair::discovery {

class StartTimes {
  public:
    using Ticks = std::int64_t;
    // Discovery knows of a start after this at the latest, while it is heard at all.
    static constexpr Ticks longest_notice = 100000;

    // No endpoint has started in a time to come. One that would have, by some seconds, is left so: it counts
    // as too young then, which is safe, where to correct a clock by it would make the others too old.
    void bound(Ticks listed, Ticks now) {
        if (listed <= 0 || now - listed >= offset_ - longest_notice) return;
        offset_ = now - listed;
        measured_ = true;
    }
    // Of an endpoint that may have started at any time before; 0: long ago.
    Ticks of_known(Ticks listed) const { return listed <= 0 ? 0 : listed + offset_; }
    // Of one whose start the list did not hold when it was last heard, at `current_at`. The shortest notice
    // seen is taken for none: an endpoint then counts as too young by that, never as too old.
    Ticks of_news(Ticks listed, Ticks now, Ticks current_at) {
        if (listed <= 0) return 0;
        const Ticks sample = now - listed;
        offset_ = measured_ ? std::min(offset_, sample) : sample;
        measured_ = true;
        // The clock that told the start was stepped back since.
        if (listed + offset_ < current_at - longest_notice) offset_ = sample;
        return listed + offset_;
    }
    // What another process of this node knew, by its own clock.
    void adopt(Ticks offset) {
        offset_ = offset;
        measured_ = offset != 0;
    }
    // What this clock is ahead of those that tell the starts, as far as is known.
    Ticks offset() const { return offset_; }

  private:
    Ticks offset_ = 0;
    bool measured_ = false;
};

}  // namespace lemonstair::discovery
