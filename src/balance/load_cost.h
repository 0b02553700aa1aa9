/// Converts load to a cost in connections served late. The cost decides between endpoints, and a tunnel that
/// would cost more than a limit is rejected.
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

    /// The cost of adding `added` load, in mean tunnels, at a utilization x: the slope of x * late(x) times
    /// `added`, where late(x) is the share of late messages.
    double late_cost(double utilization, double added) const;
    /// The lowest utilization at which the cost of another copy of a group is computed. It is above the
    /// fleet's mean, since a copy stays while endpoints fill up. Shortly after this node's start it is at
    /// least 0.5 instead: reports do not show how full endpoints are while the tunnels that were open before
    /// are still becoming known.
    double group_copy_utilization() const;
    /// The least cost of another copy of a group. 0 without a group, and where load totals are known: there
    /// the load of the copy is added to that of the tunnel.
    double group_copy_cost(std::uint32_t group) const;
    /// The mean extra cost of knowing a utilization only to within utilization_deviation: cost grows faster
    /// the fuller an endpoint is. Without it a small cost, such as that of crossing zones, would decide every
    /// placement where no load is known. It does not apply to an endpoint in slow start, whose load is better
    /// known because it started empty.
    double uncertainty_cost() const;
    /// The cost of placing `load`, in standard cores, on the endpoint.
    double load_cost(const Endpoint& endpoint, double load) const;
    /// The cost to other tunnels above which a tunnel of the class is rejected. In an overload this sheds
    /// heavy tunnels and classes of low priority weight first.
    double cost_limit(std::uint32_t traffic_class) const;
    /// The utilization that costs on the endpoint are computed at: at least half where the load that other
    /// nodes have placed since its report is unknown.
    double utilization_for_cost(const Endpoint& endpoint) const;

  private:
    NodeContext& node_;
    LoadEstimator& load_;
    std::vector<double> late_cost_slope_;  // by utilization, in steps of 1 / late_cost_steps
};

}  // namespace lemonstair
