/// The interface of the decision engine. A host program (a node's event loop or the simulator adapter) owns
/// one Balancer per node, translates its events into the calls below, and carries out what the Balancer
/// requests through its delegate. The Balancer does no I/O and reads no clock of its own.
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

/// A point in time or a duration, in tenths of a millisecond. Points in time are on the host's clock, which
/// is monotonic. A node sets it to Unix time when its process starts, so the clocks of two nodes, or of two
/// processes of one node, may differ by hours. Times in gossip, such as the stamps of records, are on the
/// clocks of other nodes.
using Ticks = std::int64_t;

/// Whether a tunnel may be attempted again after an endpoint may have executed it.
enum class Idempotency : std::uint8_t {
    idempotent,           // always
    idempotent_with_key,  // on endpoints that recognize its idempotency key, while they remember it
    non_idempotent        // never
};
/// Which endpoints recognize a repeated attempt by its idempotency key: all of them, or only those in the
/// zone or the cell of the endpoint that received the first one.
enum class DeduplicationScope : std::uint8_t { all, zone, cell };
enum class EndpointState : std::uint8_t { active, draining, removed };
/// What an endpoint list contains.
enum class EndpointListKind : std::uint8_t {
    changes,   // only the entries that changed
    complete,  // all entries; what it omits has been removed
    cached,    // an older complete list, used until discovery answers
    failed,    // no entries: the request to discovery failed
    moved      // no entries: another discovery service is responsible now and has not sent its list yet
};
/// How an attempt, an open tunnel or a health check ended.
enum class Outcome : std::uint8_t {
    ok,
    error,
    overloaded,
    timed_out,
    unreachable,
    connection_lost,
    cancelled,
    not_sent,  // a fault of this process kept it from being sent
    withdrawn  // never written, because it was too late, the endpoint was draining or the client was gone
};
constexpr std::size_t outcome_count = static_cast<std::size_t>(Outcome::withdrawn) + 1;

/// Whether an outcome proves that the endpoint never executed the attempt.
constexpr bool never_executed(Outcome outcome) {
    return outcome == Outcome::overloaded || outcome == Outcome::unreachable ||
           outcome == Outcome::not_sent || outcome == Outcome::withdrawn;
}

/// Whether an outcome says nothing about the endpoint's health, because the cause lay in this process or in
/// the client.
constexpr bool unrelated_to_endpoint(Outcome outcome) {
    return outcome == Outcome::not_sent || outcome == Outcome::withdrawn;
}

/// The settings of one class of tunnels.
struct TrafficClass {
    Ticks latency_objective = 0;          // for a setup, from the request to the open tunnel
    Ticks client_timeout = 0;             // how long clients wait for the answer to a request
    Ticks deduplication_window = 0;       // how long endpoints remember an idempotency key
    Ticks message_latency_objective = 0;  // 0: none
    double priority_weight = 1;           // what a tunnel of this class is worth, relative to the others
    Idempotency idempotency = Idempotency::non_idempotent;
    DeduplicationScope deduplication_scope = DeduplicationScope::cell;
    bool stream = false;  // from the settings; no decision depends on it
};

/// What the operators require of every node, and how endpoints react to load.
struct ServiceRules {
    Ticks poll_interval = 0;  // the longest time between two requests for the endpoint list; 0: no limit
    Ticks drain_grace = 0;    // how long a draining endpoint may still be sent the tunnels that it holds
    Ticks slow_start_duration = 0;         // from the start of an endpoint's incarnation
    Ticks overload_window = 0;             // an endpoint fails when it is overloaded for this long
    double slow_start_initial_factor = 1;  // the part of its capacity that an endpoint starts with
    double overload_multiple = 1;          // an endpoint is overloaded above this multiple of its capacity
};

/// Costs, in connections served late.
struct CostModel {
    double cross_zone = 0;      // of a tunnel to an endpoint in another zone
    double health_check = 0;    // of one health check of one endpoint
    double gossip_message = 0;  // of a message of full size to one node
};

/// Limits for attempts, and the kinds of traffic that the operators permit.
struct AttemptLimits {
    Ticks max_retry_after = 0;  // 0: clients are not told when to retry
    int max_attempts = 1;       // of one tunnel, the first included
    bool gossip_enabled = false;
    bool health_checks_enabled = false;
};

