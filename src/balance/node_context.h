/// NodeContext: what all decision modules of a node share: the configuration, the clock, random numbers, the
/// delegate, and values that follow from the configuration alone.
#pragma once
#include <algorithm>
#include <array>
#include <cstdio>
#include <random>
#include <string_view>

#include "balance/endpoint.h"
#include "peer/codec.h"

namespace lemonstair {

class NodeContext {
  public:
    NodeContext(BalancerConfig config, BalancerDelegate& delegate, Ticks now);
    NodeContext(const NodeContext&) = delete;
    NodeContext& operator=(const NodeContext&) = delete;

    void set_time(Ticks now) { now_ = now; }
    /// Replaces the configuration. The number of nodes and of traffic classes must not change.
    void set_config(BalancerConfig config);
    /// One more than the highest node number.
    std::size_t node_slots() const { return std::max<std::size_t>(config_.node_count, config_.own_node + 1); }
    std::uint32_t tick_count() const { return tick_count_; }
    std::uint32_t count_tick() { return ++tick_count_; }
    /// The label of the periodic tick's timer; no tunnel's timer has it.
    static constexpr std::uint64_t tick_timer = 0;
    /// Uniformly distributed in [0, 1).
    double random_fraction();
    /// Uniformly distributed in [0, limit).
    Ticks random_delay(Ticks limit);
    /// Logs a line in the format of printf, cut to 159 characters.
    template <class... Values>
    void log_line(const char* format, Values... values) {
        std::array<char, 160> line{};
        const int length = std::snprintf(line.data(), line.size(), format, values...);
        delegate_.log(
            {line.data(), std::min(static_cast<std::size_t>(std::max(length, 0)), line.size() - 1)});
    }
    /// Whether gossip is permitted and there is another node.
    bool gossip_enabled() const;
    double node_count() const;
    /// How many placements in the fleet there are for each one that this node sees: each record is held by
    /// three nodes, or by one if gossip is off.
    double placements_per_sample() const;
    /// The cost of sending a message with items of this size to all other nodes.
    double broadcast_cost(double bytes) const;
    const BalancerConfig& config() const { return config_; }
    BalancerDelegate& delegate() { return delegate_; }
    Ticks now() const { return now_; }
    Ticks started_at() const { return started_at_; }
    double mean_priority_weight() const { return mean_priority_weight_; }
    Ticks longest_client_timeout() const { return longest_client_timeout_; }
    /// `never` if no traffic class has a message latency objective.
    Ticks shortest_message_objective() const { return shortest_message_objective_; }

  private:
    friend class StateCodec;

    void update_traffic_class_totals();

    BalancerConfig config_;
    BalancerDelegate& delegate_;
    Ticks now_;
    Ticks started_at_;
    std::minstd_rand rng_;
    std::uint32_t tick_count_ = 0;
    double mean_priority_weight_ = 0;
    Ticks longest_client_timeout_ = 0;
    Ticks shortest_message_objective_ = never;
};

}  // namespace lemonstair
