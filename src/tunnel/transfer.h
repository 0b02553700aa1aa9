// Transfers open tunnels to, and from, another process of this node, with the bytes that are half read.
// Neither the client nor the endpoint notices.
#pragma once

#include <string>
#include <string_view>

#include "tunnel/relay.h"
#include "tunnel/tunnel_registry.h"

namespace lemonstair::tunnel {

class Transfer {
  public:
    Transfer(TunnelRegistry& registry, Relay& relay, Completion& completion)
        : registry_(registry), relay_(relay), completion_(completion) {}
    // The next open tunnel that can be transferred, in no order, and its state in `bytes`; it is frozen until
    // complete() or cancel(). False where there is none.
    bool next_transferable(TunnelId& id, std::string& bytes);
    // The other process has it.
    void complete(TunnelId id);
    // The other process is gone, or cannot take it: it stays open here. `may_retry`: it may be transferred
    // later.
    void cancel(TunnelId id, bool may_retry);
    // By how much this process's clock is ahead of that of the process that transfers.
    void set_clock_shift(Ticks shift) { clock_shift_ = shift; }
    Ticks clock_shift() const { return clock_shift_; }
    // Adopts a tunnel of another process. False where it cannot be; the descriptors are closed then.
    bool adopt(std::string_view bytes, net::Fd client, net::Fd endpoint);

  private:
    static bool is_transferable(const Tunnel& tunnel);
    void serialize(TunnelId id, const Tunnel& tunnel, std::string& into) const;

    TunnelRegistry& registry_;
    Relay& relay_;
    Completion& completion_;
    std::uint32_t next_index_ = 0;  // the slot at which the search goes on
    Ticks clock_shift_ = 0;
};

}  // namespace lemonstair::tunnel
