/// How often periodic gossip and health checks are affordable: their cost is bounded by a share of the credit
/// of the tunnels placed in the fleet, estimated from the placements that this node sees.
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

    void count_placement() { ++placed_since_tick_; }
    void set_placement_rate(double rate) { placement_rate_ = rate; }
    void update_placement_rate(double age_seconds);
    /// The interval at which something periodic is affordable: its price, that of a round of all nodes, is
    /// paid by a share of the credit of the tunnels that all nodes place. Never below `wanted`, nor above
    /// `longest` times it.
    Ticks affordable_interval(Ticks wanted, double price, int longest) const;
    /// Whether starts and failures of nodes may be broadcast: if all nodes did so, the tunnels placed in
    /// one refresh period would pay for it. Bounds the gossip when many nodes start or end at once; without
    /// it, refreshes repair the records.
    bool gossip_worthwhile(int times = 1) const;
    void update_gossip_intervals();
    double placement_rate() const { return placement_rate_; }
    Ticks load_totals_interval() const { return load_totals_interval_; }
    Ticks report_interval() const { return report_interval_; }

  private:
    friend class StateCodec;

    NodeContext& node_;
    EndpointTable& endpoint_table_;
    double placement_rate_ = 0;  // tunnels seen placed here and by gossip, in 10 s
    std::uint32_t placed_since_tick_ = 0;
    Ticks load_totals_interval_ = second;
    Ticks report_interval_ = second;
};

}  // namespace lemonstair
