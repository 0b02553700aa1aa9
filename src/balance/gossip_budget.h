/// GossipBudget: how often periodic gossip and health checks may be sent. Their cost is limited to a share of
/// the value of the tunnels placed in the fleet, which is estimated from the placements that this node sees.
#pragma once

#include "balance/endpoint.h"

namespace lemonstair {

class EndpointTable;
class NodeContext;

class GossipBudget {
  public:
    GossipBudget(NodeContext& node, EndpointTable& endpoint_table);
    GossipBudget(const GossipBudget&) = delete;
    GossipBudget& operator=(const GossipBudget&) = delete;

    /// Counts a placement of this node, or one of another node whose record arrived.
    void count_placement() { ++placed_since_tick_; }
    /// `rate`: placements seen in 10 s.
    void set_placement_rate(double rate) { placement_rate_ = rate; }
    /// In each tick. `age_seconds`: how long the node has been running.
    void update_placement_rate(double age_seconds);
    /// The shortest interval at which a periodic activity stays within the budget, where one round of it by
    /// all nodes costs `cost`. At least `min_interval`, and at most `max_factor` times that.
    Ticks affordable_interval(Ticks min_interval, double cost, int max_factor) const;
    /// Whether starts and failures of nodes may be broadcast: only if the budget of one refresh period pays
    /// for a broadcast by every node. This limits gossip when many nodes start or stop at once; without the
    /// broadcasts, refreshes repair the records. `cost_divisor`: the cost is divided by this.
    bool gossip_worthwhile(int cost_divisor = 1) const;
    /// Sets the two intervals below, for the current number of endpoints and rate of placements.
    void update_gossip_intervals();
    /// Placements seen in 10 s.
    double placement_rate() const { return placement_rate_; }
    Ticks load_totals_interval() const { return load_totals_interval_; }
    Ticks report_interval() const { return report_interval_; }

  private:
    friend class StateCodec;

    NodeContext& node_;
    EndpointTable& endpoint_table_;
    double placement_rate_ = 0;  // placements seen in 10 s, of this node and in gossip
    std::uint32_t placed_since_tick_ = 0;
    Ticks load_totals_interval_ = second;
    Ticks report_interval_ = second;
};

}  // namespace lemonstair
