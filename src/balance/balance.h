/// The interface of the decision engine. A host program (a node's event loop, the simulator adapter) owns one
/// Balancer per node, turns what it sees into the calls below and carries out what the Balancer asks of its
/// delegate. Times are whole tenths of a millisecond of the host's monotonic clock.
#pragma once
#include <cstdint>
#include <limits>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "balance/reason.h"

namespace lemonstair {

using Ticks = std::int64_t;

enum class Idempotency : std::uint8_t { idempotent, idempotent_with_key, non_idempotent };
enum class DeduplicationScope : std::uint8_t {
    all,
    zone,
    cell
};  // which endpoints drop the repeats of a tunnel with a key
enum class EndpointState : std::uint8_t { active, draining, removed };
// moved: another service holds the list now, and has not sent it yet.
enum class EndpointListKind : std::uint8_t { changes, complete, cached, failed, moved };
// withdrawn: it was never written, since its time, its endpoint or its client had gone; the endpoint is not
// to blame.
enum class Outcome : std::uint8_t {
    ok,
    error,
    overloaded,
    timed_out,
    unreachable,
    connection_lost,
    cancelled,
    not_sent,
    withdrawn
};
constexpr std::size_t outcome_count = static_cast<std::size_t>(Outcome::withdrawn) + 1;

/// Whether an outcome proves that the attempt never ran.
constexpr bool never_executed(Outcome outcome) {
    return outcome == Outcome::overloaded || outcome == Outcome::unreachable ||
           outcome == Outcome::not_sent || outcome == Outcome::withdrawn;
}

// Whether an outcome says nothing about the endpoint: the fault was this process's, or the client's.
constexpr bool unrelated_to_endpoint(Outcome outcome) {
    return outcome == Outcome::not_sent || outcome == Outcome::withdrawn;
}

struct TrafficClass {
    Ticks latency_objective = 0;
    Ticks client_timeout = 0;
    Ticks deduplication_window = 0;       // how long a referenced tunnel's mark is remembered
    Ticks message_latency_objective = 0;  // 0: none
    double priority_weight = 1;
    Idempotency idempotency = Idempotency::non_idempotent;
    DeduplicationScope deduplication_scope = DeduplicationScope::cell;
    bool stream = false;
};

struct ServiceRules {
    Ticks poll_interval = 0;  // 0: no such limit
    Ticks drain_grace = 0;
    Ticks slow_start_duration = 0;
    Ticks overload_window = 0;
    double slow_start_initial_factor = 1;
    double overload_multiple = 1;
};

struct CostModel {
    double cross_zone = 0;
    double health_check = 0;
    double gossip_message = 0;  // for a full message to one node
};

struct AttemptLimits {
    Ticks max_retry_after = 0;  // 0: clients are given no advice when to come back
    int max_attempts = 1;
    bool gossip_enabled = false;
    bool health_checks_enabled = false;
};

// What a node is handed at its start.
struct BalancerConfig {
    std::vector<TrafficClass> traffic_classes;
    ServiceRules rules;
    CostModel costs;
    AttemptLimits limits;
    Ticks clock_resolution = 0;
    std::uint32_t own_node = 0;
    std::uint32_t node_count = 1;
    std::uint32_t zone = 0;
    std::uint32_t seed = 1;
    bool must_poll = false;  // discovery speaks only when asked
    bool groups_enabled = false;
    bool endpoint_sizes_differ = false;  // the listed size compares endpoints
    bool packet_passthrough = false;     // tunnels go on through other nodes, mid-flow
    bool reports_message_delay = false;  // the host measures message delays at endpoints, answered or not
};

/// One load report of an endpoint; what it did not contain is NaN.
struct LoadReport {
    static constexpr double unknown = std::numeric_limits<double>::quiet_NaN();
    double inflight = unknown, queue = unknown, utilization = unknown, load = unknown,
           backlog_seconds = unknown;
};

/// Listed endpoints, and those of them that nothing new is placed on now.
struct EndpointCounts {
    std::uint32_t listed = 0, excluded = 0;
};

/// What a Balancer asks of the node that it decides for.
class BalancerDelegate {
  public:
    BalancerDelegate() = default;
    BalancerDelegate(const BalancerDelegate&) = delete;
    BalancerDelegate& operator=(const BalancerDelegate&) = delete;
    virtual ~BalancerDelegate() = default;
    virtual void start_attempt(std::uint64_t tunnel_id, std::uint32_t endpoint_id, Ticks max_wait) = 0;
    virtual void reject(std::uint64_t tunnel_id, Ticks retry_after) = 0;
    virtual void fail(std::uint64_t tunnel_id) = 0;
    // Why the tunnel is tried again, or has the final answer that follows: for logs and counters.
    virtual void report_reason(std::uint64_t, Reason) {}
    virtual void migrate(std::uint64_t tunnel_id) = 0;
    virtual void check_health(std::uint32_t endpoint_id) = 0;
    virtual void request_endpoint_list() = 0;
    virtual void set_timer(Ticks at, std::uint64_t label) = 0;
    virtual void send_gossip(std::uint32_t node, std::span<const std::uint8_t> bytes) = 0;
    virtual void broadcast_gossip(std::span<const std::uint8_t> bytes) = 0;
    virtual void log(std::string_view line) = 0;
};

/// How a tunnel arrives.
struct TunnelRequest {
    std::string_view key;    // empty: none
    std::string_view group;  // empty: none
    Ticks deadline = 0;
    double expected_load = 0;  // in standard cores; 0: unknown
    std::uint32_t traffic_class = 0;
    bool mid_flow = false;
    bool reconnect = false;  // its client reconnects after a break or a migration
};

class Balancer {
  public:
    static std::unique_ptr<Balancer> start(BalancerConfig config, BalancerDelegate& delegate, Ticks now);
    Balancer() = default;
    Balancer(const Balancer&) = delete;
    Balancer& operator=(const Balancer&) = delete;
    virtual ~Balancer() = default;