/// The configuration of one node's Balancer.
struct BalancerConfig {
    std::vector<TrafficClass> traffic_classes;
    ServiceRules rules;
    CostModel costs;
    AttemptLimits limits;
    Ticks clock_resolution = 0;  // the accuracy of the host's clock and timers
    std::uint32_t own_node = 0;  // the number of this node, from 0
    std::uint32_t node_count = 1;
    std::uint32_t zone = 0;              // of this node
    std::uint32_t seed = 1;              // of the random numbers
    bool must_poll = false;              // discovery does not push the endpoint list; it must be requested
    bool groups_enabled = false;         // the group of a request is taken into account
    bool endpoint_sizes_differ = false;  // the sizes in the endpoint list are relative capacities
    bool packet_passthrough = false;     // tunnels may continue through another node, mid-flow
    bool reports_message_delay = false;  // the host reports message delays, also of messages not answered yet
};

/// One load report of an endpoint. A value that the report did not contain is NaN. `inflight` and `queue` are
/// counts; `utilization` and `load` are relative to the endpoint's present capacity.
struct LoadReport {
    static constexpr double unknown = std::numeric_limits<double>::quiet_NaN();
    double inflight = unknown, queue = unknown, utilization = unknown, load = unknown,
           backlog_seconds = unknown;
};

/// The number of listed endpoints, and how many of them get no new tunnels at present.
struct EndpointCounts {
    std::uint32_t listed = 0, excluded = 0;
};

/// The requests of a Balancer to the node that it decides for. They are made from within calls to the
/// Balancer.
class BalancerDelegate {
  public:
    BalancerDelegate() = default;
    BalancerDelegate(const BalancerDelegate&) = delete;
    BalancerDelegate& operator=(const BalancerDelegate&) = delete;
    virtual ~BalancerDelegate() = default;
    /// Starts an attempt, which times out after `max_wait`; on_opened or on_ended follows.
    virtual void start_attempt(std::uint64_t tunnel_id, std::uint32_t endpoint_id, Ticks max_wait) = 0;
    /// Gives the client the final answer that a retry is harmless. `retry_after`: how long the client should
    /// wait before it; 0: it is not told.
    virtual void reject(std::uint64_t tunnel_id, Ticks retry_after) = 0;
    /// Gives the client the final answer that the tunnel failed and may have had an effect.
    virtual void fail(std::uint64_t tunnel_id) = 0;
    /// Why the tunnel gets the final answer that follows; for logs and counters.
    virtual void report_reason(std::uint64_t, Reason) {}
    /// Tells the client of an open tunnel to reconnect.
    virtual void migrate(std::uint64_t tunnel_id) = 0;
    /// Starts a health check; on_health_check follows.
    virtual void check_health(std::uint32_t endpoint_id) = 0;
    virtual void request_endpoint_list() = 0;
    /// Requests a call of on_timer with `label` at the given time. Timers are not cancelled.
    virtual void set_timer(Ticks at, std::uint64_t label) = 0;
    virtual void send_gossip(std::uint32_t node, std::span<const std::uint8_t> bytes) = 0;
    virtual void broadcast_gossip(std::span<const std::uint8_t> bytes) = 0;
    virtual void log(std::string_view line) = 0;
};

/// A client's request for a tunnel.
struct TunnelRequest {
    std::string_view key;             // empty: none
    std::string_view group;           // empty: none
    Ticks deadline = 0;               // the time by which the client must have the final answer
    double expected_load = 0;         // in standard cores; 0: unknown
    std::uint32_t traffic_class = 0;  // an index of BalancerConfig::traffic_classes
    bool mid_flow = false;            // the tunnel is open already, but through another node
    bool reconnect = false;           // the client reconnects after a lost connection or a migration
};

/// Decides for one node where tunnels go, when they are retried, rejected or migrated, and what the node
/// tells the other nodes. Not thread-safe.
class Balancer {
  public:
    /// Creates a node's Balancer. It makes requests to `delegate` already in this call.
    static std::unique_ptr<Balancer> start(BalancerConfig config, BalancerDelegate& delegate, Ticks now);
    Balancer() = default;
    Balancer(const Balancer&) = delete;
    Balancer& operator=(const Balancer&) = delete;
    virtual ~Balancer() = default;

