/// What a node knows about each server and each tunnel. Loads are in standard cores, utilizations are loads
/// divided by capacity, times are Ticks of the node's clock.
#pragma once
#include <array>
#include <cstdint>
#include <limits>
#include <vector>

#include "balance/balance.h"
#include "balance/id_index.h"
#include "failure_detector/failure_likelihood.h"
#include "failure_detector/observations.h"
#include "quota/quota_schedule.h"

namespace lemonstair {

constexpr Ticks second = 10000;
constexpr Ticks never = std::numeric_limits<Ticks>::max() / 4;  // sums with other times do not overflow
constexpr std::uint32_t none = IdIndex::none;                   // stands for a missing index or id

enum class TunnelState : std::uint8_t {
    idle,
    looking_up,  // the record of a mid-flow tunnel is being looked up at other nodes
    waiting,     // for an endpoint that may be used, or for a leased unit of quota
    setting_up,  // an attempt is pending
    open,
    migrating,  // the client was told to reconnect
    abandoned   // the client disconnected while an attempt was pending
};

/// What the node knows about one tunnel.
struct TrackedTunnel {
    std::uint64_t id = 0, key = 0;
    Ticks deadline = 0, arrived_at = 0, attempt_started_at = 0;
    Ticks stamp = 0;               // the version of its record
    Ticks refresh_records_at = 0;  // when its record is published again
    Ticks wait_until = 0;          // the end of a lookup, or of waiting for an endpoint
    Ticks lease_wait_until = 0;    // the end of waiting for a lease; 0: has not waited for one
    Ticks may_have_run_since = 0;  // when the first attempt that may have run was sent
    double load = 0;
    std::uint32_t traffic_class = 0, group = 0;
    std::uint32_t endpoint_index = none;
    std::uint32_t may_have_run_on = none;  // endpoint index of the first attempt that may have run
    std::array<std::uint32_t, 4> tried_endpoints{none, none, none, none};
    int attempts = 0;
    int negative_answers = 0, queried_nodes = 0;  // in the lookup at the nodes near the tail of the chain
    TunnelState state = TunnelState::idle;
    bool has_key = false, mid_flow = false, reconnect = false, queried_all = false;
};

/// What the node knows about one server.
struct Endpoint {
    // From the endpoint list.
    std::uint32_t id = 0, zone = 0, cell = 0;
    EndpointState state = EndpointState::active;
    bool listed = false;          // contained in the list that is being received
    double size = 1;              // relative capacity
    Ticks drain_notified_at = 0;  // the start of the drain's grace period
    Ticks listed_start = 0;       // the start of its incarnation, as listed
    Ticks started_at = 0;         // the same, or later if an outage may have been a restart

    // Outlier detection.
    bool ejected = false, unresponsive = false;
    bool contact_lost = false;                                 // was unreachable, so it may have restarted
    failure_detector::FailureLikelihood failure_likelihood;    // from setups and health checks
    failure_detector::Observations unresponsive_observations;  // by nodes that got no answer from it
    failure_detector::Observations failure_observations;       // by nodes whose setups failed on it
    Ticks ejected_at = 0, probation_at = 0;  // from probation_at on, a tunnel's first attempt may try it
    Ticks succeeded_at = -never;             // the last successful setup of this node
    Ticks failed_at = -never;                // when this node last got no answer
    Ticks failure_reported_at = -never;      // when this node last reported the failure to the report owners
    Ticks gossip_ejection_until = 0;         // the end of an ejection by gossip alone; 0: not ejected so
    Ticks failure_published_at = -never;     // when a report owner last broadcast the failure
    bool failure_published = false;          // and no load report has been published since
    std::uint32_t failed_health_checks = 0;  // consecutive

    // Health checks.
    bool health_check_pending = false;
    Ticks health_checked_at = -never, health_check_passed_at = -never;

    // Load.
    double learned_capacity = 0;       // from its reports and the load that it carries; 0: no estimate yet
    double last_reported_load = 0;     // the report that learned_capacity was last adjusted by
    double own_load = 0;               // of this node's tunnels
    double pending_load = 0;           // placed, but not yet contained in any load total or report
    std::vector<double> load_by_node;  // as each other node last published it
    double load_on_other_nodes = 0;    // the sum of load_by_node
    double published_load = 0;         // own_load as last published
    double utilization = LoadReport::unknown;
    double published_utilization = 0;
    Ticks utilization_at = -never, published_at = -never;
    double unreported_load = 0;         // estimate of what other nodes have placed since the last report
    double recent_unreported_load = 0;  // the part of it that is too recent to show in the next report
    double backlog_estimate = 0;        // queued work, in seconds
    std::uint32_t open_tunnels = 0;     // including pending attempts
    // The last slow message, the start of the current run of slow messages, and the delay of the last one.
    Ticks slow_message_at = -never, slow_messages_since = 0, slow_message_delay = 0;
    Ticks migrated_at = 0;              // when tunnels were last migrated off it
    Ticks connection_lost_at = -never;  // when an open tunnel on it was last cut off
    Ticks affinity_target_at = -never;  // when it last became the affinity target of a group
    std::array<std::uint32_t, 3> report_owners{none, none, none};
    int owner_rank = 0;  // of this node among the report owners, or not_report_owner
    quota::Quota quota;  // this node's quota of new tunnels while the endpoint is in slow start

    /// Resets what was learned about the previous incarnation.
    void start_incarnation(Ticks start) {
        listed_start = started_at = start;
        learned_capacity = backlog_estimate = failure_likelihood.log_likelihood_ratio = 0;
        unresponsive_observations.clear();
        failure_observations.clear();
        ejected = false;
        slow_message_delay = 0;
        utilization = LoadReport::unknown;
        unreported_load = recent_unreported_load = 0;
    }
    /// Stores a reported utilization. Load that was placed too recently to show in the report stays counted.
    void on_load_report(double reported_utilization, Ticks now) {
        utilization = reported_utilization;
        utilization_at = now;
        unreported_load = recent_unreported_load;
    }
    void set_load_of_node(std::uint32_t node, double load) {
        load_on_other_nodes += load - load_by_node[node];
        load_by_node[node] = load;
    }
};

}  // namespace lemonstair
