/// How long tunnels stay and how many end, from those carried here.
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
    void update_turnover(double age_seconds);
    /// How long a tunnel stays, from those carried here; few say little.
    double mean_tunnel_lifetime() const;
    double tunnel_end_rate() const { return tunnel_end_rate_; }

  private:
    friend class StateCodec;

    EndpointTable& endpoint_table_;
    std::uint32_t ended_since_tick_ = 0;
    double tunnel_end_rate_ = 0;  // a second
    double total_open_seconds_ = 0;
    std::uint64_t ended_tunnels_ = 0;
};

}  // namespace lemonstair
