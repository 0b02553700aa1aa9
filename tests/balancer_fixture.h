/// BalancerFixture: a Balancer with a fake delegate that records its requests. The test supplies the rest:
/// the time, the messages between nodes, the answers of endpoints. Time is simulated, so nothing here waits.
#pragma once
#include <algorithm>
#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "balance/balance.h"

namespace fake {

using namespace lemonstair;
constexpr Ticks ms = 10, s = 10000;  // a millisecond, a second

/// A requested attempt, and when it was requested.
struct Attempt {
    std::uint64_t tunnel;
    std::uint32_t endpoint;
    Ticks max_wait, time;
};

struct BalancerFixture : BalancerDelegate {
    std::vector<Attempt> attempts;
    std::vector<std::uint64_t> rejected, failed, migrated, health_checks;
    std::vector<std::pair<std::uint32_t, std::vector<std::uint8_t>>> gossip;  // by receiver; 99: broadcast
    std::vector<std::pair<Ticks, std::uint64_t>> timers;
    std::vector<std::string> log_lines;
    int list_requests = 0;
    Ticks now = 100 * s;
    std::unique_ptr<Balancer> balancer;

    explicit BalancerFixture(BalancerConfig config) {
        balancer = Balancer::start(std::move(config), *this, now);
    }
    BalancerFixture() : BalancerFixture(default_config(0, 1)) {}

    static TrafficClass traffic_class(Idempotency idempotency = Idempotency::idempotent,
                                      DeduplicationScope scope = DeduplicationScope::all) {
        return {.latency_objective = 500 * ms,
                .client_timeout = 3 * s,
                .deduplication_window = 5 * s,
                .message_latency_objective = 100 * ms,
                .priority_weight = 1,
                .idempotency = idempotency,
                .deduplication_scope = scope,
                .stream = true};
    }
    static BalancerConfig default_config() { return default_config(0, 1); }
    static BalancerConfig default_config(std::uint32_t own_node, std::uint32_t nodes) {
        BalancerConfig config;
        config.traffic_classes = {traffic_class()};
        config.rules = {.poll_interval = 10 * s,
                        .drain_grace = 3 * s,
                        .slow_start_duration = 8 * s,
                        .overload_window = 15 * s / 10,
                        .slow_start_initial_factor = 0.33,
                        .overload_multiple = 2.5};
        config.limits = {.max_retry_after = 0,
                         .max_attempts = 3,
                         .gossip_enabled = nodes > 1,
                         .health_checks_enabled = true};
        config.clock_resolution = 5 * ms;
        config.own_node = own_node;
        config.node_count = nodes;
        return config;
    }
    void start_attempt(std::uint64_t tunnel, std::uint32_t endpoint, Ticks max_wait) override {
        attempts.push_back({tunnel, endpoint, max_wait, now});
    }
    void reject(std::uint64_t tunnel, Ticks) override { rejected.push_back(tunnel); }
    void fail(std::uint64_t tunnel) override { failed.push_back(tunnel); }
    void migrate(std::uint64_t tunnel) override { migrated.push_back(tunnel); }
    void check_health(std::uint32_t endpoint) override { health_checks.push_back(endpoint); }
    void request_endpoint_list() override { ++list_requests; }
    void set_timer(Ticks at, std::uint64_t label) override { timers.emplace_back(at, label); }
    void send_gossip(std::uint32_t node, std::span<const std::uint8_t> bytes) override {
        gossip.emplace_back(node, std::vector(bytes.begin(), bytes.end()));
    }
    void broadcast_gossip(std::span<const std::uint8_t> bytes) override { send_gossip(99, bytes); }
    void log(std::string_view line) override { log_lines.emplace_back(line); }

