#include "balance/tunnel_turnover.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "balance/constants.h"
#include "balance/endpoint_table.h"

namespace lemonstair {

TunnelTurnover::TunnelTurnover(EndpointTable& endpoint_table) : endpoint_table_(endpoint_table) {}

double TunnelTurnover::mean_tunnel_lifetime() const {
    return (2 * default_tunnel_lifetime + total_open_seconds_) / (2.0 + static_cast<double>(ended_tunnels_));
}

void TunnelTurnover::update_turnover(double age_seconds) {
    update_rate_estimate(tunnel_end_rate_, ended_since_tick_, std::clamp(age_seconds, 1.0, 20.0));
    ended_tunnels_ += ended_since_tick_;
    for (const auto& endpoint : endpoint_table_.endpoints())
        total_open_seconds_ += endpoint.open_tunnels * static_cast<double>(tick_interval) / second;
    ended_since_tick_ = 0;
}

}  // namespace lemonstair
