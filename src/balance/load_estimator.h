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
    double usual_load(std::uint32_t traffic_class) const;
    void set_record_sample(RecordTable::Sampled sample) { record_sample_ = sample; }
    /// Fades what is remembered only for seconds.
    void decay_recent_loads();
    double mean_load() const;
    /// What an endpoint can do: learned, else its size as the others of known size do.
    double capacity(const Endpoint& endpoint) const;
    /// Nothing tells what an endpoint carries: neither other nodes nor a report to this one. It is then
    /// taken to be half full, the fuller the more of the node's tunnels are cut off soon after they opened,
    /// wherever that was; and past what it can do if it has cut one off lately. Guards against a fleet too
    /// small for its tunnels: each node would find each full endpoint alone, by tunnels that are cut off
    /// and come again.
    bool has_no_load_data(const Endpoint& endpoint) const;
    /// The endpoint's report is known, and nothing of what other nodes have placed there since. Guards
    /// against all nodes crowding the endpoint that its report shows as the lightest: it counts as half
    /// full, as the others do that nothing tells of, and the part that is free only makes it the likelier.
    bool misses_other_nodes(const Endpoint& endpoint) const;
    double utilization_after_loss(const Endpoint& endpoint) const;
    double total_load(const Endpoint& endpoint) const;
    double utilization_at(const Endpoint& endpoint, double load) const;
    double utilization(const Endpoint& endpoint) const;
    bool has_headroom(const Endpoint& endpoint, double limit) const;
    void update_fleet_estimates();
    /// A report grows old: the other nodes have read it too, and choose by it as this one would, whose
    /// chances `weights` are. What it favours fills meanwhile and what it shuns empties, up to what all carry
    /// on average. Guards against a herd: all nodes at the few eps that were light when they were last
    /// reported.
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
    // One that has just started is empty, and may take so little that it fills over its warm-up.
    double slow_start_fill(const Endpoint& endpoint) const;
    // One of which no report has come yet is taken to carry what the others do. Guards against all nodes at
    // those that were not reported first, as if they stood empty. Cold ones do, and their budget guards them.
    double reported_or_fleet(const Endpoint& endpoint) const;
    bool is_unreported_warming(const Endpoint& endpoint) const;
    // Messages take long for longer than a pause: then the reports are behind what the endpoint can do
    // now.
    bool is_slow(const Endpoint& endpoint) const;
    // What a unit of size can do, of which all reported together use `used` units. The records of tunnels
    // that stood before this node started come as they are refreshed; of these it has at least that part.
    void learn_capacity(double used);
    // Guards against work piled up where nothing tells of slow messages: what is asked beyond all it can do.
    void update_backlog(Endpoint& endpoint, double utilization);

    NodeContext& node_;
    EndpointTable& endpoint_table_;
    PeerTable& peer_table_;
    SlowStart& slow_start_;
    RecordTable& records_;
    std::vector<RecentPlacement> recent_placements_;
    std::vector<RunningMean> traffic_class_load_;
    RunningMean overall_load_;
    RecordTable::Sampled record_sample_;  // as of the last scan of the records
    double capacity_per_size_ = 2.5;
    double fleet_utilization_ = 0;
    double recent_open_ = 0;          // tunnels opened lately
    double recent_lost_ = 0;          // of these, cut off soon after
    bool load_totals_known_ = false;  // each live node's load on each endpoint is known here
};

}  // namespace lemonstair
