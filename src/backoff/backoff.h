/// Capped exponential backoff with jitter for calls to service discovery, and the time limits that together
/// bound how stale an endpoint list can get while discovery is reachable. No I/O; the random number and the
/// clock are the caller's. Times are whole tenths of a millisecond.
#pragma once
#include <algorithm>
#include <cstddef>
#include <cstdint>

namespace lemonstair::backoff {

using Ticks = std::int64_t;

/// A change must reach the node within this time after discovery had it and was reachable, or after a watch
/// stopped sending. The limits below add up to no more than this.
constexpr Ticks list_staleness_limit = 60000;
constexpr Ticks watch_sign_interval = 20000;  // sent on an open watch, also while nothing changes
/// After this time a connection attempt, a request without a response, a watch without a sign is abandoned.
constexpr Ticks connect_timeout = 10000, request_timeout = 30000, watch_timeout = 30000;
constexpr Ticks max_delay = 15000;
// Left for the response to the next call, which queues behind those of all other nodes.
constexpr Ticks response_allowance = 15000;
static_assert(request_timeout + max_delay + response_allowance <= list_staleness_limit);
static_assert(connect_timeout <= request_timeout);
static_assert(watch_timeout > watch_sign_interval &&
              watch_timeout + max_delay + response_allowance <= list_staleness_limit);

/// The interval over which the first calls of `nodes` nodes that start together are spread. A starting
/// process holds a cached list of unknown age, so it calls soon.
constexpr Ticks first_call_spread(std::size_t nodes) {
    constexpr Ticks each = 500;  // discovery serves them one by one
    return std::min<Ticks>(max_delay, static_cast<Ticks>(std::min<std::size_t>(nodes, 10000)) * each);
}

/// Delay before the next call, doubled by each consecutive failure.
class Backoff {
  public:
    /// `first`: the longest delay after one failure; each further one doubles it, up to `max_delay`.
    explicit Backoff(Ticks first = 2500) : first_(std::clamp<Ticks>(first, 1, max_delay)) {}
    /// Counts a failure and returns the delay before the next call. `chance` is drawn evenly from 0 to 1, so
    /// that nodes which failed together retry at different times.
    Ticks on_failure(double chance) {
        const Ticks cap = std::min(max_delay, first_ << std::min(failures_, 8));
        ++failures_;
        const Ticks least = cap / 4;
        return least + static_cast<Ticks>(chance * static_cast<double>(cap - least));
    }
    void on_success() { failures_ = 0; }
    int failures() const { return failures_; }

  private:
    Ticks first_;
    int failures_ = 0;
};

}  // namespace lemonstair::backoff
