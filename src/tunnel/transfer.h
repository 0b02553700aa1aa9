// Carry: an open tunnel goes over to another process of the same node, or comes from one, with what is half
// read of it. Its client and its host notice nothing.
#pragma once

#include <string>
#include <string_view>

#include "tunnel/relay.h"
#include "tunnel/tunnel_registry.h"

namespace lemonstair::tunnel {

class Carry {
  public:
    Carry(Floor& floor, Relay& relay, Book& book) : floor_(floor), relay_(relay), book_(book) {}
    // The next open tunnel that can go over, in no order; it is frozen until it has gone or comes back. False
    // where there is none.
    bool next(Id& id, std::string& told);
    void gone(Id id);
    void comes_back(Id id, bool may_go);
    // What this process's clock is ahead of that of the one that hands over.
    void set_clock_shift(Tenths shift) { clock_shift_ = shift; }
    Tenths clock_shift() const { return clock_shift_; }
    // False where it is not to be had here; the descriptors are closed then.
    bool take(std::string_view told, net::Fd client, net::Fd host);

  private:
    static bool can_go(const Tunnel& t);
    void write(Id id, const Tunnel& t, std::string& into) const;
    Floor& floor_;
    Relay& relay_;
    Book& book_;
    std::uint32_t next_ = 0;  // place that is looked at next
    Tenths clock_shift_ = 0;
};

}  // namespace lemonstair::tunnel
