#include "balance/placement.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "balance/constants.h"
#include "balance/endpoint_table.h"
#include "balance/gossip_budget.h"
#include "balance/group_affinity.h"
#include "balance/load_cost.h"
#include "balance/load_estimator.h"
#include "balance/node_context.h"
#include "balance/slow_start.h"
#include "balance/slow_start_quota.h"

namespace lemonstair {

Placement::Placement(NodeContext& node, EndpointTable& endpoint_table, SlowStart& slow_start,
                     GossipBudget& gossip_budget, LoadEstimator& load, LoadCost& load_cost_model,
                     GroupAffinity& affinity, SlowStartQuota& slow_start_quota)
    : node_(node),
      endpoint_table_(endpoint_table),
      slow_start_(slow_start),
      gossip_budget_(gossip_budget),
      load_(load),
      load_cost_model_(load_cost_model),
      affinity_(affinity),
      slow_start_quota_(slow_start_quota) {}

std::uint32_t Placement::choose(const TrackedTunnel& tunnel) {
    weights_.assign(endpoint_table_.endpoints().size(), 0);
    quota_short_endpoint_ = none;
    quota_short_cost_ = load_cost_model_.cost_limit(tunnel.traffic_class);
    affinity_.mark_affinity_targets(tunnel);
    double total = 0, least = std::numeric_limits<double>::max();
    const auto weigh = [&](std::uint32_t i, int pass) {
        Endpoint& endpoint = endpoint_table_.endpoints()[i];
        if (endpoint.state != EndpointState::active || !in_deduplication_scope(tunnel, endpoint)) return;
        const bool tried = std::find(tunnel.tried_endpoints.begin(), tunnel.tried_endpoints.end(), i) !=
                           tunnel.tried_endpoints.end();
        const bool on_probation = endpoint.ejected && node_.now() >= endpoint.probation_at &&
                                  tunnel.attempts == 0 &&
                                  (!node_.config().limits.health_checks_enabled ||
                                   endpoint.health_check_passed_at > endpoint.ejected_at);
        if (pass == 0 && (tried || (endpoint_table_.is_excluded(endpoint) && !on_probation))) return;
        const double cost = marginal_cost(i, tunnel.load, tunnel.group);
        if (!slow_start_quota_.slow_start_allows(i)) {
            if (cost < quota_short_cost_) quota_short_endpoint_ = i, quota_short_cost_ = cost;
            return;
        }
        least = std::min(least, cost);
        total += weights_[i] = weight(endpoint, cost);
    };
    for (int pass = 0; pass < 2 && total <= 0; ++pass)
        for (const char in_group : {char{1}, char{0}}) {
            // Another copy of the group would cost twice as much: the other endpoints need not be
            // considered.
            const bool copy_is_costly = load_cost_model_.group_copy_cost(tunnel.group) > 2 * least;
            for (std::uint32_t i = 0;
                 i < endpoint_table_.endpoints().size() && !(copy_is_costly && total > 0); ++i)
                if (affinity_.holds_group()[i] == in_group) weigh(i, pass);
        }
    too_costly_ = total > 0 && !tunnel.mid_flow && least > load_cost_model_.cost_limit(tunnel.traffic_class);
    if (total <= 0 || too_costly_ || (waits_for_lease(tunnel) && least - quota_short_cost_ > lease_min_gain))
        return none;
    if (uses_key_hash(tunnel)) return draw_by_key(tunnel.key);
    double remaining = node_.random_fraction() * total;
    std::uint32_t last = none;
    for (std::uint32_t i = 0; i < endpoint_table_.endpoints().size(); ++i) {
        if (weights_[i] <= 0) continue;
        last = i;
        remaining -= weights_[i];
        if (remaining < 0) break;
    }
    return last;
}

bool Placement::waits_for_lease(const TrackedTunnel& tunnel) const {
    return quota_short_endpoint_ != none && node_.gossip_enabled() &&
           (too_costly_ || tunnel.lease_wait_until == 0 || node_.now() < tunnel.lease_wait_until);
}

double Placement::marginal_cost(std::uint32_t index, double load, std::uint32_t group) const {
    const Endpoint& endpoint = endpoint_table_.endpoints()[index];
    double copy = 0;
    if (group != 0 && affinity_.holds_group()[index] == 0 &&
        !(slow_start_.is_warming_up(endpoint) && load_.fleet_utilization() > 0.6 &&
          !load_.load_totals_known())) {
        if (load_.load_totals_known()) load += group_copy_tunnels * load_.mean_load();
        if (!load_.load_totals_known())
            copy = load_cost_model_.late_cost(std::max(load_cost_model_.utilization_for_cost(endpoint),
                                                       load_cost_model_.group_copy_utilization()),
                                              group_copy_tunnels);
    }
    return load_cost_model_.load_cost(endpoint, load) + copy +
           (endpoint.zone != node_.config().zone ? node_.config().costs.cross_zone : 0);
}

void Placement::estimate_unseen_load() {
    if (load_.load_totals_known() || node_.config().groups_enabled) return;
    weights_.assign(endpoint_table_.endpoints().size(), 0);
    for (std::uint32_t i = 0; i < endpoint_table_.endpoints().size(); ++i)
        if (!endpoint_table_.is_excluded(endpoint_table_.endpoints()[i]) &&
            !slow_start_.is_warming_up(endpoint_table_.endpoints()[i]))
            weights_[i] =
                weight(endpoint_table_.endpoints()[i],
                       load_cost_model_.load_cost(endpoint_table_.endpoints()[i], load_.mean_load()));
    const double unheard_a_second =
        gossip_budget_.placement_rate() / 10 * (node_.placements_per_sample() - 1);
    load_.estimate_unseen_placements(unheard_a_second * load_.mean_load() * tick_interval / second, weights_);
}

double Placement::weight(const Endpoint& endpoint, double cost) const {
    double value = 1 / (cost + 1e-3 +
                        ((load_.misses_other_nodes(endpoint) || load_.has_no_load_data(endpoint)) &&
                                 !slow_start_.is_warming_up(endpoint)
                             ? load_cost_model_.uncertainty_cost()
                             : 0));
    for (int k = 0; k < 3; ++k) value *= value;  // an endpoint of twice the cost gets a 256th of the weight
    const double free =
        load_.misses_other_nodes(endpoint) ? std::max(1 - load_.utilization(endpoint), 0.05) : 1;
    return load_.capacity(endpoint) * free * value + weight_floor;
}

bool Placement::uses_key_hash(const TrackedTunnel& tunnel) const {
    return tunnel.has_key && !tunnel.reconnect && node_.config().packet_passthrough &&
           !node_.gossip_enabled() && node_.node_slots() > 1;
}

std::uint32_t Placement::draw_by_key(std::uint64_t key) const {
    std::uint32_t best = none;
    double most = 0;
    for (std::uint32_t i = 0; i < endpoint_table_.endpoints().size(); ++i) {
        const double chance =
            (static_cast<double>(mix(key ^ mix(endpoint_table_.endpoint_ids()[i])) >> 11) + 0.5) * 0x1p-53;
        const double drawn = weights_[i] / -std::log(chance);
        if (drawn > most) best = i, most = drawn;
    }
    return best;
}

bool Placement::in_deduplication_scope(const TrackedTunnel& tunnel, const Endpoint& endpoint) const {
    if (tunnel.may_have_run_on == none) return true;
    const DeduplicationScope scope = node_.config().traffic_classes[tunnel.traffic_class].deduplication_scope;
    if (node_.config().traffic_classes[tunnel.traffic_class].idempotency !=
            Idempotency::idempotent_with_key ||
        scope == DeduplicationScope::all)
        return true;
    return scope == DeduplicationScope::zone
               ? endpoint.zone == endpoint_table_.endpoints()[tunnel.may_have_run_on].zone
               : endpoint.cell == endpoint_table_.endpoints()[tunnel.may_have_run_on].cell;
}

}  // namespace lemonstair
