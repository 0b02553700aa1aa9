/// Constants of the decision modules (docs/design.md gives their sources). Times are in Ticks, loads in
/// standard cores, utilizations are loads divided by capacity, costs are in connections served late.
#pragma once
#include "balance/endpoint.h"
#include "failure_detector/failure_likelihood.h"

namespace lemonstair {

// The periodic tick, and the work that is done on it.
constexpr Ticks tick_interval = second / 10;
constexpr Ticks health_check_period = second;
constexpr Ticks report_period = second;
constexpr double gossip_share = 0.02;  // connections that gossip and health checks may cost per placed tunnel

// Records and their lookup.
constexpr std::size_t chain_length = 2;
constexpr std::size_t lookup_fanout = 5;                     // nodes near the tail that are queried
constexpr Ticks lookup_timeout = second / 5;                 // of each stage of a lookup
constexpr Ticks refresh_period = 10 * second;                // of a record, while its tunnel is open
constexpr Ticks refresh_grace = 12 * second;                 // a refresh arrives within this time
constexpr Ticks record_lifetime = 4 * refresh_period;        // expires after three missed refreshes
constexpr Ticks max_stamp_lead = Ticks{48} * 3600 * second;  // stamps further in the future are discarded

// Peers.
constexpr Ticks peer_timeout = 5 * second / 2;

// Load estimates.
constexpr Ticks placement_visible_after = 2 * second;  // until reports and load totals contain a placement
// The factor by which recent_unreported_load decays in each tick.
constexpr double unreported_decay = 1 - static_cast<double>(tick_interval) / placement_visible_after;
constexpr Ticks report_expiry = 10 * second;  // older load reports are not used
constexpr double group_copy_tunnels = 3;  // load that a copy of a group adds to an endpoint, in mean tunnels
constexpr double default_tunnel_load = 0.05;      // before any load has been measured
constexpr double default_tunnel_lifetime = 60;    // s, before any tunnel has ended
constexpr int min_load_samples = 8;               // of tunnels' loads, before capacities are learned
constexpr double assumed_mean_utilization = 0.5;  // of an endpoint without load data
// An endpoint that has just cut off a tunnel is assumed to have this utilization, which decays to zero within
// lost_connection_decay seconds.
constexpr double lost_connection_utilization = 1.1, lost_connection_decay = 15;
constexpr double max_backlog = 2;  // queued work that is counted at most, in seconds
// Tunnels that were open before this node started are known to it after this time.
constexpr Ticks inherited_tunnels_settle = 5 * second;
// A tunnel that is cut off within this time after its setup is an early loss. Admission control looks back
// equally far.
constexpr Ticks early_loss_window = 3 * second;

// Costs. The share of messages that are late at utilization x is modelled as exp(-late_exponent * (1 - x)).
// The slope of the cost is tabulated up to max_utilization, in late_cost_steps steps per unit of utilization.
constexpr double late_exponent = 8, late_cost_steps = 256, max_utilization = 3;
constexpr double utilization_deviation = 0.29;  // standard deviation of a uniform distribution over 0 to 1
constexpr double weight_floor = 1e-9;           // keeps each weight and their total above zero
constexpr double mean_cost_limit = 1.5;  // cost up to which a tunnel of mean priority weight is accepted

// Group affinity.
constexpr int default_affinity_targets = 4;        // of a group, where the endpoints' loads are unknown
constexpr double affinity_max_utilization = 0.65;  // of a target; above it the group gets another one
constexpr Ticks affinity_target_lifetime = 60 * second;
// Pairs of a group and a zone for which notices are counted.
constexpr std::size_t max_cross_zone_notices = 65536;

// Slow start.
constexpr double slow_start_safety = 0.8;     // share of the allowed rate in use: capacity is only estimated
constexpr double lease_min_gain = 0.02;       // cost that waiting for a lease must save
constexpr Ticks lease_timeout = second / 50;  // of a tunnel that could be placed on another endpoint
constexpr int lease_fanout = 2;               // lease requests that are sent at a time

// Outlier detection.
constexpr Ticks probation_interval = 2 * second;
constexpr Ticks line_timeout = second;  // a healthy endpoint answers each line at once

// Admission control. The allowance lets about one setup a second through while admission is closed.
constexpr double admission_decay = failure_detector::outcome_decay, admission_allowance = 4;

// Load reports.
constexpr double reported_change = 0.1;  // change of a utilization that is published after the usual interval
constexpr int not_report_owner = 3;      // rank of a node that is not among an endpoint's three report owners

// Rebalancing.
constexpr double migrate_above = 0.8;        // utilization from which tunnels are migrated off an endpoint
constexpr double migration_min_gain = 0.5;   // cost that a migration must save
constexpr double migrations_per_tunnel = 5;  // allowed rate of migrations over the rate of ending tunnels

/// Updates a moving average of a rate per second with the count of one tick. `window` is its length in
/// seconds.
inline void update_rate_estimate(double& per_second, double counted, double window) {
    per_second += (counted - per_second * tick_interval / second) / window;
}

}  // namespace lemonstair
