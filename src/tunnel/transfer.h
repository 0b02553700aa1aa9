/// Transfers open tunnels to another process of this node, or receives them from it, with the bytes that are
/// still buffered. Neither the client nor the endpoint notices.
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
    /// Finds an open tunnel that can be transferred, in no particular order, and appends its state to
    /// `bytes`. The tunnel is suspended until complete() or cancel(). Returns false if there is none.
    bool next_transferable(TunnelId& id, std::string& bytes);
    /// The other process has taken the tunnel over.
    void complete(TunnelId id);
    /// The other process has exited, or cannot take the tunnel over: it stays open here. `may_retry`: whether
    /// it may be transferred later.
    void cancel(TunnelId id, bool may_retry);
    /// How far the clock of this process is ahead of the clock of the sending process.
    void set_clock_shift(Ticks shift) { clock_shift_ = shift; }
    Ticks clock_shift() const { return clock_shift_; }
    /// Continues a tunnel of another process. Returns false, and closes the descriptors, if its state is
    /// invalid or its endpoint unknown.
    bool adopt(std::string_view bytes, net::Fd client, net::Fd endpoint);

  private:
    static bool is_transferable(const Tunnel& tunnel);
    void serialize(TunnelId id, const Tunnel& tunnel, std::string& into) const;

    TunnelRegistry& registry_;
    Relay& relay_;
    Completion& completion_;
    std::uint32_t next_index_ = 0;  // the slot at which the next search begins
    Ticks clock_shift_ = 0;
};

}  // namespace lemonstair::tunnel
