/// Failure observations of one endpoint, by the node that observed them. Observations can be merged in any
/// order and any number of times; a node counts once, however often it reports. Gossip is accepted if a
/// quorum of nodes agrees and no node has found the endpoint healthy since (docs/shared-state.md). No I/O;
/// the clock is an argument, in tenths of a millisecond.
#pragma once

#include <algorithm>
#include <array>
#include <cstdint>
#include <limits>

namespace lemonstair::failure_detector {

using Ticks = std::int64_t;

constexpr std::uint32_t no_observer = std::numeric_limits<std::uint16_t>::max();
constexpr int quorum = 2;                       // observers needed before other nodes act on the failure
constexpr Ticks observation_lifetime = 100000;  // 10 s
constexpr Ticks renewal_interval = 40000;       // 4 s: two consecutive renewals may be lost
constexpr Ticks max_clock_skew = 5000;          // 0.5 s: observations further in the future are discarded

/// The newest failure observation of one node.
struct Observation {
    std::uint32_t node = no_observer;
    Ticks when = std::numeric_limits<Ticks>::min() / 2;
};
using ObservationPair = std::array<Observation, quorum>;

/// Restores a time from its low 32 bits: of the times with these bits, the one nearest to `now`.
constexpr Ticks expand_time(std::uint32_t low, Ticks now) {
    return now + static_cast<std::int32_t>(low - static_cast<std::uint32_t>(now));
}

/// A set of observations of fixed capacity, with one for each of the most recent observers.
class Observations {
  public:
    /// Adds a failure observation. False, without effect, if it is too old, too far in the future, or not
    /// newer than what is known.
    bool add(std::uint32_t node, Ticks when, Ticks now);
    /// Adds the observations of two nodes at once; `other` may be `no_observer`.
    bool add(std::uint32_t first, std::uint32_t other, Ticks when, Ticks now) {
        const bool added = add(first, when, now);
        return add(other, when, now) || added;
    }
    /// A node had a successful outcome. Earlier observations no longer count in `is_unresponsive`.
    void on_healthy(Ticks when) { healthy_at_ = std::max(healthy_at_, when); }
    /// Whether a quorum observed failures recently and no node has found the endpoint healthy since.
    bool is_unresponsive(Ticks now) const { return count(now, healthy_at_) >= quorum; }
    /// Whether a quorum observed failures recently, even if a node has had a success since.
    bool is_failing(Ticks now) const { return count(now, std::numeric_limits<Ticks>::min()) >= quorum; }
    /// The newest observations of different nodes, newest first, filled up with `no_observer`.
    ObservationPair newest() const;
    void clear() { *this = {}; }

  private:
    // The number of observations that have not expired and are newer than `since`.
    int count(Ticks now, Ticks since) const;
    static constexpr std::size_t capacity = 4;  // more than the quorum, as some may expire
    std::array<Observation, capacity> observations_{};
    Ticks healthy_at_ = std::numeric_limits<Ticks>::min();
};

/// The limit on ejections by gossip alone: at most half of each zone and of each cell, until the node itself
/// has found a failed endpoint there. It limits the damage when many nodes agree and are all wrong.
struct EjectionCounts {
    int active = 0, by_gossip = 0, by_own_evidence = 0;
    bool allows_one_more() const { return by_own_evidence > 0 || 2 * (by_gossip + 1) <= active; }
};

}  // namespace lemonstair::failure_detector
