// What eps can do and what is asked of them, as far as this node knows. Nothing is decided here.
#pragma once
#include <algorithm>
#include <cmath>

#include "balance/state.h"

namespace lemonstair {

constexpr Ticks report_period = second;
constexpr Ticks refresh_period = 10 * second;  // of records
constexpr double group_copy_tunnels = 3;       // of a group, in mean connections: not told, a guess
constexpr double default_tunnel_load = 0.05;   // a connection's load before any is known, in cores
constexpr Ticks report_expiry = 10 * second;
constexpr double assumed_mean_utilization = 0.5, lost_connection_utilization = 1.1,
                 lost_connection_decay = 15;  // loads; s
constexpr double max_backlog = 2;             // seconds of work

struct Loads : Memory {
    using Memory::Memory;

    double mean_load() const { return overall_load.count > 0 ? overall_load.value : default_tunnel_load; }
    // What an endpoint_id can do: learned, else its size as the others of known size do.
    double capacity(const Endpoint& endpoint) const {
        return std::max(
            0.01, (load_totals_known && endpoint.learned_capacity > 0 ? endpoint.learned_capacity
                                                                      : endpoint.size * capacity_per_size) *
                      slow_start_factor(endpoint));
    }
    // Nothing tells what an endpoint_id carries: neither other nodes nor a report to this one. It is then
    // taken to be half full, the fuller the more of the node's tunnels are cut off soon after they opened,
    // wherever that was; and past what it can do if it has cut one off lately. Guards against a fleet too
    // small for its tunnels: each node would find each full endpoint_id alone, by tunnels that are cut off
    // and come again.
    bool has_no_load_data(const Endpoint& endpoint) const {
        return !load_totals_known && !gossip_enabled() &&
               (std::isnan(endpoint.utilization) || now - endpoint.utilization_at > report_expiry);
    }
    // The endpoint_id's report is known, and nothing of what other nodes have placed there since. Guards
    // against all nodes crowding the endpoint_id that its report shows as the lightest: it counts as half
    // full, as the others do that nothing tells of, and the part that is free only makes it the likelier.
    bool misses_other_nodes(const Endpoint& endpoint) const {
        return !load_totals_known && !gossip_enabled() && !has_no_load_data(endpoint);
    }
    double assumed_utilization(const Endpoint& endpoint) const {
        const double usual =
            assumed_mean_utilization +
            (lost_connection_utilization - assumed_mean_utilization) * std::min(1.0, 2 * recent_loss_ratio());
        return std::max(usual * slow_start_fill(endpoint), utilization_after_loss(endpoint));
    }
    double utilization_after_loss(const Endpoint& endpoint) const {
        return lost_connection_utilization *
               (1 - static_cast<double>(now - endpoint.connection_lost_at) / second / lost_connection_decay);
    }
    // Of the tunnels that opened in the last 3 s or so, those that were cut off soon after.
    double recent_loss_ratio() const { return recent_lost / std::max(recent_open, 4.0); }
    // One that has just started is empty, and may take so little that it fills over its warm-up.
    double slow_start_fill(const Endpoint& endpoint) const {
        return is_warming_up(endpoint) ? static_cast<double>(now - endpoint.started_at) /
                                             static_cast<double>(config.rules.slow_start_duration)
                                       : 1;
    }
    double total_load(const Endpoint& endpoint) const {  // of an endpoint_id, by all nodes
        if (has_no_load_data(endpoint))
            return assumed_utilization(endpoint) *
                   capacity(endpoint);  // with its own few tunnels a node would be apart
        if (!load_totals_known)
            return endpoint.pending_load +
                   std::max(0.0, endpoint.unreported_load + reported_or_fleet(endpoint) * capacity(endpoint));
        const double copies =
            config.groups_enabled ? group_copy_tunnels * records.groups().groups_on(endpoint.id) : 0;
        return endpoint.own_load + endpoint.pending_load + endpoint.load_on_other_nodes +
               copies * mean_load();
    }
    // One of which no report has come yet is taken to carry what the others do. Guards against all nodes at
    // those that were not reported first, as if they stood empty. Cold ones do, and their budget guards them.
    double reported_or_fleet(const Endpoint& endpoint) const {
        return !std::isnan(endpoint.utilization) ? std::max(endpoint.utilization, 0.0)
               : is_warming_up(endpoint)         ? 0
                                                 : fleet_utilization;
    }
    bool is_unreported_warming(const Endpoint& endpoint) const {
        return std::isnan(endpoint.utilization) && is_warming_up(endpoint);
    }
    double utilization_at(const Endpoint& endpoint, double load) const {
        const double utilization = load / capacity(endpoint);
        return is_slow(endpoint) ? std::max(utilization, 1.1) : utilization;
    }
    double utilization(const Endpoint& endpoint) const {
        return utilization_at(endpoint, total_load(endpoint));
    }
    bool has_headroom(const Endpoint& endpoint, double limit) const {
        return endpoint.state == EndpointState::active && !endpoint.ejected && utilization(endpoint) < limit;
    }
    // Messages take long for longer than a pause: then the reports are behind what the endpoint_id can do
    // now.
    bool is_slow(const Endpoint& endpoint) const {
        return now - endpoint.slow_message_at < 3 * second / 2 &&
               endpoint.slow_message_delay > shortest_message_objective &&
               endpoint.slow_message_at - endpoint.slow_messages_since > second / 2;
    }
    void update_fleet_estimates() {
        const auto silent = [&](const Peer& p) {
            return &p != &peers[config.own_node] && p.alive && now - p.load_totals_at >= 4 * report_period;
        };
        const auto unknown = std::count_if(peers.begin(), peers.end(), silent);
        if (load_totals_known != (unknown == 0))
            log_line("loads by %s, %d sums unknown", load_totals_known ? "reports" : "sums", int(unknown));
        load_totals_known = unknown == 0;
        double sum = 0, size = 0, listed = 0, load = 0, all = 0;
        for (const auto& endpoint : endpoints) {
            listed += endpoint.state != EndpointState::active || is_unreported_warming(endpoint)
                          ? 0
                          : endpoint.size;
            if (endpoint.state != EndpointState::active ||
                (!load_totals_known && std::isnan(endpoint.utilization) && !has_no_load_data(endpoint)))
                continue;
            load += total_load(endpoint);
            all += capacity(endpoint);
            if (load_totals_known ? endpoint.learned_capacity <= 0 : std::isnan(endpoint.utilization))
                continue;
            sum += load_totals_known ? endpoint.learned_capacity : endpoint.utilization * endpoint.size;
            size += endpoint.size;
        }
        fleet_utilization = all > 0 ? load / all : 0;
        // Without sums, what all carry is reckoned from the records held here: each is held at three nodes.
        if (load_totals_known && size > 0) capacity_per_size = sum / size;
        if (!load_totals_known && sum > 0.05 * size) learn_capacity(sum * listed / size);
    }
    // A report grows old: the other nodes have read it too, and choose by it as this one would, whose chances
    // `weights` are. What it favours fills meanwhile and what it shuns empties, up to what all carry on
    // average. Guards against a herd: all nodes at the few eps that were light when they were last reported.
    void estimate_unseen_placements(double load, const std::vector<double>& weights) {
        double all = 0, rooms = 0;
        for (std::size_t i = 0; i < endpoints.size(); ++i) {
            all += weights[i];
            rooms += weights[i] > 0 ? capacity(endpoints[i]) : 0;
        }
        for (std::size_t i = 0; i < endpoints.size(); ++i) {
            Endpoint& endpoint = endpoints[i];
            if (weights[i] <= 0 || std::isnan(endpoint.utilization)) continue;
            const double more = load * (weights[i] / all - capacity(endpoint) / rooms);
            const double left = fleet_utilization * capacity(endpoint) - total_load(endpoint);
            if (more * left <= 0) continue;
            const double step = std::abs(more) < std::abs(left) ? more : left;
            endpoint.unreported_load += step;
            endpoint.recent_unreported_load += step;
        }
    }
    // What a unit of size can do, of which all reported together use `used` units. The records of tunnels
    // that stood before this node started come as they are refreshed; of these it has at least that part.
    void learn_capacity(double used) {
        const Ticks age = now - started_at;
        if (age < second || record_sample.load <= 0) return;
        const double part = std::min(1.0, static_cast<double>(age) / refresh_period);
        const double known = record_sample.load * placements_per_sample() / used;
        const double to_come = record_sample.older * (1 / part - 1) * placements_per_sample() / used;
        capacity_per_size +=
            (std::clamp(capacity_per_size, known, known + to_come) - capacity_per_size) * 0.2;
    }
    void on_slow_message(Endpoint& endpoint, Ticks delay) {
        if (now - endpoint.slow_message_at > 3 * second / 2 ||
            endpoint.slow_message_delay <= shortest_message_objective)
            endpoint.slow_messages_since = now;
        endpoint.slow_message_at = now;
        endpoint.slow_message_delay = delay;
    }
    // Guards against work piled up where nothing tells of slow messages: what is asked beyond all it can do.
    void update_backlog(Endpoint& endpoint, double utilization) {
        const Ticks since = std::min(now - endpoint.utilization_at, 2 * second);
        endpoint.backlog_estimate =
            std::clamp(endpoint.backlog_estimate + (utilization - 1) * static_cast<double>(since) / second,
                       0.0, max_backlog);
        if (endpoint.backlog_estimate > 0)
            on_slow_message(endpoint, static_cast<Ticks>(endpoint.backlog_estimate * second));
    }
};

}  // namespace lemonstair
