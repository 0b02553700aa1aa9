// Route: carries the module's word to the next stage: a setup at a host, a final answer, a move.
#pragma once

#include "tunnel/attempt.h"
#include "tunnel/completion.h"
#include "tunnel/relay.h"
#include "tunnel/tunnel_registry.h"

namespace lemonstair::tunnel {

class Dispatcher {
  public:
    Dispatcher(TunnelRegistry& floor, AttemptRunner& send, Relay& relay, Completion& book)
        : floor_(floor), send_(send), relay_(relay), book_(book) {}
    void set_up(TunnelId id, std::uint32_t ep, Ticks longest_wait);
    void decline(TunnelId id, Ticks come_back_after);
    void close_with_error(TunnelId id);
    void move(TunnelId id);
    // Open at this host before the start.
    void resume_standing(TunnelId id) { send_.resume_standing(id); }

  private:
    bool waits(TunnelId id) {
        const Tunnel* t = floor_.find(id);
        return t != nullptr && t->state == TunnelState::deciding;
    }
    TunnelRegistry& floor_;
    AttemptRunner& send_;
    Relay& relay_;
    Completion& book_;
};

}  // namespace lemonstair::tunnel
