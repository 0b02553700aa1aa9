/// Executes the balancer's decisions: an attempt, a final answer or a migration. A decision is ignored if its
/// tunnel no longer exists, or is no longer in the state in which the decision applies.
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
    /// `endpoint`: its number at the balancer. `max_wait`: see AttemptRunner::start.
    void start_attempt(TunnelId id, std::uint32_t endpoint, Ticks max_wait);
    /// `retry_after`: when the client may retry; 0: no advice.
    void reject(TunnelId id, Ticks retry_after);
    void fail(TunnelId id);
    void migrate(TunnelId id);
    /// For a tunnel that is already open at its endpoint: does not involve the balancer.
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
