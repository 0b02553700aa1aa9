/// The figures of the decision modules, with their units (docs/design.md gives their sources). Times are in
/// Ticks, loads in standard cores, utilizations are loads over capacity, costs are in connections served
/// late.
#pragma once
#include "balance/endpoint.h"
#include "failure_detector/failure_likelihood.h"

namespace lemonstair {

// The periodic tick, and what it paces.
constexpr Ticks tick_interval = second / 10;
constexpr Ticks health_check_period = second;
constexpr Ticks report_period = second;
constexpr double gossip_share = 0.02;  // of the tunnels' credit may be spent on periodic gossip and checks

// Records and their lookup.
constexpr std::size_t chain_length = 2;
constexpr std::size_t lookup_fanout = 5;                     // nodes near the tail that are asked
constexpr Ticks lookup_timeout = second / 5;                 // for each stage of a lookup
constexpr Ticks refresh_period = 10 * second;                // of a record, while its tunnel is open
constexpr Ticks refresh_grace = 12 * second;                 // a refresh arrives within this
constexpr Ticks record_lifetime = 4 * refresh_period;        // after three missed refreshes
constexpr Ticks max_stamp_lead = Ticks{48} * 3600 * second;  // a stamp further ahead is discarded

// Peers.
constexpr Ticks peer_timeout = 5 * second / 2;

// Load estimates.
constexpr Ticks placement_visible_after = 2 * second;  // in reports and load totals
constexpr double unreported_decay = 1 - static_cast<double>(tick_interval) / placement_visible_after;
constexpr Ticks report_expiry = 10 * second;
constexpr double group_copy_tunnels = 3;  // the load of a copy of a group, in mean tunnels
constexpr double default_tunnel_load = 0.05;
constexpr double default_tunnel_lifetime = 60;  // s, before any tunnel has ended
constexpr int min_load_samples = 8;
constexpr double assumed_mean_utilization = 0.5;  // of an endpoint without load data
constexpr double lost_connection_utilization = 1.1, lost_connection_decay = 15;  // the decay in s
constexpr double max_backlog = 2;                                                // s of work
constexpr Ticks inherited_tunnels_settle = 5 * second;  // tunnels open before a start are known by then
constexpr Ticks early_loss_window = 3 * second;         // as long as admission control looks back

// Costs. The part of messages that are late at utilization x is taken as exp(-late_exponent * (1 - x)).
constexpr double late_exponent = 8, late_cost_steps = 256, max_utilization = 3;
constexpr double utilization_deviation = 0.29;  // of a utilization that may be anything from 0 to 1
constexpr double weight_floor = 1e-9;           // no weight and no total reaches zero
constexpr double shed_cost = 1.5;               // that a tunnel of mean priority may cause

// Group affinity.
constexpr int default_affinity_targets = 4;        // of a group, where endpoints' loads are unknown
constexpr double affinity_max_utilization = 0.65;  // from here on a group is given another target
constexpr Ticks affinity_target_lifetime = 60 * second;

// Slow start.
constexpr double slow_start_safety = 0.8;     // of the rate that an endpoint takes: its capacity is estimated
constexpr double lease_min_gain = 0.02;       // that waiting for a lease must save
constexpr Ticks lease_timeout = second / 50;  // where the tunnel could go elsewhere
constexpr int lease_fanout = 2;               // requests at a time

// Outlier detection.
constexpr Ticks probation_interval = 2 * second;
constexpr Ticks line_timeout = second;  // a healthy endpoint answers a line at once

// Admission control. The allowance lets about one setup a second through while admission is closed.
constexpr double admission_decay = failure_detector::outcome_decay, admission_allowance = 4;

// Load reports.
constexpr double reported_change = 0.1;  // of a utilization, that is published after the usual interval
constexpr int not_report_owner = 3;      // the rank of a node that is none of an endpoint's three owners

// Rebalancing.
constexpr double migrate_above = 0.8;        // utilization
constexpr double migration_min_gain = 0.5;   // that a migration must save
constexpr double migrations_per_tunnel = 5;  // the rate of migrations over that of ending tunnels

/// Moves an estimated rate a second towards what was counted in one tick, over a window in seconds.
inline void update_rate_estimate(double& per_second, double counted, double window) {
    per_second += (counted - per_second * tick_interval / second) / window;
}

}  // namespace lemonstair
