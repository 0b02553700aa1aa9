/// Estimates the capacities and loads of endpoints: from the load totals that nodes publish, else from the
/// load reports of endpoints, and without either from assumptions.
#pragma once
#include <vector>

#include "balance/endpoint.h"
#include "balance/load_samples.h"
#include "balance/record_table.h"

namespace lemonstair {

class EndpointTable;
class NodeContext;
class PeerTable;
class SlowStart;

class LoadEstimator {
  public:
    LoadEstimator(NodeContext& node, EndpointTable& endpoint_table, PeerTable& peer_table,
                  SlowStart& slow_start, RecordTable& records);
    LoadEstimator(const LoadEstimator&) = delete;
    LoadEstimator& operator=(const LoadEstimator&) = delete;

    /// Count towards the share of tunnels that are cut off soon after opening.
    void on_tunnel_opened() { ++recently_opened_; }
    void on_early_loss() { ++recent_early_losses_; }
    /// Adds a measured load of a tunnel to the means.
    void learn_tunnel_load(std::uint32_t traffic_class, double measured);
    /// The mean load of the class's tunnels; of all tunnels where none of the class has been measured.
    double mean_load_of_class(std::uint32_t traffic_class) const;
    void set_record_sample(RecordTable::SampledLoad sample) { record_sample_ = sample; }
    /// Decays the values that look back for a few seconds only. Called each tick.
    void decay_recent_loads();
    /// The mean load of a tunnel; a default before any has been measured.
    double mean_load() const;
    /// The capacity of an endpoint, reduced in slow start: as learned, or else estimated from its size and
    /// the fleet's capacity per unit of size.
    double capacity(const Endpoint& endpoint) const;
    /// Whether nothing is known about the endpoint's load: there is no gossip and no recent load report. The
    /// endpoint is then assumed to be half full, to be fuller the more tunnels of this node (on any endpoint)
    /// are cut off soon after opening, and to be overloaded if it has just cut one off. Otherwise, in a fleet
    /// too small for its tunnels, each node would find each full endpoint only by tunnels that are cut off
    /// and reconnect.
    bool has_no_load_data(const Endpoint& endpoint) const;
    /// Whether the endpoint's load report is known, but not what other nodes have placed since, because there
    /// is no gossip. The endpoint then counts as at least half full, and free capacity only raises its
    /// weight: otherwise all nodes would crowd the endpoint with the lightest report.
    bool misses_other_nodes(const Endpoint& endpoint) const;
    /// The utilization that is assumed after the endpoint cut off a tunnel; negative once this has decayed.
    double utilization_after_loss(const Endpoint& endpoint) const;
    /// The estimated load on the endpoint, from all nodes.
    double total_load(const Endpoint& endpoint) const;
    /// The utilization of the endpoint at a given load; at least 1.1 while its messages are slow.
    double utilization_at(const Endpoint& endpoint, double load) const;
    double utilization(const Endpoint& endpoint) const;
    /// Whether the endpoint may be used and its utilization is below `limit`.
    bool has_headroom(const Endpoint& endpoint, double limit) const;
    /// Updates what holds for the whole fleet: whether all load totals are known, the mean utilization and
    /// the capacity per unit of size.
    void update_fleet_estimates();
    /// Estimates where other nodes have placed `load` that no report shows yet. They have read the same
    /// reports and choose as this node would, by the weights `chances`: endpoints with a light report fill up
    /// and those with a heavy one empty, until they reach the fleet's mean. Without this estimate all nodes
    /// would herd on the few endpoints whose last report was light.
    void estimate_unseen_placements(double load, const std::vector<double>& chances);
    /// Messages at the endpoint are delayed by `delay`, as measured or by the estimated backlog.
    void on_slow_message(Endpoint& endpoint, Ticks delay);
    /// Applies a load report that came with a health check of this node, and learns the endpoint's capacity
    /// from it where load totals are known.
    void on_health_report(Endpoint& endpoint, const LoadReport& report);
    /// Counts a new placement as pending load of the endpoint until reports and load totals contain it.
    void add_pending_load(std::uint32_t index, double load);
    /// Removes pending load that was placed longer than `max_age` ago.
    void expire_pending_loads(Ticks max_age);
    /// Total load over total capacity, of the endpoints whose load is known.
    double fleet_utilization() const { return fleet_utilization_; }
    /// Whether the load of each live node on each endpoint is known here.
    bool load_totals_known() const { return load_totals_known_; }

  private:
    friend class StateCodec;

    double assumed_utilization(const Endpoint& endpoint) const;
    // The share of the tunnels opened in the last 3 s or so that were cut off soon after.
    double recent_loss_ratio() const;
    // How full an endpoint in slow start may be, relative to others: it starts empty and fills until the end
    // of its slow start. 1 for other endpoints.
    double slow_start_fill(const Endpoint& endpoint) const;
    // The reported utilization. Without a report, the fleet's mean, so that nodes do not crowd the endpoint
    // as if it were empty; in slow start zero, since its quota protects it.
    double reported_or_fleet_utilization(const Endpoint& endpoint) const;
    bool is_unreported_in_slow_start(const Endpoint& endpoint) const;
    // Whether messages have been slow for more than half a second, and so for longer than a short pause of
    // the endpoint. Its reports then lag behind its actual state.
    bool is_slow(const Endpoint& endpoint) const;
    // Learns the capacity per unit of size from the sampled records, given that all endpoints together use
    // `used` units. Records of tunnels that were open before this node started arrive only as they are
    // refreshed. The estimate is therefore kept between the capacity by the load known so far and the
    // capacity by the load expected once all of these records have arrived.
    void learn_capacity(double used);
    // Estimates queued work from reported utilizations above 1, where message delays are not measured.
    void update_backlog(Endpoint& endpoint, double utilization);

    NodeContext& node_;
    EndpointTable& endpoint_table_;
    PeerTable& peer_table_;
    SlowStart& slow_start_;
    RecordTable& records_;
    std::vector<RecentPlacement> recent_placements_;
    std::vector<RunningMean> traffic_class_load_;
    RunningMean overall_load_;
    RecordTable::SampledLoad record_sample_;  // as of the last scan of the records
    double capacity_per_size_ = 2.5;          // standard cores per unit of size; 2.5 until it is learned
    double fleet_utilization_ = 0;
    double recently_opened_ = 0;      // tunnels; decays
    double recent_early_losses_ = 0;  // of these, tunnels that were cut off soon after; decays
    bool load_totals_known_ = false;
};

}  // namespace lemonstair
