// What a node keeps of tunnels, eps, records and other nodes. Nothing is decided here.
#pragma once
#include <algorithm>
#include <array>
#include <cstdint>
#include <cstdio>
#include <random>
#include <string_view>
#include <utility>
#include <vector>

#include "backoff/backoff.h"
#include "balance/balance.h"
#include "balance/endpoint.h"
#include "balance/id_index.h"
#include "balance/outbox.h"
#include "balance/record_table.h"
#include "balance/ring.h"
#include "balance/slab.h"
#include "failure_detector/failure_likelihood.h"
#include "failure_detector/observations.h"
#include "quota/quota_schedule.h"

namespace lemonstair {

constexpr std::size_t chain_length = 2;
constexpr double default_tunnel_lifetime = 60;        // of a tunnel, in s, before any has ended
constexpr Ticks refresh_grace = 12 * second;          // once in 10 s, while its tunnel stands
constexpr Ticks max_stamp_lead = 48 * 3600 * second;  // a stamp further ahead is no time
constexpr int min_load_samples = 8;                   // fewer tell little of what tunnels weigh

struct RecentPlacement {
    Ticks placed_at = 0;
    std::uint32_t endpoint_index = 0;
    double load = 0;
};

using NodePair = std::array<std::uint32_t, 2>;

struct RunningMean {
    double value = 0;
    int count = 0;
    void add(double utilization) {
        count = std::min(count + 1, 64);
        value += (utilization - value) / count;
    }
};

struct Peer {
    Ticks heard_at = 0;
    Ticks load_totals_at = -never;  // when it last published its load totals
    bool alive = true;
};

// All that one node remembers.
struct Memory {
    Memory(BalancerConfig given, BalancerDelegate& to, Ticks index)
        : config(std::move(given)),
          delegate(to),
          now(index),
          started_at(index),
          peers(std::max<std::size_t>(config.node_count, config.own_node + 1)),
          outbox(to, peers.size()),
          traffic_class_load(config.traffic_classes.size()) {
        rng.seed(config.seed);
        start_quota_schedule(now);
        load_totals_known = peers.size() == 1;
        for (auto& p : peers) p.heard_at = now;
        ring.build(static_cast<std::uint32_t>(peers.size()));
        update_traffic_class_totals();
    }
    // What began before may have been spent by an earlier life, or by the process that was the node before.
    void start_quota_schedule(Ticks born_at) {
        const Ticks fall = config.rules.overload_window > 0 ? config.rules.overload_window : second;
        const auto nodes_dealt = static_cast<std::uint32_t>(peers.size());
        quota_schedule = {config.own_node, nodes_dealt, std::max<Ticks>(fall / 16, 1), fall / 2, born_at};
    }
    // Guards against two dealings of one budget: what was spent by the one before is of an earlier life.
    void restart_quota_schedule() {
        start_quota_schedule(now);
        for (Endpoint& endpoint : endpoints) endpoint.quota = {};
    }
    void apply_config(BalancerConfig given) {
        const bool other_slots = given.rules.overload_window != config.rules.overload_window;
        config = std::move(given);
        if (other_slots) restart_quota_schedule();
        update_traffic_class_totals();
    }
    void update_traffic_class_totals() {
        mean_priority_weight = 0;
        longest_client_timeout = 0;
        shortest_message_objective = never;
        for (const auto& p : config.traffic_classes) {
            mean_priority_weight += p.priority_weight / static_cast<double>(config.traffic_classes.size());
            longest_client_timeout = std::max(longest_client_timeout, p.client_timeout);
            if (p.message_latency_objective > 0)
                shortest_message_objective =
                    std::min(shortest_message_objective, p.message_latency_objective);
        }
        if (mean_priority_weight <= 0) mean_priority_weight = 1;
    }
    double draw() {
        return static_cast<double>(rng() - std::minstd_rand::min()) /
               (static_cast<double>(std::minstd_rand::max() - std::minstd_rand::min()) + 1.0);
    }
    template <class... Figures>
    void log_line(const char* format, Figures... figures) {
        std::array<char, 160> line{};
        const int n = std::snprintf(line.data(), line.size(), format, figures...);
        delegate.log({line.data(), std::min(static_cast<std::size_t>(std::max(n, 0)), line.size() - 1)});
    }
    Endpoint* find_endpoint(std::uint32_t id) {
        const std::uint32_t index = endpoint_by_id.find(id);
        return index == none ? nullptr : &endpoints[index];
    }
    // The two living nodes that come next by number, or by `step` = all but one, before this one.
    NodePair next_alive(std::size_t step) const {
        NodePair out{none, none};
        std::size_t n = config.own_node;
        for (std::size_t i = 1, found = 0; i < peers.size() && found < out.size(); ++i) {
            n = (n + step) % peers.size();
            if (peers[n].alive) out[found++] = static_cast<std::uint32_t>(n);
        }
        return out;
    }
    bool gossip_enabled() const { return config.limits.gossip_enabled && peers.size() > 1; }
    double node_count() const { return static_cast<double>(peers.size()); }
    // Each record is held at three nodes, or where nodes may not talk at one: the placements of all for one
    // that a node sees.
    double placements_per_sample() const {
        return node_count() / (gossip_enabled() ? std::min(3.0, node_count()) : 1.0);
    }
    double slow_start_factor(const Endpoint& endpoint) const {
        const Ticks age = now - endpoint.started_at;
        if (endpoint.started_at <= 0 || config.rules.slow_start_duration <= 0 ||
            age >= config.rules.slow_start_duration)
            return 1;
        const double initial = config.rules.slow_start_initial_factor;
        return initial + (1 - initial) * static_cast<double>(std::max<Ticks>(age, 0)) /
                             static_cast<double>(config.rules.slow_start_duration);
    }
    bool is_warming_up(const Endpoint& endpoint) const { return slow_start_factor(endpoint) < 1; }
    // How long a tunnel stays, from those carried here; few say little.
    double mean_tunnel_lifetime() const {
        return (2 * default_tunnel_lifetime + total_open_seconds) /
               (2.0 + static_cast<double>(ended_tunnels));
    }
    double broadcast_cost(double bytes) const {  // of a message that all other nodes hear
        return config.costs.gossip_message * (bytes + peer::message_overhead_bytes) / peer::max_bytes *
               (node_count() - 1);
    }
    bool is_alive(std::uint32_t node) const { return node == config.own_node || peers[node].alive; }
    std::size_t chain(std::uint64_t key, Ring::Chain& out) const {  // the tail first
        return ring.chain(
            key, chain_length, [this](std::uint32_t n) { return is_alive(n); }, out);
    }
    bool on_chain(std::uint64_t key, std::uint32_t node) const {
        Ring::Chain nodes{};
        const std::size_t n = chain(key, nodes);
        return std::find(nodes.begin(), nodes.begin() + n, node) != nodes.begin() + n;
    }
    std::uint32_t first_alive(std::uint64_t place) const {
        return ring.first(place, [this](std::uint32_t n) { return is_alive(n); });
    }
    // What is placed shows in reports later: until then it counts as pending there.
    void add_pending_load(std::uint32_t index, double load) {
        endpoints[index].pending_load += load;
        recent_placements.push_back({now, index, load});
    }
    void expire_pending_loads(Ticks older) {
        std::size_t n = 0;
        for (; n < recent_placements.size() && now - recent_placements[n].placed_at > older; ++n)
            endpoints[recent_placements[n].endpoint_index].pending_load = std::max(
                0.0, endpoints[recent_placements[n].endpoint_index].pending_load - recent_placements[n].load);
        recent_placements.erase(recent_placements.begin(),
                                recent_placements.begin() + static_cast<std::ptrdiff_t>(n));
    }
    // What of the eps in one zone or cell is set aside, and how it came to be.
    template <class Same>
    failure_detector::EjectionCounts ejection_counts(Same&& same) const {
        failure_detector::EjectionCounts out;
        for (const Endpoint& endpoint : endpoints) {
            if (endpoint.state != EndpointState::active || !same(endpoint)) continue;
            ++out.active;
            if (endpoint.ejected)
                ++(endpoint.gossip_ejection_until != 0 ? out.by_gossip : out.by_own_evidence);
        }
        return out;
    }
    // Hearsay may set one more aside in its zone and in its cell.
    bool gossip_may_eject(const Endpoint& one) const {
        return ejection_counts([&](const Endpoint& endpoint) {
                   return endpoint.zone == one.zone;
               }).allows_one_more() &&
               ejection_counts([&](const Endpoint& endpoint) {
                   return endpoint.zone == one.zone && endpoint.cell == one.cell;
               }).allows_one_more();
    }
    bool is_excluded(const Endpoint& endpoint) const {
        return endpoint.state != EndpointState::active || endpoint.ejected;
    }
    EndpointCounts count_endpoints() const {
        EndpointCounts n;
        for (const Endpoint& endpoint : endpoints) {
            if (endpoint.state == EndpointState::removed) continue;
            ++n.listed;
            n.excluded += is_excluded(endpoint) ? 1 : 0;
        }
        return n;
    }
    // The tunnel was placed in an earlier life of the endpoint_id, by half a second at least: clocks differ.
    // They may differ by hours: one that was heard of long after that life began belongs to it, whatever its
    // stamp says.
    bool predates_incarnation(std::uint64_t key, const Endpoint& endpoint) const {
        const Record* record = records.find(key);
        if (record == nullptr || record->endpoint_id != endpoint.id ||
            record->heard_at > endpoint.listed_start + refresh_grace)
            return false;
        return record->stamp + second / 2 < endpoint.listed_start;
    }
    // Stamps of records are a hybrid logical clock: the wall clock, but never behind a stamp that was heard.
    // Guards against placements of a node whose clock is behind, which would lose to older ones.
    Ticks next_stamp() { return highest_stamp >= now ? ++highest_stamp : now; }
    void observe_stamp(Ticks stamp) {
        if (stamp - now < max_stamp_lead) highest_stamp = std::max(highest_stamp, stamp);
    }
    std::uint64_t timer_label(std::uint32_t index) const {
        return (std::uint64_t{tunnels.serial(index)} << 32 | index) + 1;
    }
    Ticks draw_delay(Ticks below) { return static_cast<Ticks>(draw() * static_cast<double>(below)); }

