/// TunnelTurnover: estimates of how long tunnels stay open and how many end per second, from this node's
/// tunnels.
#pragma once

#include "balance/endpoint.h"

namespace lemonstair {

class EndpointTable;

class TunnelTurnover {
  public:
    explicit TunnelTurnover(EndpointTable& endpoint_table);
    TunnelTurnover(const TunnelTurnover&) = delete;
    TunnelTurnover& operator=(const TunnelTurnover&) = delete;

    void on_tunnel_ended() { ++ended_since_tick_; }
    /// Once in each tick. `age_seconds`: how long the node has been running.
    void update_turnover(double age_seconds);
    /// In seconds. While few tunnels have ended, the estimate stays close to the default lifetime.
    double mean_tunnel_lifetime() const;
    /// Tunnels that end per second on this node.
    double tunnel_end_rate() const { return tunnel_end_rate_; }

  private:
    friend class StateCodec;

    EndpointTable& endpoint_table_;
    std::uint32_t ended_since_tick_ = 0;
    double tunnel_end_rate_ = 0;     // per second
    double total_open_seconds_ = 0;  // of all tunnels together
    std::uint64_t ended_tunnels_ = 0;
};

}  // namespace lemonstair
