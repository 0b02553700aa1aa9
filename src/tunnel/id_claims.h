/// Requests whose id this process may claim only if the other process of the node agrees, during a hot
/// restart.
#pragma once

#include <cstdint>

#include "tunnel/admission.h"
#include "tunnel/attempt.h"
#include "tunnel/completion.h"
#include "tunnel/tunnel_registry.h"

namespace lemonstair::tunnel {

/// The stage for TunnelState::awaiting_id. Nothing has been sent to an endpoint yet, so that a request whose
/// time runs out meanwhile can be rejected.
class IdClaims {
  public:
    IdClaims(TunnelRegistry& registry, Admission& admission, AttemptRunner& attempts, Completion& completion)
        : registry_(registry), admission_(admission), attempts_(attempts), completion_(completion) {}
    /// Asks the other process whether the tunnel's request may claim its id.
    void begin(TunnelId id, const RequestLine& request);
    void on_result(const request_ids::IdResult& result);
    /// The other process has gone: decides about all requests that wait for it.
    void on_peer_gone();
    void on_tunnel_ready(TunnelId id, Side side, short events);
    void on_tunnel_timer(TunnelId id);

  private:
    void finish(TunnelId id, bool granted);

    TunnelRegistry& registry_;
    Admission& admission_;
    AttemptRunner& attempts_;
    Completion& completion_;
};

}  // namespace lemonstair::tunnel
