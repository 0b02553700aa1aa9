#include "balance/load_cost.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "balance/constants.h"
#include "balance/load_estimator.h"
#include "balance/node_context.h"

namespace lemonstair {

LoadCost::LoadCost(NodeContext& node, LoadEstimator& load) : node_(node), load_(load) {
    for (double utilization = 0; utilization <= max_utilization; utilization += 1 / late_cost_steps)
        late_cost_slope_.push_back((1 + late_exponent * utilization) *
                                   std::exp(-late_exponent * (1 - utilization)));
}

double LoadCost::late_cost(double utilization, double added) const {
    return late_cost_slope_[static_cast<std::size_t>(std::clamp(utilization, 0.0, max_utilization) *
                                                     late_cost_steps)] *
           added;
}

double LoadCost::group_copy_utilization() const {
    return node_.now() - node_.started_at() < inherited_tunnels_settle
               ? std::max(0.5, load_.fleet_utilization())
               : load_.fleet_utilization() + 0.1;
}

double LoadCost::group_copy_cost(std::uint32_t group) const {
    return group != 0 && !load_.load_totals_known() ? late_cost(group_copy_utilization(), group_copy_tunnels)
                                                    : 0;
}

double LoadCost::uncertainty_cost() const {
    return (late_cost(assumed_mean_utilization - utilization_deviation, 1) +
            late_cost(assumed_mean_utilization + utilization_deviation, 1)) /
               2 -
           late_cost(assumed_mean_utilization, 1);
}

double LoadCost::load_cost(const Endpoint& endpoint, double load) const {
    return late_cost(utilization_for_cost(endpoint) + load / load_.capacity(endpoint) / 2,
                     load / load_.mean_load());
}

double LoadCost::cost_limit(std::uint32_t traffic_class) const {
    return shed_cost * node_.config().traffic_classes[traffic_class].priority_weight /
           node_.mean_priority_weight();
}

double LoadCost::utilization_for_cost(const Endpoint& endpoint) const {
    return load_.misses_other_nodes(endpoint)
               ? std::max(load_.utilization(endpoint), assumed_mean_utilization)
               : load_.utilization(endpoint);
}

}  // namespace lemonstair
