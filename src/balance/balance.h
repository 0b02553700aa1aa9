// The interface of the decision module. A front (a node's own loop, a sidecar, the bench's adapter) owns one
// Balancer per node, turns what it sees into the calls below and carries out what the Balancer asks of its
// Host. Times are whole tenths of a millisecond of the front's clock, which only goes forward.
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
};  // which eps drop the repeats of a referenced tunnel
enum class EndpointState : std::uint8_t { active, draining, removed };
// elsewhere: it is kept by another service now, from which nothing was heard yet.
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

// Whether an ending proves that the setup never ran.
constexpr bool never_executed(Outcome e) {
    return e == Outcome::overloaded || e == Outcome::unreachable || e == Outcome::not_sent ||
           e == Outcome::withdrawn;
}

// Whether an ending tells nothing of the endpoint: the trouble was this process's, or the client's.
constexpr bool unrelated_to_endpoint(Outcome e) { return e == Outcome::not_sent || e == Outcome::withdrawn; }

struct TrafficClass {
    Ticks latency_objective = 0;
    Ticks client_timeout = 0;
    Ticks deduplication_window = 0;       // how long a referenced tunnel's mark is remembered
    Ticks message_latency_objective = 0;  // 0: none told
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
    double gossip_message = 0;  // for a full message that one node hears
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
    bool endpoint_sizes_differ = false;  // the listed size compares eps
    bool packet_passthrough = false;     // tunnels go on through other nodes, mid-flow
    bool reports_message_delay = false;  // the front tells how long messages take at each ep, answered or not
};

// One load report; what did not come is not a number.
struct LoadReport {
    static constexpr double unknown = std::numeric_limits<double>::quiet_NaN();
    double inflight = unknown, queue = unknown, utilization = unknown, load = unknown,
           backlog_seconds = unknown;
};

// Eps in the list, and those of them that nothing new is placed on now.
struct EndpointCounts {
    std::uint32_t listed = 0, excluded = 0;
};

// What a Balancer asks of the node that it decides for.
class BalancerDelegate {
  public:
    BalancerDelegate() = default;
    BalancerDelegate(const BalancerDelegate&) = delete;
    BalancerDelegate& operator=(const BalancerDelegate&) = delete;
    virtual ~BalancerDelegate() = default;
    virtual void start_attempt(std::uint64_t tun, std::uint32_t ep, Ticks max_wait) = 0;
    virtual void reject(std::uint64_t tun, Ticks come_back_after) = 0;
    virtual void fail(std::uint64_t tun) = 0;
    // Why the tunnel is tried again, or has the final answer that follows: for logs and counters.
    virtual void report_reason(std::uint64_t, Reason) {}
    virtual void migrate(std::uint64_t tun) = 0;
    virtual void check_health(std::uint32_t ep) = 0;
    virtual void request_endpoint_list() = 0;
    virtual void set_timer(Ticks at, std::uint64_t label) = 0;
    virtual void send_gossip(std::uint32_t node, std::span<const std::uint8_t> bytes) = 0;
    virtual void broadcast_gossip(std::span<const std::uint8_t> bytes) = 0;
    virtual void log(std::string_view line) = 0;
};

// How a tunnel arrives.
struct TunnelRequest {
    std::string_view key;    // empty: none
    std::string_view group;  // empty: none
    Ticks deadline = 0;
    double expected_load = 0;  // expected, as a share of a standard core; 0: not told
    std::uint32_t traffic_class = 0;
    bool mid_flow = false;
    bool reconnect = false;  // its client comes back after a break or a move
};

class Balancer {
  public:
    static std::unique_ptr<Balancer> start(BalancerConfig terms, BalancerDelegate& delegate, Ticks now);
    Balancer() = default;
    Balancer(const Balancer&) = delete;
    Balancer& operator=(const Balancer&) = delete;
    virtual ~Balancer() = default;

    // The clock; every other call happens at the time last told.
    virtual void set_time(Ticks now) = 0;
    // Other terms from now on: as many nodes and profiles as before, and this node's number among them.
    virtual void update_config(BalancerConfig terms) = 0;
    // The list of eps: begin, an entry a call, end.
    virtual void begin_endpoint_list(EndpointListKind kind) = 0;
    virtual void add_endpoint(std::uint32_t ep, std::uint32_t zone, std::uint32_t cell, EndpointState life,
                              double size, Ticks started) = 0;
    virtual void end_endpoint_list() = 0;
    // Tunnels.
    virtual void on_request(std::uint64_t tun, const TunnelRequest& arrival) = 0;
    virtual void adopt_open_tunnel(std::uint64_t tun, const TunnelRequest& arrival, std::uint32_t ep) = 0;
    virtual void on_opened(std::uint64_t tun, int setup, std::uint32_t ep, Ticks took) = 0;
    virtual void on_ended(std::uint64_t tun, int setup, std::uint32_t ep, Outcome outcome, Ticks took,
                          bool settled) = 0;
    virtual void on_client_disconnected(std::uint64_t tun) = 0;
    // Whether the attempt that is out for a tunnel may still be written, where that may take until `reserve`
    // from now. Asked before its first byte; and after it, without reserve, to check that no rule was broken.
    virtual Reason may_write(std::uint64_t tun, Ticks reserve) const = 0;
    // The node will not be there for longer: no tunnel that waits now may wait past this.
    virtual void set_answer_deadline(Ticks when) = 0;
    virtual void on_load_changed(std::uint64_t tun, double load) = 0;  // a share of a standard core
    virtual void on_slow_messages(std::uint64_t tun, std::uint32_t ep, Ticks takes) = 0;
    // No line has come from an ep for this long, though some are owed.
    virtual void on_unresponsive(std::uint32_t ep, Ticks span) = 0;
    // The rest.
    virtual void on_health_check(std::uint32_t ep, Outcome outcome, Ticks took, const LoadReport& report) = 0;
    virtual void on_gossip(std::uint32_t node, std::span<const std::uint8_t> bytes) = 0;
    virtual void on_timer(std::uint64_t label) = 0;
    virtual EndpointCounts endpoint_counts() const = 0;
    // Another process takes the node's place: what it is to remember, as bytes; and what it heard so, before
    // anything else happens. False where the bytes cannot be read: then it has to begin anew.
    virtual void serialize_state(std::string& into) const = 0;
    // clock_shift: what this process's clock is ahead of that of the one that told.
    virtual bool restore_state(std::string_view told, Ticks clock_shift) = 0;
    // This process is the node again, after another one was it for a while.
    virtual void resume_ownership() = 0;
    // An open tunnel goes over too: what is known of it (false where that is nothing), and what was heard.
    virtual bool serialize_tunnel(std::uint64_t tun, std::string& into) const = 0;
    virtual bool restore_tunnel(std::uint64_t tun, std::string_view told, Ticks clock_shift) = 0;
};

}  // namespace lemonstair
