#include "balance/gossip_budget.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "balance/constants.h"
#include "balance/endpoint_table.h"
#include "balance/node_context.h"

namespace lemonstair {

GossipBudget::GossipBudget(NodeContext& node, EndpointTable& endpoint_table)
    : node_(node), endpoint_table_(endpoint_table) {}

Ticks GossipBudget::affordable_interval(Ticks wanted, double price, int longest) const {
    const double paid =
        price / (gossip_share * std::max(placement_rate_ / 10 * node_.placements_per_sample(), 0.05));
    return std::clamp(static_cast<Ticks>(std::min(paid, 1e6) * second), wanted, longest * wanted);
}

bool GossipBudget::gossip_worthwhile(int times) const {
    return affordable_interval(second, node_.broadcast_cost(1) * node_.node_count() / times, 20) <=
           refresh_period;
}

void GossipBudget::update_gossip_intervals() {
    const auto servers = static_cast<double>(endpoint_table_.endpoints().size());
    const double reporters = std::min(node_.node_count(), servers / 8 + 1);
    load_totals_interval_ = affordable_interval(
        report_period, node_.broadcast_cost(peer::load_total_bytes * servers) * node_.node_count(), 8);
    const double word = node_.broadcast_cost(peer::load_report_bytes * servers / reporters);
    report_interval_ = affordable_interval(report_period, word * reporters, 16);
}

void GossipBudget::update_placement_rate(double age_seconds) {
    update_rate_estimate(placement_rate_, 10.0 * std::exchange(placed_since_tick_, 0),
                         std::clamp(age_seconds, 1.0, 10.0));
}

}  // namespace lemonstair
