#include "balance/slow_start_quota.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "balance/constants.h"
#include "balance/endpoint_table.h"
#include "balance/gossip_sender.h"
#include "balance/load_estimator.h"
#include "balance/node_context.h"
#include "balance/placement.h"
#include "balance/slow_start.h"
#include "balance/tunnel_table.h"
#include "balance/tunnel_turnover.h"

namespace lemonstair {

SlowStartQuota::SlowStartQuota(NodeContext& node, EndpointTable& endpoint_table, GossipSender& gossip,
                               SlowStart& slow_start, TunnelTurnover& turnover, LoadEstimator& load,
                               TunnelTable& tunnel_table, Placement& placement)
    : node_(node),
      endpoint_table_(endpoint_table),
      gossip_(gossip),
      slow_start_(slow_start),
      turnover_(turnover),
      load_(load),
      tunnel_table_(tunnel_table),
      placement_(placement) {
    start_quota_schedule(node.now());
}

double SlowStartQuota::slow_start_rate(const Endpoint& endpoint) const {
    const double window =
        static_cast<double>(node_.config().rules.overload_window) /
        static_cast<double>(node_.config().rules.overload_window + quota_schedule_.spendable_for);
    return slow_start_safety * window * node_.config().rules.overload_multiple * load_.capacity(endpoint) /
           (load_.mean_load() * fill_duration());
}

bool SlowStartQuota::slow_start_allows(std::uint32_t index) const {
    const Endpoint& endpoint = endpoint_table_.endpoints()[index];
    return !slow_start_.is_warming_up(endpoint) ||
           endpoint.quota.available(quota_schedule_, endpoint.id, slow_start_rate(endpoint), node_.now()) > 0;
}

void SlowStartQuota::request_lease(std::uint32_t index) {
    TrackedTunnel& tunnel = tunnel_table_.tunnels()[index];
    if (tunnel.lease_wait_until == 0)
        node_.delegate().set_timer(tunnel.lease_wait_until = node_.now() + lease_timeout,
                                   tunnel_table_.timer_label(index));
    Endpoint& endpoint = endpoint_table_.endpoints()[placement_.quota_short_endpoint()];
    for (int i = 0; i < lease_fanout; ++i) {
        const auto request = endpoint.quota.request_lease(quota_schedule_, endpoint.id,
                                                          slow_start_rate(endpoint), node_.now());
        if (!request) return;
        const auto slot = static_cast<std::uint32_t>(request->slot);
        gossip_.post(request->node, [&](peer::Message& m) { return m.lease_request(endpoint.id, slot); });
    }
}

void SlowStartQuota::on_lease_request(std::uint32_t sender, std::uint32_t endpoint_id, std::uint32_t slot) {
    Endpoint* endpoint = endpoint_table_.find_endpoint(endpoint_id);
    if (endpoint == nullptr || !slow_start_.is_warming_up(*endpoint)) return;
    if (!endpoint->quota.grant_lease(quota_schedule_, endpoint_id,
                                     quota_schedule_.expand_slot(slot, node_.now()),
                                     slow_start_rate(*endpoint), node_.now()))
        return;
    gossip_.post(sender, [&](peer::Message& m) { return m.lease_grant(endpoint_id, slot); });
}

bool SlowStartQuota::on_lease_grant(std::uint32_t sender, std::uint32_t endpoint_id, std::uint32_t slot) {
    Endpoint* endpoint = endpoint_table_.find_endpoint(endpoint_id);
    return endpoint != nullptr &&
           endpoint->quota.accept_lease(quota_schedule_, endpoint_id,
                                        quota_schedule_.expand_slot(slot, node_.now()), sender, node_.now());
}

void SlowStartQuota::restart_quota_schedule() {
    start_quota_schedule(node_.now());
    for (Endpoint& endpoint : endpoint_table_.endpoints()) endpoint.quota = {};
}

double SlowStartQuota::fill_duration() const {
    return std::min(turnover_.mean_tunnel_lifetime(),
                    static_cast<double>(node_.config().rules.slow_start_duration) / second);
}

void SlowStartQuota::start_quota_schedule(Ticks incarnation_started_at) {
    const Ticks window =
        node_.config().rules.overload_window > 0 ? node_.config().rules.overload_window : second;
    const auto node_count = static_cast<std::uint32_t>(node_.node_slots());
    quota_schedule_ = {node_.config().own_node, node_count, std::max<Ticks>(window / 16, 1), window / 2,
                       incarnation_started_at};
}

}  // namespace lemonstair
