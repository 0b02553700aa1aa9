#include "balance/rebalancer.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "balance/admission_control.h"
#include "balance/constants.h"
#include "balance/endpoint_table.h"
#include "balance/group_affinity.h"
#include "balance/load_cost.h"
#include "balance/load_estimator.h"
#include "balance/node_context.h"
#include "balance/placement.h"
#include "balance/record_table.h"
#include "balance/slow_start_quota.h"
#include "balance/tunnel_table.h"
#include "balance/tunnel_turnover.h"

namespace lemonstair {

Rebalancer::Rebalancer(NodeContext& node, EndpointTable& endpoint_table, TunnelTurnover& turnover,
                       LoadEstimator& load, LoadCost& load_cost_model, TunnelTable& tunnel_table,
                       AdmissionControl& admission, GroupAffinity& affinity, SlowStartQuota& slow_start_quota,
                       Placement& placement, RecordTable& records)
    : node_(node),
      endpoint_table_(endpoint_table),
      turnover_(turnover),
      load_(load),
      load_cost_model_(load_cost_model),
      tunnel_table_(tunnel_table),
      admission_(admission),
      affinity_(affinity),
      slow_start_quota_(slow_start_quota),
      placement_(placement),
      records_(records) {}

void Rebalancer::migrate_excess(std::uint32_t index) {
    Endpoint& endpoint = endpoint_table_.endpoints()[index];
    const bool unresponsive = endpoint.ejected && endpoint.unresponsive;
    if (endpoint.open_tunnels == 0 || node_.now() - endpoint.migrated_at < second / 2 ||
        !admission_.admission_was_open() || tunnel_table_.pending_attempts() > 4)
        return;
    const double utilization =
        load_.utilization_at(endpoint, load_.total_load(endpoint) - endpoint.pending_load);
    const bool last_migration_visible =
        load_.load_totals_known() || endpoint.utilization_at > endpoint.migrated_at + placement_visible_after;
    if (!unresponsive && (load_.has_no_load_data(endpoint) || utilization < migrate_above ||
                          utilization < 1.2 * load_.fleet_utilization() || !last_migration_visible))
        return;
    endpoint.migrated_at = node_.now();
    double left = unresponsive ? endpoint.own_load / 2
                               : (utilization - migrate_above) / utilization * endpoint.own_load;
    while (left > 0 && migration_tokens_ >= 1) {
        const std::uint32_t candidate = best_migration(endpoint, utilization, unresponsive);
        if (candidate == none || node_.random_fraction() * tunnel_table_.tunnels()[candidate].load > left)
            return;
        left -= tunnel_table_.tunnels()[candidate].load;
        migration_tokens_ -= 1;
        tunnel_table_.transition_to(candidate, TunnelState::migrating);
        node_.delegate().migrate(tunnel_table_.tunnels()[candidate].id);
    }
}

std::uint32_t Rebalancer::best_migration(const Endpoint& source, double utilization, bool unresponsive) {
    std::uint32_t best = none;
    double best_gain = migration_min_gain;
    for (std::uint32_t index = 0; index < tunnel_table_.tunnels().slot_count(); ++index) {
        const TrackedTunnel& tunnel = tunnel_table_.tunnels()[index];
        if (!tunnel_table_.tunnels().in_use(index) || tunnel.state != TunnelState::open ||
            &endpoint_table_.endpoints()[tunnel.endpoint_index] != &source)
            continue;
        // The copy of a group is freed when its last member leaves, so each member counts for a part of the
        // copy.
        const int members = records_.groups().members(tunnel.group, source.id);
        const double load =
            tunnel.load / load_.mean_load() + (members > 0 ? group_copy_tunnels / members : 0);
        const double cost_here =
            unresponsive
                ? 10
                : load_cost_model_.late_cost(utilization - tunnel.load / load_.capacity(source) / 2, load);
        if (cost_here < best_gain) continue;
        affinity_.mark_affinity_targets(tunnel);
        // At most this: a tunnel that would cost more everywhere is rejected when its client reconnects,
        // which in a full fleet is better than to keep it.
        double cost_elsewhere = load_cost_model_.cost_limit(tunnel.traffic_class);
        const double new_copy_cost = load_cost_model_.group_copy_cost(tunnel.group);
        for (std::uint32_t other = 0; other < endpoint_table_.endpoints().size(); ++other)
            if ((affinity_.holds_group()[other] != 0 || new_copy_cost < cost_elsewhere) &&
                &endpoint_table_.endpoints()[other] != &source &&
                slow_start_quota_.slow_start_allows(other) &&
                load_.has_headroom(endpoint_table_.endpoints()[other], max_utilization))
                cost_elsewhere =
                    std::min(cost_elsewhere, placement_.marginal_cost(other, tunnel.load, tunnel.group));
        if (cost_here - cost_elsewhere <= best_gain) continue;
        best_gain = cost_here - cost_elsewhere;
        best = index;
    }
    return best;
}

// Migrated clients reconnect through a shared store, so the rate of migrations is limited to a multiple of
// the rate at which tunnels end.
void Rebalancer::refill_tokens() {
    const double migration_rate =
        migrations_per_tunnel *
        std::max(turnover_.tunnel_end_rate(), 0.7 * std::min(1.0, 3 / node_.node_count()));
    migration_tokens_ =
        std::min(migration_tokens_ + migration_rate * tick_interval / second, std::max(migration_rate, 2.0));
}

}  // namespace lemonstair
