// Start times of endpoints on this process's own clock. Discovery lists them as Unix time of other machines,
// whose wall clocks may differ from this one, or be stepped, by seconds or hours. Two facts bound the error:
// no endpoint has started in the future, and an endpoint whose start is new in the list started after the
// list was last known to be current, give or take the time that discovery needs to notice. No I/O; the clock
// is an argument. Times are tenths of a ms.
#pragma once

#include <algorithm>
#include <cstdint>

namespace lemonstair::discovery {

class StartTimes {
  public:
    using Ticks = std::int64_t;
    // Discovery lists a start after this at the latest, while it answers at all.
    static constexpr Ticks max_notice_delay = 100000;

    // Corrects the offset where `listed` would be in the future by more than max_notice_delay. Smaller errors
    // stay: the endpoint then counts as younger than it is, which is safe, while a correction would make all
    // others count as older.
    void bound(Ticks listed, Ticks now) {
        if (listed <= 0 || now - listed >= offset_ - max_notice_delay) return;
        offset_ = now - listed;
        measured_ = true;
    }
    // The start of an endpoint that may have started at any time before; 0: long ago.
    Ticks of_known(Ticks listed) const { return listed <= 0 ? 0 : listed + offset_; }
    // The start of an endpoint whose start was not in the list when it was last current, at `current_at`. The
    // shortest delay seen is taken for none: an endpoint may count as younger than it is, never as older.
    Ticks of_news(Ticks listed, Ticks now, Ticks current_at) {
        if (listed <= 0) return 0;
        const Ticks sample = now - listed;
        offset_ = measured_ ? std::min(offset_, sample) : sample;
        measured_ = true;
        // The listing clock was stepped back since.
        if (listed + offset_ < current_at - max_notice_delay) offset_ = sample;
        return listed + offset_;
    }
    // Takes over the offset of another process of this node, converted to this process's clock; 0: unknown.
    void adopt(Ticks offset) {
        offset_ = offset;
        measured_ = offset != 0;
    }
    // How far this clock is ahead of those of the list, as far as is known.
    Ticks offset() const { return offset_; }

  private:
    Ticks offset_ = 0;
    bool measured_ = false;
};

}  // namespace lemonstair::discovery
