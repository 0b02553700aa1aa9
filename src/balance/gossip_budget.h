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
    /// What is told and probed again and again is paid by the tunnels placed: it is done as often as this
    /// part of their credit pays for. The price is that of a round of all nodes, the tunnels those of all
    /// nodes.
    Ticks affordable_interval(Ticks wanted, double price, int longest) const;
    /// Who has started or fallen silent is told to all where that is paid, if all nodes did so, by the
    /// tunnels of the time in which refreshes put the records right by themselves. Guards against a storm
    /// when many nodes start or end at once.
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
