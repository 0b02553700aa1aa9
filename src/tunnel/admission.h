// Decides whether the node has the capacity for one more tunnel, and hands its request to the balancer.
#pragma once

#include <string_view>

#include "tunnel/completion.h"
#include "tunnel/dispatcher.h"
#include "tunnel/tunnel_registry.h"

namespace lemonstair::tunnel {

class Admission {
  public:
    Admission(TunnelRegistry& registry, Dispatcher& dispatcher, Completion& completion)
        : registry_(registry), dispatcher_(dispatcher), completion_(completion) {}
    // Admits the tunnel or rejects it. `current_endpoint`: the id of the endpoint at which it is open
    // already; empty for a new one.
    void admit(TunnelId id, TunnelRequest request, std::string_view current_endpoint);
    // Tunnels that the granted descriptors allow: two each, beside what the node needs for itself.
    std::size_t capacity() const;

  private:
    TunnelRegistry& registry_;
    Dispatcher& dispatcher_;
    Completion& completion_;
};

}  // namespace lemonstair::tunnel
