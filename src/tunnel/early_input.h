/// What clients send behind their request before it is answered. It is for the endpoint, once the tunnel is
/// open, and is kept in the buffer of the request until then. A client's end comes behind its bytes, so it
/// would not be noticed if they were left unread.
#pragma once

#include "tunnel/completion.h"
#include "tunnel/tunnel_registry.h"

namespace lemonstair::tunnel {

/// For the states in which a client awaits its answer. Where a function finds that the client has
/// disconnected or broken the protocol, it ends the tunnel.
class EarlyInput {
  public:
    EarlyInput(TunnelRegistry& registry, Completion& completion)
        : registry_(registry), completion_(completion) {}
    /// Reads what has arrived. A client must not send another command before the first one is answered, nor
    /// more than the buffer holds. Returns false if the tunnel has ended.
    bool receive(TunnelId id);
    /// As receive(), and asks the system whether the client has disconnected. Returns true if the tunnel has
    /// ended. To be called immediately before anything is sent to an endpoint.
    bool client_left(TunnelId id);

  private:
    bool read(TunnelId id, bool& full);
    bool accept_full_buffer(TunnelId id);
    bool disconnected(TunnelId id);
    bool protocol_error(TunnelId id);

    TunnelRegistry& registry_;
    Completion& completion_;
};

}  // namespace lemonstair::tunnel