    /// Advances the time. Timers that become due fire at their times, the earliest first.
    void advance(Ticks span) {
        const Ticks until = now + span;
        for (;;) {
            const auto next = std::min_element(timers.begin(), timers.end());
            if (next == timers.end() || next->first > until) break;
            const auto [at, label] = *next;
            timers.erase(next);
            now = std::max(now, at);
            balancer->set_time(now);
            balancer->on_timer(label);
        }
        now = until;
        balancer->set_time(now);
    }
    /// Sends a list of these endpoints, all in zone 0 and cell 0.
    void set_endpoints(const std::vector<std::uint32_t>& endpoints,
                       EndpointListKind kind = EndpointListKind::complete,
                       EndpointState state = EndpointState::active, Ticks started = 0) {
        balancer->begin_endpoint_list(kind);
        for (const auto endpoint : endpoints) balancer->add_endpoint(endpoint, 0, 0, state, 1, started);
        balancer->end_endpoint_list();
    }
    void on_request(std::uint64_t tunnel, std::string_view key = "", bool mid_flow = false,
                    Ticks timeout = 3 * s) {
        balancer->on_request(tunnel,
                             {.key = key, .group = {}, .deadline = now + timeout, .mid_flow = mid_flow});
    }
    const Attempt& last_attempt() const { return attempts.back(); }
    int attempts_of(std::uint64_t tunnel) const {
        return static_cast<int>(std::count_if(attempts.begin(), attempts.end(), [&](const Attempt& attempt) {
            return attempt.tunnel == tunnel;
        }));
    }
    /// Opens or ends a tunnel whose attempt is the last one that was requested.
    void open(std::uint64_t tunnel) {
        balancer->on_opened(tunnel, attempts_of(tunnel) - 1, last_attempt().endpoint, 10 * ms);
    }
    void end(std::uint64_t tunnel, Outcome outcome, bool settled = false) {
        balancer->on_ended(tunnel, attempts_of(tunnel) - 1, last_attempt().endpoint, outcome, 10 * ms,
                           settled);
    }
    /// Answers all pending health checks with the same load, relative to the capacity.
    void answer_health_checks(double load) {
        for (const auto endpoint : std::exchange(health_checks, {})) {
            LoadReport report;
            report.load = load;
            balancer->on_health_check(static_cast<std::uint32_t>(endpoint), Outcome::ok, ms, report);
        }
    }
};

// Not "k" + std::to_string(n): GCC 12 then warns of an overlapping copy where it inlines enough (GCC bug
// 105651).
inline std::string key_of(std::uint64_t n) { return std::string("k").append(std::to_string(n)); }
inline std::string group_of(std::uint64_t n) { return std::string("g").append(std::to_string(n)); }

/// Delivers all queued gossip, and the gossip sent in response, until none is left. A null node receives
/// nothing.
inline void deliver_gossip(std::vector<BalancerFixture*> nodes) {
    for (bool delivered = true; delivered;) {
        delivered = false;
        for (std::uint32_t from = 0; from < nodes.size(); ++from) {
            for (const auto& [to, bytes] : std::exchange(nodes[from]->gossip, {}))
                for (std::uint32_t node = 0; node < nodes.size(); ++node)
                    if (node != from && nodes[node] != nullptr && (to == 99 || to == node)) {
                        nodes[node]->balancer->on_gossip(from, bytes);
                        delivered = true;
                    }
        }
    }
}

/// Starts the nodes of one fleet with a cached endpoint list. Their gossip has a cost.
inline std::vector<std::unique_ptr<BalancerFixture>> start_nodes(
    std::uint32_t nodes, const std::vector<std::uint32_t>& endpoints) {
    std::vector<std::unique_ptr<BalancerFixture>> all;
    for (std::uint32_t node = 0; node < nodes; ++node) {
        auto config = BalancerFixture::default_config(node, nodes);
        config.costs.gossip_message = 0.01;
        config.seed = 31 * node + 1;
        all.push_back(std::make_unique<BalancerFixture>(config));
        all.back()->set_endpoints(endpoints, EndpointListKind::cached);
    }
    return all;
}

}  // namespace fake
