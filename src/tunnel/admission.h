// Admit: whether the node can carry one more tunnel; if so, the module hears of it.
#pragma once

#include <string_view>

#include "tunnel/completion.h"
#include "tunnel/dispatcher.h"
#include "tunnel/tunnel_registry.h"

namespace lemonstair::tunnel {

class Admit {
  public:
    Admit(Floor& floor, Route& route, Book& book) : floor_(floor), route_(route), book_(book) {}
    void admit(Id id, Arrival arrival, std::string_view holder);
    // Tunnels that fit the descriptors granted: two each, beside what the node needs for itself.
    std::size_t room() const;

  private:
    Floor& floor_;
    Route& route_;
    Book& book_;
};

}  // namespace lemonstair::tunnel
