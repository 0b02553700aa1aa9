// Carry: an open tunnel goes over to another process of the same node, or comes from one, with what is half
// read of it. Its client and its host notice nothing.
#pragma once

#include <string>
#include <string_view>

#include "tunnel/relay.h"
#include "tunnel/tunnel_registry.h"

namespace lemonstair::tunnel {

class Transfer {
  public:
    Transfer(TunnelRegistry& floor, Relay& relay, Completion& book)
        : floor_(floor), relay_(relay), book_(book) {}
    // The next open tunnel that can go over, in no order; it is frozen until it has gone or comes back. False
    // where there is none.
    bool next(TunnelId& id, std::string& told);
    void gone(TunnelId id);
    void comes_back(TunnelId id, bool may_go);
    // What this process's clock is ahead of that of the one that hands over.
    void set_clock_shift(Ticks shift) { clock_shift_ = shift; }
    Ticks clock_shift() const { return clock_shift_; }
    // False where it is not to be had here; the descriptors are closed then.
    bool take(std::string_view told, net::Fd client, net::Fd host);

  private:
    static bool can_go(const Tunnel& t);
    void write(TunnelId id, const Tunnel& t, std::string& into) const;
    TunnelRegistry& floor_;
    Relay& relay_;
    Completion& book_;
    std::uint32_t next_ = 0;  // place that is looked at next
    Ticks clock_shift_ = 0;
};

}  // namespace lemonstair::tunnel
