/// TunnelTable: the tunnels of this node and their states. Every change of state goes through transition_to,
/// which also keeps the counts and indexes that depend on states.
#pragma once
#include <vector>

#include "balance/endpoint.h"
#include "balance/slab.h"

namespace lemonstair {

class EndpointTable;

class TunnelTable {
  public:
    explicit TunnelTable(EndpointTable& endpoint_table);
    TunnelTable(const TunnelTable&) = delete;
    TunnelTable& operator=(const TunnelTable&) = delete;

    /// Changes the state of a tunnel. Its endpoint must be set before the states setting_up and open.
    void transition_to(std::uint32_t index, TunnelState next);
    /// The label of the tunnel's timers. It differs from the labels of earlier tunnels in the same slot, and
    /// from that of the periodic tick.
    std::uint64_t timer_label(std::uint32_t index) const;
    Slab<TrackedTunnel>& tunnels() { return tunnels_; }
    IdIndex& tunnel_by_id() { return tunnel_by_id_; }
    /// The tunnel whose record is being looked up, by key.
    const IdIndex& lookups() const { return lookups_; }
    const std::vector<std::uint32_t>& waiting_tunnels() const { return waiting_tunnels_; }
    /// The number of tunnels in the state setting_up.
    int pending_attempts() const { return pending_attempts_; }

  private:
    EndpointTable& endpoint_table_;
    Slab<TrackedTunnel> tunnels_;
    IdIndex tunnel_by_id_;
    IdIndex lookups_;
    std::vector<std::uint32_t> waiting_tunnels_;
    int pending_attempts_ = 0;
};

}  // namespace lemonstair
