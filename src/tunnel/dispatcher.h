// Carries out the balancer's decisions: an attempt, a final answer, a migration. Those that come for a tunnel
// that is gone, or waits no longer, are dropped.
#pragma once

#include "tunnel/attempt.h"
#include "tunnel/completion.h"
#include "tunnel/relay.h"
#include "tunnel/tunnel_registry.h"

namespace lemonstair::tunnel {

class Dispatcher {
  public:
    Dispatcher(TunnelRegistry& registry, AttemptRunner& attempts, Relay& relay, Completion& completion)
        : registry_(registry), attempts_(attempts), relay_(relay), completion_(completion) {}
    // `endpoint`: its number for the balancer. `max_wait`: see AttemptRunner::start.
    void start_attempt(TunnelId id, std::uint32_t endpoint, Ticks max_wait);
    // `retry_after`: advice for the client; 0: none.
    void reject(TunnelId id, Ticks retry_after);
    void fail(TunnelId id);
    void migrate(TunnelId id);
    // A tunnel that is open at its endpoint already; there is nothing for the balancer to decide.
    void resume(TunnelId id) { attempts_.resume(id); }

  private:
    bool awaits_placement(TunnelId id) {
        const Tunnel* tunnel = registry_.find(id);
        return tunnel != nullptr && tunnel->state == TunnelState::awaiting_placement;
    }
    TunnelRegistry& registry_;
    AttemptRunner& attempts_;
    Relay& relay_;
    Completion& completion_;
};

}  // namespace lemonstair::tunnel
