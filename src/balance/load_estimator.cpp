#include "balance/load_estimator.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "balance/constants.h"
#include "balance/endpoint_table.h"
#include "balance/node_context.h"
#include "balance/peer_table.h"
#include "balance/record_table.h"
#include "balance/slow_start.h"

namespace lemonstair {

LoadEstimator::LoadEstimator(NodeContext& node, EndpointTable& endpoint_table, PeerTable& peer_table,
                             SlowStart& slow_start, RecordTable& records)
    : node_(node),
      endpoint_table_(endpoint_table),
      peer_table_(peer_table),
      slow_start_(slow_start),
      records_(records),
      traffic_class_load_(node.config().traffic_classes.size()) {
    load_totals_known_ = node.node_slots() == 1;
}

double LoadEstimator::mean_load() const {
    return overall_load_.count > 0 ? overall_load_.value : default_tunnel_load;
}

double LoadEstimator::capacity(const Endpoint& endpoint) const {
    return std::max(
        0.01, (load_totals_known_ && endpoint.learned_capacity > 0 ? endpoint.learned_capacity
                                                                   : endpoint.size * capacity_per_size_) *
                  slow_start_.slow_start_factor(endpoint));
}

bool LoadEstimator::has_no_load_data(const Endpoint& endpoint) const {
    return !load_totals_known_ && !node_.gossip_enabled() &&
           (std::isnan(endpoint.utilization) || node_.now() - endpoint.utilization_at > report_expiry);
}

bool LoadEstimator::misses_other_nodes(const Endpoint& endpoint) const {
    return !load_totals_known_ && !node_.gossip_enabled() && !has_no_load_data(endpoint);
}

double LoadEstimator::utilization_after_loss(const Endpoint& endpoint) const {
    return lost_connection_utilization * (1 - static_cast<double>(node_.now() - endpoint.connection_lost_at) /
                                                  second / lost_connection_decay);
}

double LoadEstimator::total_load(const Endpoint& endpoint) const {
    // This node's own few tunnels are not added: they would make its estimate differ from that of other
    // nodes.
    if (has_no_load_data(endpoint)) return assumed_utilization(endpoint) * capacity(endpoint);
    if (!load_totals_known_)
        return endpoint.pending_load +
               std::max(0.0, endpoint.unreported_load +
                                 reported_or_fleet_utilization(endpoint) * capacity(endpoint));
    const double copies =
        node_.config().groups_enabled ? group_copy_tunnels * records_.groups().group_count(endpoint.id) : 0;
    return endpoint.own_load + endpoint.pending_load + endpoint.load_on_other_nodes + copies * mean_load();
}

double LoadEstimator::utilization_at(const Endpoint& endpoint, double load) const {
    const double utilization = load / capacity(endpoint);
    return is_slow(endpoint) ? std::max(utilization, 1.1) : utilization;
}

double LoadEstimator::utilization(const Endpoint& endpoint) const {
    return utilization_at(endpoint, total_load(endpoint));
}

bool LoadEstimator::has_headroom(const Endpoint& endpoint, double limit) const {
    return endpoint.state == EndpointState::active && !endpoint.ejected && utilization(endpoint) < limit;
}

void LoadEstimator::update_fleet_estimates() {
    const auto totals_unknown = [&](const Peer& peer) {
        return &peer != &peer_table_.peers()[node_.config().own_node] && peer.alive &&
               node_.now() - peer.load_totals_at >= 4 * report_period;
    };
    const auto unknown_count =
        std::count_if(peer_table_.peers().begin(), peer_table_.peers().end(), totals_unknown);
    if (load_totals_known_ != (unknown_count == 0))
        node_.log_line("load estimates are now based on %s; load totals of %d nodes are unknown",
                       load_totals_known_ ? "load reports" : "load totals", int(unknown_count));
    load_totals_known_ = unknown_count == 0;
    // Sums over all endpoints, and over those whose capacity (or, without load totals, utilization) is known.
    double known_sum = 0, known_size = 0, listed_size = 0, total = 0, total_capacity = 0;
    for (const auto& endpoint : endpoint_table_.endpoints()) {
        listed_size += endpoint.state != EndpointState::active || is_unreported_in_slow_start(endpoint)
                           ? 0
                           : endpoint.size;
        if (endpoint.state != EndpointState::active ||
            (!load_totals_known_ && std::isnan(endpoint.utilization) && !has_no_load_data(endpoint)))
            continue;
        total += total_load(endpoint);
        total_capacity += capacity(endpoint);
        if (load_totals_known_ ? endpoint.learned_capacity <= 0 : std::isnan(endpoint.utilization)) continue;
        known_sum += load_totals_known_ ? endpoint.learned_capacity : endpoint.utilization * endpoint.size;
        known_size += endpoint.size;
    }
    fleet_utilization_ = total_capacity > 0 ? total / total_capacity : 0;
    // Without load totals the total load is estimated from the records held here: each record is held at
    // three nodes.
    if (load_totals_known_ && known_size > 0) capacity_per_size_ = known_sum / known_size;
    if (!load_totals_known_ && known_sum > 0.05 * known_size)
        learn_capacity(known_sum * listed_size / known_size);
}

void LoadEstimator::estimate_unseen_placements(double load, const std::vector<double>& chances) {
    double total_chance = 0, total_capacity = 0;
    for (std::size_t i = 0; i < endpoint_table_.endpoints().size(); ++i) {
        total_chance += chances[i];
        total_capacity += chances[i] > 0 ? capacity(endpoint_table_.endpoints()[i]) : 0;
    }
    for (std::size_t i = 0; i < endpoint_table_.endpoints().size(); ++i) {
        Endpoint& endpoint = endpoint_table_.endpoints()[i];
        if (chances[i] <= 0 || std::isnan(endpoint.utilization)) continue;
        const double expected_change =
            load * (chances[i] / total_chance - capacity(endpoint) / total_capacity);
        const double gap_to_mean = fleet_utilization_ * capacity(endpoint) - total_load(endpoint);
        if (expected_change * gap_to_mean <= 0) continue;
        const double step = std::abs(expected_change) < std::abs(gap_to_mean) ? expected_change : gap_to_mean;
        endpoint.unreported_load += step;
        endpoint.recent_unreported_load += step;
    }
}

void LoadEstimator::on_slow_message(Endpoint& endpoint, Ticks delay) {
    // A new run begins after 1.5 s without a slow message, or after a message that met the objective.
    if (node_.now() - endpoint.slow_message_at > 3 * second / 2 ||
        endpoint.slow_message_delay <= node_.shortest_message_objective())
        endpoint.slow_messages_since = node_.now();
    endpoint.slow_message_at = node_.now();
    endpoint.slow_message_delay = delay;
}

void LoadEstimator::on_health_report(Endpoint& endpoint, const LoadReport& report) {
    // The first value that the report contains; a backlog is added to it.
    double utilization = report.load;
    if (std::isnan(utilization)) utilization = report.utilization;
    if (std::isnan(utilization) && !std::isnan(report.inflight))
        utilization = report.inflight * mean_load() / (endpoint.size * capacity_per_size_);
    if (std::isnan(utilization) && !std::isnan(report.queue))
        utilization = 0.5 + report.queue / (10 * endpoint.size);
    if (!std::isnan(report.backlog_seconds))
        utilization = (std::isnan(utilization) ? 0 : utilization) + report.backlog_seconds;
    if (std::isnan(utilization)) return;
    if (!node_.config().reports_message_delay) update_backlog(endpoint, utilization);
    endpoint.on_load_report(utilization, node_.now());
    if (utilization == endpoint.last_reported_load || !load_totals_known_)
        return;  // the report has not been refreshed, or the load on the endpoint is not known
    endpoint.last_reported_load = utilization;
    const double load = total_load(endpoint);
    if (utilization < 0.1 || load < 2 * mean_load() || overall_load_.count < min_load_samples)
        return;  // too little load to learn from
    const double observed_capacity = load / utilization / slow_start_.slow_start_factor(endpoint);
    endpoint.learned_capacity =
        endpoint.learned_capacity > 0
            ? endpoint.learned_capacity + (observed_capacity - endpoint.learned_capacity) * 0.4
            : observed_capacity;
}

void LoadEstimator::add_pending_load(std::uint32_t index, double load) {
    endpoint_table_.endpoints()[index].pending_load += load;
    recent_placements_.push_back({node_.now(), index, load});
}

void LoadEstimator::expire_pending_loads(Ticks max_age) {
    std::size_t count = 0;
    for (; count < recent_placements_.size() && node_.now() - recent_placements_[count].placed_at > max_age;
         ++count)
        endpoint_table_.endpoints()[recent_placements_[count].endpoint_index].pending_load =
            std::max(0.0, endpoint_table_.endpoints()[recent_placements_[count].endpoint_index].pending_load -
                              recent_placements_[count].load);
    recent_placements_.erase(recent_placements_.begin(),
                             recent_placements_.begin() + static_cast<std::ptrdiff_t>(count));
}

double LoadEstimator::assumed_utilization(const Endpoint& endpoint) const {
    const double mean_utilization =
        assumed_mean_utilization +
        (lost_connection_utilization - assumed_mean_utilization) * std::min(1.0, 2 * recent_loss_ratio());
    return std::max(mean_utilization * slow_start_fill(endpoint), utilization_after_loss(endpoint));
}

double LoadEstimator::recent_loss_ratio() const {
    return recent_early_losses_ / std::max(recently_opened_, 4.0);
}

double LoadEstimator::slow_start_fill(const Endpoint& endpoint) const {
    return slow_start_.is_warming_up(endpoint)
               ? static_cast<double>(node_.now() - endpoint.started_at) /
                     static_cast<double>(node_.config().rules.slow_start_duration)
               : 1;
}

double LoadEstimator::reported_or_fleet_utilization(const Endpoint& endpoint) const {
    return !std::isnan(endpoint.utilization)     ? std::max(endpoint.utilization, 0.0)
           : slow_start_.is_warming_up(endpoint) ? 0
                                                 : fleet_utilization_;
}

bool LoadEstimator::is_unreported_in_slow_start(const Endpoint& endpoint) const {
    return std::isnan(endpoint.utilization) && slow_start_.is_warming_up(endpoint);
}

bool LoadEstimator::is_slow(const Endpoint& endpoint) const {
    return node_.now() - endpoint.slow_message_at < 3 * second / 2 &&
           endpoint.slow_message_delay > node_.shortest_message_objective() &&
           endpoint.slow_message_at - endpoint.slow_messages_since > second / 2;
}

void LoadEstimator::learn_capacity(double used) {
    const Ticks age = node_.now() - node_.started_at();
    if (age < second || record_sample_.load <= 0) return;
    const double refreshed_share = std::min(1.0, static_cast<double>(age) / refresh_period);
    const double known_capacity = record_sample_.load * node_.placements_per_sample() / used;
    const double expected_addition =
        record_sample_.older * (1 / refreshed_share - 1) * node_.placements_per_sample() / used;
    capacity_per_size_ +=
        (std::clamp(capacity_per_size_, known_capacity, known_capacity + expected_addition) -
         capacity_per_size_) *
        0.2;
}

void LoadEstimator::update_backlog(Endpoint& endpoint, double utilization) {
    const Ticks since = std::min(node_.now() - endpoint.utilization_at, 2 * second);
    endpoint.backlog_estimate =
        std::clamp(endpoint.backlog_estimate + (utilization - 1) * static_cast<double>(since) / second, 0.0,
                   max_backlog);
    if (endpoint.backlog_estimate > 0)
        on_slow_message(endpoint, static_cast<Ticks>(endpoint.backlog_estimate * second));
}

void LoadEstimator::learn_tunnel_load(std::uint32_t traffic_class, double measured) {
    traffic_class_load_[traffic_class].add(measured);
    overall_load_.add(measured);
}

double LoadEstimator::mean_load_of_class(std::uint32_t traffic_class) const {
    return traffic_class_load_[traffic_class].count > 0 ? traffic_class_load_[traffic_class].value
                                                        : mean_load();
}

void LoadEstimator::decay_recent_loads() {
    recently_opened_ *= admission_decay;
    recent_early_losses_ *= admission_decay;
    for (auto& endpoint : endpoint_table_.endpoints()) endpoint.recent_unreported_load *= unreported_decay;
}

}  // namespace lemonstair
