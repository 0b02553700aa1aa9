#include "balance/node_context.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "balance/constants.h"

namespace lemonstair {

NodeContext::NodeContext(BalancerConfig config, BalancerDelegate& delegate, Ticks now)
    : config_(std::move(config)), delegate_(delegate), now_(now), started_at_(now) {
    rng_.seed(config_.seed);
    update_traffic_class_totals();
}

double NodeContext::random_fraction() {
    return static_cast<double>(rng_() - std::minstd_rand::min()) /
           (static_cast<double>(std::minstd_rand::max() - std::minstd_rand::min()) + 1.0);
}

Ticks NodeContext::random_delay(Ticks below) {
    return static_cast<Ticks>(random_fraction() * static_cast<double>(below));
}

bool NodeContext::gossip_enabled() const { return config_.limits.gossip_enabled && node_slots() > 1; }

double NodeContext::node_count() const { return static_cast<double>(node_slots()); }

double NodeContext::placements_per_sample() const {
    return node_count() / (gossip_enabled() ? std::min(3.0, node_count()) : 1.0);
}

double NodeContext::broadcast_cost(double bytes) const {  // of a message that all other nodes hear
    return config_.costs.gossip_message * (bytes + peer::message_overhead_bytes) / peer::max_message_bytes *
           (node_count() - 1);
}

void NodeContext::update_traffic_class_totals() {
    mean_priority_weight_ = 0;
    longest_client_timeout_ = 0;
    shortest_message_objective_ = never;
    for (const auto& p : config_.traffic_classes) {
        mean_priority_weight_ += p.priority_weight / static_cast<double>(config_.traffic_classes.size());
        longest_client_timeout_ = std::max(longest_client_timeout_, p.client_timeout);
        if (p.message_latency_objective > 0)
            shortest_message_objective_ = std::min(shortest_message_objective_, p.message_latency_objective);
    }
    if (mean_priority_weight_ <= 0) mean_priority_weight_ = 1;
}

void NodeContext::set_config(BalancerConfig given) {
    config_ = std::move(given);
    update_traffic_class_totals();
}

}  // namespace lemonstair