    /// Sets the clock. Every other call happens at the time last set.
    virtual void set_time(Ticks now) = 0;
    /// Replaces the configuration. The number of nodes and of traffic classes and the own node must not
    /// change.
    virtual void update_config(BalancerConfig config) = 0;
    /// The endpoint list arrives as a call to begin, one call for each entry, and a call to end. `started` is
    /// when the endpoint's present incarnation began, converted to the host's clock; 0: long ago.
    virtual void begin_endpoint_list(EndpointListKind kind) = 0;
    virtual void add_endpoint(std::uint32_t endpoint_id, std::uint32_t zone, std::uint32_t cell,
                              EndpointState state, double size, Ticks started) = 0;
    virtual void end_endpoint_list() = 0;
    /// Tunnels. Attempts of a tunnel are numbered from 0. `took`: the time since the attempt was started.
    virtual void on_request(std::uint64_t tunnel_id, const TunnelRequest& request) = 0;
    /// Registers a tunnel that is already open to an endpoint; without effect if the endpoint is not known.
    virtual void adopt_open_tunnel(std::uint64_t tunnel_id, const TunnelRequest& request,
                                   std::uint32_t endpoint_id) = 0;
    virtual void on_opened(std::uint64_t tunnel_id, int attempt, std::uint32_t endpoint_id, Ticks took) = 0;
    /// An attempt or an open tunnel has ended. `settled`: its client has the final answer already.
    virtual void on_ended(std::uint64_t tunnel_id, int attempt, std::uint32_t endpoint_id, Outcome outcome,
                          Ticks took, bool settled) = 0;
    virtual void on_client_disconnected(std::uint64_t tunnel_id) = 0;
    /// Whether the pending attempt of a tunnel may still be written, if writing it takes at most `reserve`,
    /// which counts against the drain grace and the deduplication window. The host asks before the first
    /// byte, and again after it with a reserve of 0 to detect a broken rule.
    virtual Reason may_write(std::uint64_t tunnel_id, Ticks reserve) const = 0;
    /// The node shuts down: retries and waits of the present tunnels must end by this time. The host applies
    /// it to pending attempts and to the deadlines of later requests.
    virtual void set_answer_deadline(Ticks when) = 0;
    virtual void on_load_changed(std::uint64_t tunnel_id, double load) = 0;  // in standard cores
    /// Messages of an open tunnel are delayed by `delay` at its endpoint. A short delay after long ones says
    /// that the messages are no longer slow.
    virtual void on_slow_messages(std::uint64_t tunnel_id, std::uint32_t endpoint_id, Ticks delay) = 0;
    /// An endpoint has sent no line for the duration `span`, although answers to earlier lines are due.
    virtual void on_unresponsive(std::uint32_t endpoint_id, Ticks span) = 0;
    virtual void on_health_check(std::uint32_t endpoint_id, Outcome outcome, Ticks took,
                                 const LoadReport& report) = 0;
    virtual void on_gossip(std::uint32_t node, std::span<const std::uint8_t> bytes) = 0;
    virtual void on_timer(std::uint64_t label) = 0;
    virtual EndpointCounts endpoint_counts() const = 0;
    /// Hot restart: appends the state, without the tunnels, for the process that takes over.
    virtual void serialize_state(std::string& into) const = 0;
    /// Restores that state in a new Balancer, after it has received the endpoint list and before any event:
    /// the state of endpoints that it does not know is dropped, and what it has learned itself would be
    /// overwritten. `clock_shift` is how far this process's clock is ahead of the writer's. Returns false if
    /// the bytes cannot be used; the Balancer must then be replaced by a new one.
    virtual bool restore_state(std::string_view bytes, Ticks clock_shift) = 0;
    /// This process serves as the node again after another process had taken over, for example in an upgrade
    /// that failed. The other process may have spent slow-start quota, so only quota from now on is used.
    virtual void resume_ownership() = 0;
    /// Hot restart of one open tunnel. Both return false, without effect: serialize_tunnel if the tunnel is
    /// not open, restore_tunnel if the bytes cannot be used or the endpoint of the tunnel is not known.
    virtual bool serialize_tunnel(std::uint64_t tunnel_id, std::string& into) const = 0;
    virtual bool restore_tunnel(std::uint64_t tunnel_id, std::string_view bytes, Ticks clock_shift) = 0;
};

}  // namespace lemonstair
