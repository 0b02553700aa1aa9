/// Capped exponential backoff with jitter for calls to service discovery, and the time limits that together
/// bound how stale an endpoint list can get while service discovery is reachable. No I/O; the caller provides
/// random numbers and the clock. Times are whole tenths of a millisecond.
#pragma once
#include <algorithm>
#include <cstddef>
#include <cstdint>

namespace lemonstair::backoff {

using Ticks = std::int64_t;

/// A change of the list must reach the node within this time after service discovery had it and was
/// reachable, or after a watch stopped sending. The limits below add up to no more than this.
constexpr Ticks list_staleness_limit = 60000;
constexpr Ticks watch_heartbeat_interval = 20000;  // of data on an open watch, also while nothing changes
/// A connection attempt, a request without a response, and a watch without data are abandoned after these
/// times.
constexpr Ticks connect_timeout = 10000, request_timeout = 30000, watch_timeout = 30000;
constexpr Ticks max_delay = 15000;  // before the next call, after any number of failures
// Reserved for the response to the next call, which queues behind the responses to all other nodes.
constexpr Ticks response_allowance = 15000;
static_assert(request_timeout + max_delay + response_allowance <= list_staleness_limit);
static_assert(connect_timeout <= request_timeout);
static_assert(watch_timeout > watch_heartbeat_interval &&
              watch_timeout + max_delay + response_allowance <= list_staleness_limit);

/// The interval over which the first calls of `nodes` nodes that start together are spread. It is short,
/// since a starting process holds a cached list of unknown age.
constexpr Ticks first_call_spread(std::size_t nodes) {
    constexpr Ticks per_node = 500;  // service discovery serves the calls one at a time
    return std::min<Ticks>(max_delay, static_cast<Ticks>(std::min<std::size_t>(nodes, 10000)) * per_node);
}

/// The delay before the next call, doubled by each consecutive failure.
class Backoff {
  public:
    /// `first`: the longest delay after the first failure. Each further failure doubles it, up to
    /// `max_delay`.
    explicit Backoff(Ticks first = 2500) : first_(std::clamp<Ticks>(first, 1, max_delay)) {}
    /// Counts a failure and returns the delay before the next call. `chance` is a random number, uniform from
    /// 0 to 1, so that nodes that failed together retry at different times.
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
