#include "balance/load_reporter.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "balance/constants.h"
#include "balance/endpoint_table.h"
#include "balance/gossip_budget.h"
#include "balance/gossip_sender.h"
#include "balance/load_estimator.h"
#include "balance/node_context.h"
#include "balance/outlier_detector.h"
#include "balance/peer_table.h"

namespace lemonstair {

LoadReporter::LoadReporter(NodeContext& node, EndpointTable& endpoint_table, PeerTable& peer_table,
                           GossipSender& gossip, GossipBudget& gossip_budget, LoadEstimator& load,
                           OutlierDetector& outliers)
    : node_(node),
      endpoint_table_(endpoint_table),
      peer_table_(peer_table),
      gossip_(gossip),
      gossip_budget_(gossip_budget),
      load_(load),
      outliers_(outliers) {}

void LoadReporter::publish_load_totals_when_due() {
    if (!node_.gossip_enabled()) return;
    if (node_.now() - last_published_at_ < report_period) return;
    gossip_budget_.update_gossip_intervals();
    if (load_.load_totals_known() ? node_.now() - last_published_at_ >= gossip_budget_.load_totals_interval()
                                  : gossip_budget_.load_totals_interval() < 4 * report_period)
        publish_load_totals();
}

void LoadReporter::elect_report_owners() {
    constexpr std::uint32_t together = 8;
    std::uint32_t listed_now = 0;
    for (const auto& endpoint : endpoint_table_.endpoints())
        listed_now += endpoint.state == EndpointState::removed ? 0 : 1;
    const std::uint32_t blocks = listed_now / together + 1;
    for (auto& endpoint : endpoint_table_.endpoints()) {
        Ring::Chain nodes{};
        const std::size_t n = peer_table_.ring().chain(
            mix(endpoint.id % blocks), 3, [this](std::uint32_t k) { return peer_table_.is_alive(k); }, nodes);
        endpoint.report_owners = {none, none, none};
        std::copy_n(nodes.begin(), n, endpoint.report_owners.begin());
        const auto mine =
            std::find(endpoint.report_owners.begin(), endpoint.report_owners.end(), node_.config().own_node);
        endpoint.owner_rank = static_cast<int>(mine - endpoint.report_owners.begin());
    }
    peer_table_.mark_owners_elected();
}

void LoadReporter::publish_reports() {
    if (std::none_of(endpoint_table_.endpoints().begin(), endpoint_table_.endpoints().end(),
                     [this](const Endpoint& endpoint) { return report_is_due(endpoint); }))
        return;
    gossip_.outbox().broadcast_items([&](auto&& put) {
        for (auto& endpoint : endpoint_table_.endpoints()) {
            const bool told_with =
                endpoint.owner_rank != not_report_owner && endpoint.state == EndpointState::active &&
                !endpoint.ejected &&
                std::abs(endpoint.utilization - endpoint.published_utilization) > reported_change / 4;
            if (!told_with && !report_is_due(endpoint)) continue;
            endpoint.failure_published = false;
            endpoint.published_utilization = std::isnan(endpoint.utilization) ? 0 : endpoint.utilization;
            endpoint.published_at = node_.now();
            put([&](peer::Message& m) {
                return m.load_report(endpoint.id, true, endpoint.published_utilization);
            });
        }
    });
    last_published_at_ = node_.now();
}

void LoadReporter::on_load_report(std::uint32_t endpoint_id, bool healthy, double load) {
    if (endpoint_table_.find_endpoint(endpoint_id) == nullptr) return;
    Endpoint& endpoint = *endpoint_table_.find_endpoint(endpoint_id);
    endpoint.on_load_report(load, node_.now());
    endpoint.published_utilization = load;
    endpoint.published_at = node_.now();
    if (!healthy) return;
    endpoint.failure_published = false;
    outliers_.on_reported_healthy(endpoint, "reported healthy by its report owner");
}

void LoadReporter::on_load_total(std::uint32_t sender, std::uint32_t endpoint_id, bool healthy, double load) {
    if (endpoint_table_.find_endpoint(endpoint_id) == nullptr) return;
    Endpoint& endpoint = *endpoint_table_.find_endpoint(endpoint_id);
    endpoint.set_load_of_node(sender, load);
    peer_table_.peers()[sender].load_totals_at = node_.now();
    if (healthy) outliers_.on_reported_healthy(endpoint, "reported healthy by a node");
}

bool LoadReporter::report_is_due(const Endpoint& endpoint) const {
    if (endpoint.state != EndpointState::active || endpoint.owner_rank == not_report_owner ||
        endpoint.ejected)
        return false;
    if (endpoint.failure_published) return node_.now() - endpoint.ejected_at >= endpoint.owner_rank * second;
    if (std::isnan(endpoint.utilization) ||
        node_.now() - last_published_at_ < std::max(second, gossip_budget_.report_interval() / 8))
        return false;
    const double change =
        std::min(std::abs(endpoint.utilization - endpoint.published_utilization) / reported_change, 8.0);
    const auto waited =
        static_cast<double>(node_.now() - endpoint.published_at) / (1 + 2 * endpoint.owner_rank);
    return waited * (change > 0.5 ? change : 0.25) >= static_cast<double>(gossip_budget_.report_interval());
}

void LoadReporter::publish_load_totals() {
    const bool all = ++publish_count_ % 4 == 0;  // repeated, since a message may be lost
    gossip_.outbox().broadcast_items([&](auto&& put) {
        for (auto& endpoint : endpoint_table_.endpoints()) {
            const bool good = endpoint.succeeded_at >= last_published_at_;
            if (endpoint.state == EndpointState::removed ||
                (!all &&
                 std::abs(endpoint.own_load - endpoint.published_load) < 0.02 * load_.capacity(endpoint) &&
                 !good))
                continue;
            endpoint.published_load = endpoint.own_load;
            put([&](peer::Message& m) { return m.load_total(endpoint.id, good, endpoint.own_load); });
        }
    });
    last_published_at_ = node_.now();
}

void LoadReporter::start_publishing() {
    last_published_at_ = node_.now() - node_.random_delay(report_period);
}

}  // namespace lemonstair
