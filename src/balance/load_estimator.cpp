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

double LoadEstimator::total_load(const Endpoint& endpoint) const {  // of an endpoint, by all nodes
    if (has_no_load_data(endpoint))
        return assumed_utilization(endpoint) *
               capacity(endpoint);  // with its own few tunnels a node would be apart
    if (!load_totals_known_)
        return endpoint.pending_load +
               std::max(0.0, endpoint.unreported_load + reported_or_fleet(endpoint) * capacity(endpoint));
    const double copies =
        node_.config().groups_enabled ? group_copy_tunnels * records_.groups().groups_on(endpoint.id) : 0;
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
    const auto silent = [&](const Peer& p) {
        return &p != &peer_table_.peers()[node_.config().own_node] && p.alive &&
               node_.now() - p.load_totals_at >= 4 * report_period;
    };
    const auto unknown = std::count_if(peer_table_.peers().begin(), peer_table_.peers().end(), silent);
    if (load_totals_known_ != (unknown == 0))
        node_.log_line("loads by %s, %d load totals unknown", load_totals_known_ ? "reports" : "totals",
                       int(unknown));
    load_totals_known_ = unknown == 0;
    double sum = 0, size = 0, listed = 0, load = 0, all = 0;
    for (const auto& endpoint : endpoint_table_.endpoints()) {
        listed +=
            endpoint.state != EndpointState::active || is_unreported_warming(endpoint) ? 0 : endpoint.size;
        if (endpoint.state != EndpointState::active ||
            (!load_totals_known_ && std::isnan(endpoint.utilization) && !has_no_load_data(endpoint)))
            continue;
        load += total_load(endpoint);
        all += capacity(endpoint);
        if (load_totals_known_ ? endpoint.learned_capacity <= 0 : std::isnan(endpoint.utilization)) continue;
        sum += load_totals_known_ ? endpoint.learned_capacity : endpoint.utilization * endpoint.size;
        size += endpoint.size;
    }
    fleet_utilization_ = all > 0 ? load / all : 0;
    // Without load totals the total load is estimated from the records held here: each is held at three
    // nodes.
    if (load_totals_known_ && size > 0) capacity_per_size_ = sum / size;
    if (!load_totals_known_ && sum > 0.05 * size) learn_capacity(sum * listed / size);
}

void LoadEstimator::estimate_unseen_placements(double load, const std::vector<double>& chances) {
    double all = 0, rooms = 0;
    for (std::size_t i = 0; i < endpoint_table_.endpoints().size(); ++i) {
        all += chances[i];
        rooms += chances[i] > 0 ? capacity(endpoint_table_.endpoints()[i]) : 0;
    }
    for (std::size_t i = 0; i < endpoint_table_.endpoints().size(); ++i) {
        Endpoint& endpoint = endpoint_table_.endpoints()[i];
        if (chances[i] <= 0 || std::isnan(endpoint.utilization)) continue;
        const double more = load * (chances[i] / all - capacity(endpoint) / rooms);
        const double left = fleet_utilization_ * capacity(endpoint) - total_load(endpoint);
        if (more * left <= 0) continue;
        const double step = std::abs(more) < std::abs(left) ? more : left;
        endpoint.unreported_load += step;
        endpoint.recent_unreported_load += step;
    }
}

void LoadEstimator::on_slow_message(Endpoint& endpoint, Ticks delay) {
    if (node_.now() - endpoint.slow_message_at > 3 * second / 2 ||
        endpoint.slow_message_delay <= node_.shortest_message_objective())
        endpoint.slow_messages_since = node_.now();
    endpoint.slow_message_at = node_.now();
    endpoint.slow_message_delay = delay;
}

void LoadEstimator::on_health_report(Endpoint& endpoint, const LoadReport& report) {
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
    if (utilization == endpoint.last_reported_load || !load_totals_known_) return;  // not yet refreshed
    endpoint.last_reported_load = utilization;
    const double load = total_load(endpoint);
    if (utilization < 0.1 || load < 2 * mean_load() || overall_load_.count < min_load_samples)
        return;  // too little
    const double seen = load / utilization / slow_start_.slow_start_factor(endpoint);
    endpoint.learned_capacity = endpoint.learned_capacity > 0
                                    ? endpoint.learned_capacity + (seen - endpoint.learned_capacity) * 0.4
                                    : seen;
}

void LoadEstimator::add_pending_load(std::uint32_t index, double load) {
    endpoint_table_.endpoints()[index].pending_load += load;
    recent_placements_.push_back({node_.now(), index, load});
}

void LoadEstimator::expire_pending_loads(Ticks older) {
    std::size_t n = 0;
    for (; n < recent_placements_.size() && node_.now() - recent_placements_[n].placed_at > older; ++n)
        endpoint_table_.endpoints()[recent_placements_[n].endpoint_index].pending_load =
            std::max(0.0, endpoint_table_.endpoints()[recent_placements_[n].endpoint_index].pending_load -
                              recent_placements_[n].load);
    recent_placements_.erase(recent_placements_.begin(),
                             recent_placements_.begin() + static_cast<std::ptrdiff_t>(n));
}

double LoadEstimator::assumed_utilization(const Endpoint& endpoint) const {
    const double usual = assumed_mean_utilization + (lost_connection_utilization - assumed_mean_utilization) *
                                                        std::min(1.0, 2 * recent_loss_ratio());
    return std::max(usual * slow_start_fill(endpoint), utilization_after_loss(endpoint));
}

double LoadEstimator::recent_loss_ratio() const { return recent_lost_ / std::max(recent_open_, 4.0); }

double LoadEstimator::slow_start_fill(const Endpoint& endpoint) const {
    return slow_start_.is_warming_up(endpoint)
               ? static_cast<double>(node_.now() - endpoint.started_at) /
                     static_cast<double>(node_.config().rules.slow_start_duration)
               : 1;
}

double LoadEstimator::reported_or_fleet(const Endpoint& endpoint) const {
    return !std::isnan(endpoint.utilization)     ? std::max(endpoint.utilization, 0.0)
           : slow_start_.is_warming_up(endpoint) ? 0
                                                 : fleet_utilization_;
}

bool LoadEstimator::is_unreported_warming(const Endpoint& endpoint) const {
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
    const double part = std::min(1.0, static_cast<double>(age) / refresh_period);
    const double known = record_sample_.load * node_.placements_per_sample() / used;
    const double to_come = record_sample_.older * (1 / part - 1) * node_.placements_per_sample() / used;
    capacity_per_size_ += (std::clamp(capacity_per_size_, known, known + to_come) - capacity_per_size_) * 0.2;
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
    recent_open_ *= admission_decay;
    recent_lost_ *= admission_decay;
    for (auto& endpoint : endpoint_table_.endpoints()) endpoint.recent_unreported_load *= unreported_decay;
}

}  // namespace lemonstair
