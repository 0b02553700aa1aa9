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

    /// What it costs all on an endpoint, in connections served late, when its load grows from x by a load
    /// of `more`, which is counted in mean connections: the slope of x * late(x).
    double late_cost(double utilization, double more) const;
    /// The load at which a copy of a group is priced at least: it stays as the eps fill up, which reports do
    /// not show while what was open before a start comes in.
    double group_copy_utilization() const;
    double group_copy_cost(std::uint32_t group) const;
    /// What it costs more, on average, that a load is known only to within `unsure`: harm grows the faster
    /// the fuller an endpoint is. Guards against a small price (of crossing zones) that decides all where no
    /// load is known. Of a cold endpoint more is known: it began empty.
    double uncertainty_cost() const;
    double load_cost(const Endpoint& endpoint, double load) const;
    /// What a tunnel may cost the others, in connections served late, before it is better declined. Guards
    /// against an overload in which nobody is served: the heavy and the little credited give way first.
    double max_cost_of(std::uint32_t traffic_class) const;
    double priced_utilization(const Endpoint& endpoint) const;

  private:
    friend class StateCodec;

    NodeContext& node_;
    LoadEstimator& load_;
    std::vector<double> late_cost_slope_;  // by utilization, in steps
};

}  // namespace lemonstair
