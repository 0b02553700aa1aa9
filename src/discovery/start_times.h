/// Converts the start times of endpoints to this process's clock. Discovery lists them as Unix time of other
/// machines, whose wall clocks may differ from this one, or be stepped, by seconds or hours. Two facts bound
/// the error: no endpoint has started in the future, and an endpoint whose start time is new in the list
/// started after the list was last known to be current, apart from the time that discovery needs to notice a
/// start. No I/O; the clock is an argument. Times are in tenths of a millisecond.
#pragma once

#include <algorithm>
#include <cstdint>

namespace lemonstair::discovery {

class StartTimes {
  public:
    using Ticks = std::int64_t;
    /// 10 s, the longest time that discovery takes to list a start while it answers at all.
    static constexpr Ticks max_notice_delay = 100000;

    /// Corrects the offset where `listed` would be in the future by more than max_notice_delay. Smaller
    /// errors are kept: the endpoint then counts as younger than it is, which is safe, while a correction
    /// would make all other endpoints count as older.
    void limit_offset(Ticks listed, Ticks now) {
        if (listed <= 0 || now - listed >= offset_ - max_notice_delay) return;
        offset_ = now - listed;
        measured_ = true;
    }
    /// The start of an endpoint that may have started at any time in the past; 0: long ago.
    Ticks convert_known(Ticks listed) const { return listed <= 0 ? 0 : listed + offset_; }
    /// The start of an endpoint whose start time was not in the list when it was last current, at
    /// `current_at`. The time from each such start to its listing is measured, and the shortest one is taken
    /// as the difference of the clocks alone. So an endpoint may count as younger than it is, but never as
    /// older.
    Ticks convert_new(Ticks listed, Ticks now, Ticks current_at) {
        if (listed <= 0) return 0;
        const Ticks sample = now - listed;
        offset_ = measured_ ? std::min(offset_, sample) : sample;
        measured_ = true;
        // The clock that the start times are listed by has been stepped back since the last sample.
        if (listed + offset_ < current_at - max_notice_delay) offset_ = sample;
        return listed + offset_;
    }
    /// Adopts the offset that another process of this node has measured, converted to this process's clock; 0
    /// means that it is unknown.
    void adopt(Ticks offset) {
        offset_ = offset;
        measured_ = offset != 0;
    }
    /// How far this clock is ahead of the clocks of the list, as far as it is known; 0 before any
    /// measurement.
    Ticks offset() const { return offset_; }

  private:
    Ticks offset_ = 0;
    bool measured_ = false;
};

}  // namespace lemonstair::discovery
