/// Decides whether the node has the capacity for another tunnel, and passes its request to the balancer.
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
    /// Admits or rejects a tunnel. `current_endpoint`: the id of the endpoint at which it is already open;
    /// empty for a new tunnel.
    void admit(TunnelId id, TunnelRequest request, std::string_view current_endpoint);
    /// How many tunnels the granted descriptors allow. Each tunnel takes two, and the node itself needs some.
    std::size_t capacity() const;

  private:
    TunnelRegistry& registry_;
    Dispatcher& dispatcher_;
    Completion& completion_;
};

}  // namespace lemonstair::tunnel
