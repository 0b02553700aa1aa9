/// The tunnels of this node and the state machine of each. Counts by state are kept in the transitions.
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

    void transition_to(std::uint32_t index, TunnelState next);
    std::uint64_t timer_label(std::uint32_t index) const;
    Slab<TrackedTunnel>& tunnels() { return tunnels_; }
    IdIndex& tunnel_by_id() { return tunnel_by_id_; }
    const IdIndex& lookups() const { return lookups_; }
    const std::vector<std::uint32_t>& waiting_tunnels() const { return waiting_tunnels_; }
    int pending_attempts() const { return pending_attempts_; }

  private:
    EndpointTable& endpoint_table_;
    Slab<TrackedTunnel> tunnels_;
    IdIndex tunnel_by_id_;
    IdIndex lookups_;  // by key: the tunnel whose record is being looked up
    std::vector<std::uint32_t> waiting_tunnels_;
    int pending_attempts_ = 0;
};

}  // namespace lemonstair
