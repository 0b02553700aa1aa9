// Route: carries the module's word to the next stage: a setup at a host, a final answer, a move.
#pragma once

#include "tunnel/attempt.h"
#include "tunnel/completion.h"
#include "tunnel/relay.h"
#include "tunnel/tunnel_registry.h"

namespace lemonstair::tunnel {

class Route {
  public:
    Route(Floor& floor, Send& send, Relay& relay, Book& book)
        : floor_(floor), send_(send), relay_(relay), book_(book) {}
    void set_up(Id id, std::uint32_t ep, Tenths longest_wait);
    void decline(Id id, Tenths come_back_after);
    void close_with_error(Id id);
    void move(Id id);
    // Open at this host before the start.
    void resume_standing(Id id) { send_.resume_standing(id); }

  private:
    bool waits(Id id) {
        const Tunnel* t = floor_.find(id);
        return t != nullptr && t->state == State::deciding;
    }
    Floor& floor_;
    Send& send_;
    Relay& relay_;
    Book& book_;
};

}  // namespace lemonstair::tunnel
