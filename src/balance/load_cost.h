/// What load costs, in connections served late: the price by which endpoints are compared and tunnels shed.
#pragma once
#include <vector>

#include "balance/endpoint.h"

namespace lemonstair {

class LoadEstimator;
class NodeContext;

class LoadCost {
  public:
    LoadCost(NodeContext& node, LoadEstimator& load);
    LoadCost(const LoadCost&) = delete;
    LoadCost& operator=(const LoadCost&) = delete;

    /// The cost of adding `more` load, in mean tunnels, at a utilization: the slope of x * late(x), in
    /// connections served late.
    double late_cost(double utilization, double added) const;
    /// The utilization at which a copy of a group is priced at least: a copy stays as endpoints fill up,
    /// which reports do not show while tunnels open before this node's start are still becoming known.
    double group_copy_utilization() const;
    double group_copy_cost(std::uint32_t group) const;
    /// The average extra cost of knowing a utilization only to within utilization_deviation: cost grows
    /// faster the fuller an endpoint is. Without it a small price, of crossing zones, would decide
    /// everything where no load is known. An endpoint in slow start began empty, so more is known of it.
    double uncertainty_cost() const;
    double load_cost(const Endpoint& endpoint, double load) const;
    /// The cost to others above which a tunnel is rejected. In an overload this sheds the heavy tunnels and
    /// the classes of low priority weight first.
    double cost_limit(std::uint32_t traffic_class) const;
    double utilization_for_cost(const Endpoint& endpoint) const;

  private:
    NodeContext& node_;
    LoadEstimator& load_;
    std::vector<double> late_cost_slope_;  // by utilization, in steps
};

}  // namespace lemonstair
