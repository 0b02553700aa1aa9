/// Endpoint: all that one node knows of one server, and TrackedTunnel: all that it knows of one tunnel. Loads
/// are in standard cores, utilizations are loads over capacity, times are on the node's clock.
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
constexpr Ticks never = std::numeric_limits<Ticks>::max() / 4;
constexpr std::uint32_t none = IdIndex::none;  // no index, no id

enum class TunnelState : std::uint8_t {
    idle,
    looking_up,  // a mid-flow tunnel's record is being looked up at other nodes
    waiting,     // for an endpoint that may be sent to, or a leased unit of quota
    setting_up,  // an attempt is out
    open,
    migrating,  // its client was told to reconnect
    abandoned   // its client disconnected while an attempt was out
};

struct TrackedTunnel {
    std::uint64_t id = 0, key = 0;
    Ticks deadline = 0, arrived_at = 0, attempt_started_at = 0;
    Ticks stamp = 0;               // of its record
    Ticks refresh_records_at = 0;  // when its record is published again
    Ticks wait_until = 0;          // of a lookup or of waiting for an endpoint
    Ticks lease_wait_until = 0;    // 0: it has not waited for a lease
    Ticks may_have_run_since = 0;  // when the first attempt that may have run was sent
    double load = 0;
    std::uint32_t traffic_class = 0, group = 0;
    std::uint32_t endpoint_index = none;
    std::uint32_t may_have_run_on = none;  // index of the endpoint of the first attempt that may have run
    std::array<std::uint32_t, 4> tried_endpoints{none, none, none, none};
    int attempts = 0;
    int negative_answers = 0, queried_nodes = 0;  // of the lookup at nodes near the tail
    TunnelState state = TunnelState::idle;
    bool has_key = false, mid_flow = false, reconnect = false, queried_all = false;
};

struct Endpoint {
    // From the endpoint list.
    std::uint32_t id = 0, zone = 0, cell = 0;
    EndpointState state = EndpointState::active;
    bool listed = false;          // in the list being received
    double size = 1;              // relative capacity
    Ticks drain_notified_at = 0;  // the grace of its drain runs from here
    Ticks listed_start = 0;       // the start of its incarnation that the list names
    Ticks started_at = 0;  // later, where it answers again after an outage that may have been a restart

    // Outlier detection.
    bool ejected = false, unresponsive = false;
    bool contact_lost = false;                                 // it was out of reach, and may have restarted
    failure_detector::FailureLikelihood failure_likelihood;    // of setups and health checks
    failure_detector::Observations unresponsive_observations;  // nodes that got no answer from it
    failure_detector::Observations failure_observations;       // nodes whose setups failed on it
    Ticks ejected_at = 0, probation_at = 0;                    // from probation_at a first attempt may try it
    Ticks succeeded_at = -never;                               // a setup of this node's
    Ticks failed_at = -never;                                  // this node last got no answer
    Ticks failure_reported_at = -never;                        // this node reported that to the report owners
    Ticks gossip_ejection_until = 0;                           // 0: not ejected by gossip alone
    Ticks failure_published_at = -never;                       // this node broadcast that, as report owner
    bool failure_published = false;
    std::uint32_t failed_health_checks = 0;  // in a row

    // Health checks.
    bool health_check_pending = false;
    Ticks health_checked_at = -never, health_check_passed_at = -never;

    // Load.
    double learned_capacity = 0;    // from its reports and what it carries; 0: no estimate yet
    double last_reported_load = 0;  // the report that learned_capacity was last adjusted by
    double own_load = 0;            // of this node's tunnels
    double pending_load = 0;        // placed and not yet in any total or report
    std::vector<double> load_by_node;
    double load_on_other_nodes = 0;  // the sum of load_by_node
    double published_load = 0;       // own_load as last published
    double utilization = LoadReport::unknown;
    double published_utilization = 0;
    Ticks utilization_at = -never, published_at = -never;
    double unreported_load = 0;         // placed by other nodes since the last report, estimated
    double recent_unreported_load = 0;  // the part too recent to show in a report
    double backlog_estimate = 0;        // seconds of work, as its reports add up
    std::uint32_t open_tunnels = 0;     // with the attempts that are out
    Ticks slow_message_at = -never, slow_messages_since = 0, slow_message_delay = 0;
    Ticks migrated_at = 0;              // tunnels were last migrated off it
    Ticks connection_lost_at = -never;  // it last cut off an open tunnel
    Ticks affinity_target_at = -never;  // it last became a group's affinity target
    std::array<std::uint32_t, 3> report_owners{none, none, none};
    int owner_rank = 0;  // of this node among the report owners
    quota::Quota quota;  // this node's, of what may be sent there in slow start

    /// Forgets what the previous incarnation showed.
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
    /// What was placed in the last moments shows in no report yet, and stays counted.
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
