/// Failure observations of one endpoint, by observing node. Observations merge in any order, any number of
/// times; a node counts once however often it reports. Gossip is accepted where a quorum of nodes agrees and
/// no node has found the endpoint healthy since (docs/shared-state.md). No I/O; the clock is an argument, in
/// tenths of a millisecond.
#pragma once

#include <algorithm>
#include <array>
#include <cstdint>
#include <limits>

namespace lemonstair::failure_detector {

using Ticks = std::int64_t;

constexpr std::uint32_t no_observer = std::numeric_limits<std::uint16_t>::max();
constexpr int quorum = 2;                       // observers needed before other nodes act on it
constexpr Ticks observation_lifetime = 100000;  // 10 s
constexpr Ticks renewal_interval = 40000;       // 4 s: two renewals in a row may be lost
constexpr Ticks max_clock_skew = 5000;          // 0.5 s: an observation from further ahead is discarded

/// One node's newest failure observation.
struct Observation {
    std::uint32_t node = no_observer;
    Ticks when = std::numeric_limits<Ticks>::min() / 2;
};
using ObservationPair = std::array<Observation, quorum>;

/// Restores a time from its low 32 bits: the one nearest to `now`.
constexpr Ticks expand_time(std::uint32_t low, Ticks now) {
    return now + static_cast<std::int32_t>(low - static_cast<std::uint32_t>(now));
}

/// A bounded set of observations, one for each of the most recent observers.
class Observations {
  public:
    /// Adds a failure observation. False, without effect, where it is too old, in the future, or known.
    bool add(std::uint32_t node, Ticks when, Ticks now);
    /// Adds the observations of two nodes at once; `other` may be `no_observer`.
    bool add(std::uint32_t first, std::uint32_t other, Ticks when, Ticks now) {
        const bool news = add(first, when, now);
        return add(other, when, now) || news;
    }
    /// Some node had a successful outcome: earlier observations no longer count in `is_unresponsive`.
    void on_healthy(Ticks when) { healthy_at_ = std::max(healthy_at_, when); }
    /// A quorum observed failures lately, and no node has found the endpoint healthy since.
    bool is_unresponsive(Ticks now) const { return count(now, healthy_at_) >= quorum; }
    /// A quorum observed failures lately, whether or not some node had a success meanwhile.
    bool is_failing(Ticks now) const { return count(now, std::numeric_limits<Ticks>::min()) >= quorum; }
    /// The newest observations of different nodes, newest first; `no_observer` where there are fewer.
    ObservationPair newest() const;
    void clear() { *this = {}; }

  private:
    int count(Ticks now, Ticks since) const;
    static constexpr std::size_t capacity = 4;  // more than the quorum: an old one may expire
    std::array<Observation, capacity> observations_{};
    Ticks healthy_at_ = std::numeric_limits<Ticks>::min();
};

/// The cap on ejections by gossip alone: at most half of each zone and of each cell, until the node itself
/// has found an endpoint failed there. It limits the damage where many nodes agree and are all wrong.
struct EjectionCounts {
    int active = 0, by_gossip = 0, by_own_evidence = 0;
    bool allows_one_more() const { return by_own_evidence > 0 || 2 * (by_gossip + 1) <= active; }
};

}  // namespace lemonstair::failure_detector
