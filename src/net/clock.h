// The node's clock in whole tenths of a millisecond. It runs by the steady clock and is set once, at the
// start, by Unix time: the stamps of records travel between machines, and hosts' starts are told in Unix
// time.
#pragma once

#include <chrono>
#include <cstdint>

namespace lemonstair::net {

using Ticks = std::int64_t;

class Clock {
  public:
    Ticks now() const { return set_to_ + tenths(Steady::now() - started_); }
    // What it is ahead of the monotonic clock, which is the same in all processes of the machine.
    Ticks base() const { return set_to_ - tenths(started_.time_since_epoch()); }

  private:
    using Steady = std::chrono::steady_clock;
    template <class Span>
    static Ticks tenths(Span span) {
        return std::chrono::duration_cast<std::chrono::duration<Ticks, std::ratio<1, 10000>>>(span).count();
    }
    Steady::time_point started_ = Steady::now();
    Ticks set_to_ = tenths(std::chrono::system_clock::now().time_since_epoch());
};

// Up, so that a host is not taken for older than it is.
constexpr Ticks tenths_of_unix_ms(std::int64_t ms) { return ms * 10; }

}  // namespace lemonstair::net
