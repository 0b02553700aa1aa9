// The agenda of a simulated scenario: what happens when, in one order that depends on nothing but the seed.
#pragma once

#include <cstdint>
#include <optional>
#include <queue>
#include <vector>

#include "net/clock.h"

namespace lemonstair::simnet {

using net::Ticks;

// To whom something happens; the token is what it gave when it asked.
class EventTarget {
  public:
    EventTarget() = default;
    EventTarget(const EventTarget&) = delete;
    EventTarget& operator=(const EventTarget&) = delete;
    virtual ~EventTarget() = default;
    virtual void on_event(std::uint64_t token) = 0;
};

class EventQueue {
  public:
    // Simulated scenarios begin at a fixed time, in Unix time, as the stamps of records want it.
    static constexpr Ticks default_start_time = 17'000'000'000'000;
    EventQueue() : EventQueue(default_start_time, default_start_time) {}
    EventQueue(Ticks now, Ticks start_time) : start_time_(start_time), now_(now) {}
    Ticks start_time() const { return start_time_; }
    Ticks now() const { return now_; }
    // Never before now. There is no way to take it back: the actor tells by the token whether it still
    // counts.
    void schedule(Ticks when, EventTarget& actor, std::uint64_t token) {
        queue_.push({when < now_ ? now_ : when, order_++, &actor, token});
    }
    // Lets the next thing happen; false where there is none, or none until a time.
    bool step(Ticks until) {
        if (queue_.empty() || queue_.top().at > until) return false;
        const Item next = queue_.top();
        queue_.pop();
        now_ = next.at > now_ ? next.at : now_;  // by a real clock things may come late
        ++steps_;
        next.actor->on_event(next.token);
        return true;
    }
    // When the next thing is to happen; nothing: there is none.
    std::optional<Ticks> next() const {
        return queue_.empty() ? std::nullopt : std::optional(queue_.top().at);
    }
    // Time goes on though nothing happens.
    void pass_to(Ticks when) { now_ = when > now_ ? when : now_; }
    std::uint64_t steps() const { return steps_; }

  private:
    struct Item {
        Ticks at;
        std::uint64_t order;
        EventTarget* actor;
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
