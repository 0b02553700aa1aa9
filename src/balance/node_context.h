/// What every decision module needs of its node: configuration, clock, random draws, the delegate, and
/// figures that follow from the configuration alone.
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

    void set_time(Ticks now_given) { now_ = now_given; }
    /// Replaces the configuration; as many nodes and traffic classes as before.
    void set_config(BalancerConfig given);
    /// Nodes of the fleet, as numbers go.
    std::size_t node_slots() const { return std::max<std::size_t>(config_.node_count, config_.own_node + 1); }
    std::uint32_t tick_count() const { return tick_count_value_; }
    std::uint32_t count_tick() { return ++tick_count_value_; }
    /// 0 is the periodic tick's.
    static constexpr std::uint64_t tick_timer = 0;
    double random_fraction();
    Ticks random_delay(Ticks below);
    template <class... Figures>
    void log_line(const char* format, Figures... figures) {
        std::array<char, 160> line{};
        const int n = std::snprintf(line.data(), line.size(), format, figures...);
        delegate_.log({line.data(), std::min(static_cast<std::size_t>(std::max(n, 0)), line.size() - 1)});
    }
    bool gossip_enabled() const;
    double node_count() const;
    /// Each record is held at three nodes, or where nodes may not talk at one: the placements of all for one
    /// that a node sees.
    double placements_per_sample() const;
    double broadcast_cost(double bytes) const;
    const BalancerConfig& config() const { return config_; }
    BalancerDelegate& delegate() { return delegate_; }
    Ticks now() const { return now_; }
    Ticks started_at() const { return started_at_; }
    double mean_priority_weight() const { return mean_priority_weight_; }
    Ticks longest_client_timeout() const { return longest_client_timeout_; }
    Ticks shortest_message_objective() const { return shortest_message_objective_; }

  private:
    friend class StateCodec;

    void update_traffic_class_totals();

    BalancerConfig config_;
    BalancerDelegate& delegate_;
    Ticks now_;
    Ticks started_at_;
    std::minstd_rand rng_;
    std::uint32_t tick_count_value_ = 0;
    double mean_priority_weight_ = 0;
    Ticks longest_client_timeout_ = 0;
    Ticks shortest_message_objective_ = never;  // never: no class has one
};

}  // namespace lemonstair