    /// Sets the clock; every other call happens at the time last set.
    virtual void set_time(Ticks now) = 0;
    /// Replaces the configuration: as many nodes and traffic classes, and the same own node.
    virtual void update_config(BalancerConfig config) = 0;
    /// The endpoint list: begin, an entry a call, end.
    virtual void begin_endpoint_list(EndpointListKind kind) = 0;
    virtual void add_endpoint(std::uint32_t endpoint_id, std::uint32_t zone, std::uint32_t cell,
                              EndpointState state, double size, Ticks started) = 0;
    virtual void end_endpoint_list() = 0;
    /// Tunnels. `attempt` counts from 0.
    virtual void on_request(std::uint64_t tunnel_id, const TunnelRequest& request) = 0;
    virtual void adopt_open_tunnel(std::uint64_t tunnel_id, const TunnelRequest& request,
                                   std::uint32_t endpoint_id) = 0;
    virtual void on_opened(std::uint64_t tunnel_id, int attempt, std::uint32_t endpoint_id, Ticks took) = 0;
    virtual void on_ended(std::uint64_t tunnel_id, int attempt, std::uint32_t endpoint_id, Outcome outcome,
                          Ticks took, bool settled) = 0;
    virtual void on_client_disconnected(std::uint64_t tunnel_id) = 0;
    /// Whether the pending attempt of a tunnel may still be written, where that may take until `reserve` from
    /// now. Asked before its first byte; and after it, without reserve, to check that no rule was broken.
    virtual Reason may_write(std::uint64_t tunnel_id, Ticks reserve) const = 0;
    /// The node shuts down: no tunnel that waits now may wait past this time.
    virtual void set_answer_deadline(Ticks when) = 0;
    virtual void on_load_changed(std::uint64_t tunnel_id, double load) = 0;  // in standard cores
    virtual void on_slow_messages(std::uint64_t tunnel_id, std::uint32_t endpoint_id, Ticks delay) = 0;
    /// An endpoint has sent no line for this long, though some are owed.
    virtual void on_unresponsive(std::uint32_t endpoint_id, Ticks span) = 0;
    virtual void on_health_check(std::uint32_t endpoint_id, Outcome outcome, Ticks took,
                                 const LoadReport& report) = 0;
    virtual void on_gossip(std::uint32_t node, std::span<const std::uint8_t> bytes) = 0;
    virtual void on_timer(std::uint64_t label) = 0;
    virtual EndpointCounts endpoint_counts() const = 0;
    /// Hot restart: the state for the process that takes over, as bytes; restored before any other call.
    /// False where the bytes cannot be used: then a new Balancer is needed.
    virtual void serialize_state(std::string& into) const = 0;
    /// clock_shift: how far this process's clock is ahead of the writer's.
    virtual bool restore_state(std::string_view bytes, Ticks clock_shift) = 0;
    /// This process is the node again, after another one had taken over for a while.
    virtual void resume_ownership() = 0;
    /// An open tunnel of a hot restart. False where it is not open, or the bytes cannot be used.
    virtual bool serialize_tunnel(std::uint64_t tunnel_id, std::string& into) const = 0;
    virtual bool restore_tunnel(std::uint64_t tunnel_id, std::string_view bytes, Ticks clock_shift) = 0;
};

}  // namespace lemonstair
