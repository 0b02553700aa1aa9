// What nodes found of one host, kept by node: who found it dead, and when. Words merge in any order, any
// number of times; one node's word is one word, however often it is told. Hearsay is believed where enough
// nodes agree and nobody has found the host sound since: docs/shared-state.md. No I/O; the clock is an
// argument, in tenths of a ms.
#pragma once

#include <algorithm>
#include <array>
#include <cstdint>
#include <limits>

namespace lemonstair::failure_detector {

using Ticks = std::int64_t;

constexpr std::uint32_t nobody = std::numeric_limits<std::uint16_t>::max();
constexpr int enough = 2;               // nodes that must have found a host dead for the others to believe it
constexpr Ticks word_lasts = 100000;    // 10 s
constexpr Ticks renewed_after = 40000;  // 4 s: two renewals may be lost
constexpr Ticks clocks_apart = 5000;    // 0.5 s: a word of a later time than that is none

struct Observation {
    std::uint32_t node = nobody;
    Ticks when = std::numeric_limits<Ticks>::min() / 2;
};
using Two = std::array<Observation, enough>;

// When a word's time was of which the last 32 bits were told: the time nearest to now.
constexpr Ticks whole_time(std::uint32_t low, Ticks now) {
    return now + static_cast<std::int32_t>(low - static_cast<std::uint32_t>(now));
}

class Observations {
  public:
    // A node found the host dead. False, without effect: too long ago, in a time to come, or known.
    bool found(std::uint32_t node, Ticks when, Ticks now);
    // The same of two nodes at once; the other may be nobody.
    bool found(std::uint32_t first, std::uint32_t other, Ticks when, Ticks now) {
        const bool news = found(first, when, now);
        return found(other, when, now) || news;
    }
    // Somebody had an answer of it: what was found before counts no more against it.
    void found_sound(Ticks when) { sound_at_ = std::max(sound_at_, when); }
    // Enough nodes found it dead lately, and nobody has found it sound since.
    bool dead(Ticks now) const { return count(now, sound_at_) >= enough; }
    // Enough nodes found fault with it lately, whoever had an answer meanwhile.
    bool several(Ticks now) const { return count(now, std::numeric_limits<Ticks>::min()) >= enough; }
    // The newest words, of different nodes: the newest first, nobody where there are fewer.
    Two newest() const;
    void forget() { *this = {}; }

  private:
    int count(Ticks now, Ticks since) const;
    static constexpr std::size_t kept = 4;  // more than enough: an old one may lapse
    std::array<Observation, kept> words_{};
    Ticks sound_at_ = std::numeric_limits<Ticks>::min();
};

// How much hearsay alone may take out of service: of each zone and of each cell at most half, until the node
// itself has found a host dead there. Guards against many who agree and are wrong together.
struct EjectionCounts {
    int active = 0, by_hearsay = 0, by_sight = 0;
    bool one_more() const { return by_sight > 0 || 2 * (by_hearsay + 1) <= active; }
};

}  // namespace lemonstair::failure_detector
