/// The node's clock in ticks of a tenth of a millisecond. It follows the steady clock and is set once, at the
/// start, to Unix time: timestamps of records travel between machines, and discovery lists start times of
/// endpoints in Unix time.
#pragma once

#include <chrono>
#include <cstdint>

namespace lemonstair::net {

using Ticks = std::int64_t;

class Clock {
  public:
    Ticks now() const { return started_unix_ + tenths(Steady::now() - started_); }
    // How far this clock is ahead of the monotonic clock, which all processes of the machine share.
    Ticks base() const { return started_unix_ - tenths(started_.time_since_epoch()); }

  private:
    using Steady = std::chrono::steady_clock;
    template <class Span>
    static Ticks tenths(Span span) {
        return std::chrono::duration_cast<std::chrono::duration<Ticks, std::ratio<1, 10000>>>(span).count();
    }
    Steady::time_point started_ = Steady::now();
    Ticks started_unix_ = tenths(std::chrono::system_clock::now().time_since_epoch());
};

constexpr Ticks ticks_from_ms(std::int64_t ms) { return ms * 10; }

}  // namespace lemonstair::net
