/// All waits of calls to service discovery: capped exponential backoff with jitter, and the time limits that
/// together bound how stale an endpoint list can get once service discovery can be reached. No I/O; the
/// caller provides random numbers and the clock. Times are whole tenths of a millisecond.
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

/// The longest waits of a node to which discovery pushes its lists, from one call that is not answered to the
/// next one: to a retry after a failure, or to another call beside one that hangs. Such a list counts as
/// known as soon as discovery has it and can be reached, so that a wait and the response must fit into the
/// drain grace.
struct PushedListWaits {
    Ticks after_unaccepted = max_delay;  // the call was refused or did not come up
    /// Discovery has accepted the call. It may be queued behind the calls of the other nodes, and each
    /// further one makes that queue longer.
    Ticks after_accepted = max_delay;
};

/// `grace`: how long a node may still send to an endpoint after it counts as told that the endpoint drains.
/// `stall_reserve`: the part of it that is kept for a stalled process. `nodes`: of the fleet.
constexpr PushedListWaits pushed_list_waits(Ticks grace, Ticks stall_reserve, std::size_t nodes) {
    constexpr Ticks min_wait = 500;       // bounds the calls of a process, whatever its grace
    constexpr Ticks time_of_a_call = 10;  // discovery serves the calls of all nodes one at a time
    const auto without_response = [](Ticks span) { return span - span / 4; };
    const Ticks wait = std::clamp(without_response(grace - stall_reserve), min_wait, max_delay);
    // A large fleet spaces its calls out at the cost of the reserve, but not of the grace.
    const Ticks queue = static_cast<Ticks>(std::min<std::size_t>(nodes, 10000)) * time_of_a_call;
    return {wait, std::clamp(std::min(queue, without_response(grace)), wait, max_delay)};
}

/// The delay before the next call, doubled by each consecutive failure.
class Backoff {
  public:
    /// `first`: the longest delay after the first failure. Each further failure doubles it. `jitter`: the
    /// share of a delay that is random, but for the first one, of which it is three quarters: nodes that lost
    /// discovery together have spread then.
    explicit Backoff(Ticks first = 2500, double jitter = first_jitter)
        : first_(std::clamp<Ticks>(first, 1, max_delay)), jitter_(jitter) {}
    /// Counts a failure and returns the delay before the next call, at most `longest`. `chance` is a random
    /// number, uniform from 0 to 1, so that nodes that failed together retry at different times.
    Ticks on_failure(double chance, Ticks longest = max_delay) {
        const Ticks cap = std::min({longest, max_delay, first_ << std::min(failures_, 8)});
        const double jitter = failures_ == 0 ? first_jitter : jitter_;
        ++failures_;
        const Ticks least = cap - static_cast<Ticks>(jitter * static_cast<double>(cap));
        return least + static_cast<Ticks>(chance * static_cast<double>(cap - least));
    }
    void on_success() { failures_ = 0; }
    int failures() const { return failures_; }

  private:
    static constexpr double first_jitter = 0.75;
    Ticks first_;
    double jitter_;
    int failures_ = 0;
};

}  // namespace lemonstair::backoff
