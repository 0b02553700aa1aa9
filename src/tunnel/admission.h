// Admit: whether the node can carry one more tunnel; if so, the module hears of it.
#pragma once

#include <string_view>

#include "tunnel/completion.h"
#include "tunnel/dispatcher.h"
#include "tunnel/tunnel_registry.h"

namespace lemonstair::tunnel {

class Admission {
  public:
    Admission(TunnelRegistry& floor, Dispatcher& route, Completion& book)
        : floor_(floor), route_(route), book_(book) {}
    void admit(TunnelId id, TunnelRequest arrival, std::string_view holder);
    // Tunnels that fit the descriptors granted: two each, beside what the node needs for itself.
    std::size_t room() const;

  private:
    TunnelRegistry& floor_;
    Dispatcher& route_;
    Completion& book_;
};

}  // namespace lemonstair::tunnel
