/// What endpoints can do and what is asked of them, as far as this node knows: from the load totals that
/// nodes publish, from endpoints' reports, or, with neither, from assumptions.
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

    void on_tunnel_opened() { ++recent_open_; }
    void on_early_loss() { ++recent_lost_; }
    /// A tunnel's load was measured.
    void learn_tunnel_load(std::uint32_t traffic_class, double measured);
    /// The usual load of a tunnel of a class.
    double mean_load_of_class(std::uint32_t traffic_class) const;
    void set_record_sample(RecordTable::SampledLoad sample) { record_sample_ = sample; }
    /// Fades what is remembered only for seconds.
    void decay_recent_loads();
    double mean_load() const;
    /// What an endpoint can do: learned, else its size as the others of known size do.
    double capacity(const Endpoint& endpoint) const;
    /// No load totals and no recent report of the endpoint. It is then assumed to be half full; the fuller
    /// the more of this node's tunnels, on any endpoint, are cut off soon after opening; and overloaded if
    /// it cut one off lately. In a fleet too small for its tunnels each node would otherwise find each full
    /// endpoint alone, by tunnels that are cut off and reconnect.
    bool has_no_load_data(const Endpoint& endpoint) const;
    /// The endpoint's report is known, but not what other nodes have placed since. To keep all nodes from
    /// crowding the endpoint with the lightest report, it counts as at least half full, and free capacity
    /// only raises its weight.
    bool misses_other_nodes(const Endpoint& endpoint) const;
    double utilization_after_loss(const Endpoint& endpoint) const;
    double total_load(const Endpoint& endpoint) const;
    double utilization_at(const Endpoint& endpoint, double load) const;
    double utilization(const Endpoint& endpoint) const;
    bool has_headroom(const Endpoint& endpoint, double limit) const;
    void update_fleet_estimates();
    /// A report ages: other nodes have read it too and choose by it as this one would, by weights
    /// `chances`. What it favours fills and what it shuns empties meanwhile, up to the fleet's average.
    /// Estimating this avoids herding on the few endpoints whose last report was light.
    void estimate_unseen_placements(double load, const std::vector<double>& chances);
    void on_slow_message(Endpoint& endpoint, Ticks delay);
    void on_health_report(Endpoint& endpoint, const LoadReport& report);
    /// What is placed shows in reports later: until then it counts as pending there.
    void add_pending_load(std::uint32_t index, double load);
    void expire_pending_loads(Ticks older);
    double fleet_utilization() const { return fleet_utilization_; }
    bool load_totals_known() const { return load_totals_known_; }

  private:
    friend class StateCodec;

    double assumed_utilization(const Endpoint& endpoint) const;
    // Of the tunnels that opened in the last 3 s or so, those that were cut off soon after.
    double recent_loss_ratio() const;
    // An endpoint that has just started is empty, and may fill over its whole slow start.
    double slow_start_fill(const Endpoint& endpoint) const;
    // An endpoint without a report is assumed to carry the fleet's average, so that nodes do not crowd it
    // as if it were empty. In slow start it does count as empty, and its quota protects it.
    double reported_or_fleet(const Endpoint& endpoint) const;
    bool is_unreported_warming(const Endpoint& endpoint) const;
    // Messages take long for longer than a pause: then the reports are behind what the endpoint can do
    // now.
    bool is_slow(const Endpoint& endpoint) const;
    // What a unit of size can do, of which all reported together use `used` units. The records of tunnels
    // that stood before this node started come as they are refreshed; of these it has at least that part.
    void learn_capacity(double used);
    // Estimates queued work, where no message delays are reported, from what is asked beyond the capacity.
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
    double capacity_per_size_ = 2.5;
    double fleet_utilization_ = 0;
    double recent_open_ = 0;          // tunnels opened lately
    double recent_lost_ = 0;          // of these, cut off soon after
    bool load_totals_known_ = false;  // each live node's load on each endpoint is known here
};

}  // namespace lemonstair
