// Event queue of a simulation. Events are delivered by time, and those of one time in the order in which they
// were scheduled, so that a run depends on its seed alone.
#pragma once

#include <cstdint>
#include <optional>
#include <queue>
#include <vector>

#include "net/clock.h"

namespace lemonstair::simnet {

using net::Ticks;

// Receives events. The token is the one that was given to schedule().
class EventTarget {
  public:
    EventTarget() = default;
    EventTarget(const EventTarget&) = delete;
    EventTarget& operator=(const EventTarget&) = delete;
    virtual ~EventTarget() = default;
    virtual void on_event(std::uint64_t token) = 0;
};

// Times are tenths of a ms since the Unix epoch.
class EventQueue {
  public:
    // Simulations begin at this fixed Unix time, which the nodes' wall clocks show.
    static constexpr Ticks default_start_time = 17'000'000'000'000;
    EventQueue() : EventQueue(default_start_time, default_start_time) {}
    EventQueue(Ticks now, Ticks start_time) : start_time_(start_time), now_(now) {}
    Ticks start_time() const { return start_time_; }
    Ticks now() const { return now_; }
    // A time in the past counts as now. An event cannot be cancelled: the target has to recognise a stale
    // event by its token.
    void schedule(Ticks when, EventTarget& target, std::uint64_t token) {
        queue_.push({when < now_ ? now_ : when, order_++, &target, token});
    }
    // Delivers the next event; false if none is due by `until`.
    bool step(Ticks until) {
        if (queue_.empty() || queue_.top().at > until) return false;
        const Item next = queue_.top();
        queue_.pop();
        now_ = next.at > now_ ? next.at : now_;  // with a real clock, events may be late
        ++steps_;
        next.target->on_event(next.token);
        return true;
    }
    // When the next event is due; no value if none is scheduled.
    std::optional<Ticks> next() const {
        return queue_.empty() ? std::nullopt : std::optional(queue_.top().at);
    }
    // Advances the time without delivering events; never goes back.
    void advance_to(Ticks when) { now_ = when > now_ ? when : now_; }
    // Events delivered so far.
    std::uint64_t steps() const { return steps_; }

  private:
    struct Item {
        Ticks at;
        std::uint64_t order;
        EventTarget* target;
        std::uint64_t token;
        bool operator<(const Item& other) const {
            return at != other.at ? at > other.at : order > other.order;
        }
    };
    std::priority_queue<Item> queue_;
    Ticks start_time_, now_;
    std::uint64_t order_ = 0, steps_ = 0;
};

}  // namespace lemonstair::simnet