    BalancerConfig config;
    BalancerDelegate& delegate;
    Ticks now, started_at;
    std::minstd_rand rng;
    std::vector<Endpoint> endpoints;
    std::vector<std::uint32_t> endpoint_ids;  // of the eps, in their order
    IdIndex endpoint_by_id, tunnel_by_id, cross_zone_notices, lookups;
    Slab<TrackedTunnel> tunnels;
    RecordTable records;
    std::vector<Peer> peers;
    Ring ring;
    peer::Outbox outbox;
    std::vector<RecentPlacement> recent_placements;
    std::vector<double> weights;
    std::vector<char> holds_group;        // eps that hold the group at hand
    std::vector<double> late_cost_slope;  // by load, in steps
    std::vector<RunningMean> traffic_class_load;
    RunningMean overall_load;
    std::vector<std::uint32_t> waiting_tunnels, retried_tunnels;
    quota::QuotaSchedule quota_schedule;
    std::uint32_t quota_short_endpoint =
        none;                     // the cold endpoint_id that the last choice passed over for want of a unit
    double quota_short_cost = 0;  // what the tunnel would cost there
    NodePair monitored_peers{none, none};  // the nodes whose signs of life are awaited here
    Ticks last_success_at = -never,
          isolation_checked_at = -never;  // any endpoint_id answered; one was asked whether it does
    Ticks isolated_since = -never;        // an endpoint_id is found dead and no other has answered since
    Ticks isolated_until = -never;        // the end of the last such time that was long
    bool isolated = false;                // no endpoint_id answers this node: it accuses none
    EndpointListKind list_kind = EndpointListKind::cached;
    Ticks poll_list_at = 0, last_published_at = 0, records_scanned_at = 0, heartbeat_sent_at = 0,
          hello_sent_at = -never;
    Ticks shortest_message_objective = never, longest_client_timeout = 0;
    Ticks load_totals_interval = second, report_interval = second;
    double recent_opened = 0, recent_ended = 0, placement_rate = 0;
    double recent_open = 0, recent_lost = 0;          // of what opened; of that, what was soon cut off
    failure_detector::OutcomeTotals recent_outcomes;  // of the outcomes on all eps
    double mean_priority_weight = 0, migration_tokens = 2;
    Ticks highest_stamp = 0;
    RecordTable::Sampled record_sample;  // as of the last scan
    double capacity_per_size = 2.5, fleet_utilization = 0, tunnel_end_rate = 0, total_open_seconds = 0;
    std::uint64_t ended_tunnels = 0;
    std::uint32_t sender = 0, ended_since_tick = 0, placed_since_tick = 0, publish_count = 0, ticks = 0;
    int pending_attempts = 0;
    backoff::Backoff list_backoff;
    bool ring_changed = true, hello_sent = false;
    bool admission_was_open = true, list_is_live = false, too_costly = false;
    bool load_totals_known = false;  // each living node's load on each endpoint_id is known here
};

}  // namespace lemonstair
