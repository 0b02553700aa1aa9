/// Decides whether the node has the capacity for another tunnel, and passes its request to the balancer.
#pragma once

#include "tunnel/completion.h"
#include "tunnel/dispatcher.h"
#include "tunnel/tunnel_registry.h"

namespace lemonstair::tunnel {

class Admission {
  public:
    Admission(TunnelRegistry& registry, Dispatcher& dispatcher, Completion& completion)
        : registry_(registry), dispatcher_(dispatcher), completion_(completion) {}
    /// Admits or rejects a tunnel whose request may claim its id.
    void admit(TunnelId id, const RequestLine& line);
    /// How many tunnels the granted descriptors allow. Each tunnel takes two, and the node itself needs some.
    std::size_t capacity() const;

  private:
    TunnelRegistry& registry_;
    Dispatcher& dispatcher_;
    Completion& completion_;
};

}  // namespace lemonstair::tunnel
