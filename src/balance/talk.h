// What a node tells the others again and again, how often that is paid for, and who reports of which
// endpoint_id. Which endpoint_id a tunnel goes to is not decided here.
#pragma once
#include <algorithm>
#include <cmath>

#include "balance/loads.h"

namespace lemonstair {

constexpr double gossip_share = 0.02;
constexpr double reported_change = 0.1;  // of a load, that is told after the usual pause
constexpr int not_report_owner = 3;

struct Talk : Loads {
    using Loads::Loads;

    template <class Add>
    void post(std::uint32_t node, Add&& add) {
        if (gossip_enabled() && node != config.own_node && node != none) outbox.post(node, add);
    }
    // What is told and probed again and again is paid by the tunnels placed: it is done as often as this part
    // of their credit pays for. The price is that of a round of all nodes, the tunnels those of all nodes.
    Ticks affordable_interval(Ticks wanted, double price, int longest) const {
        const double paid =
            price / (gossip_share * std::max(placement_rate / 10 * placements_per_sample(), 0.05));
        return std::clamp(static_cast<Ticks>(std::min(paid, 1e6) * second), wanted, longest * wanted);
    }

    // Who has started or fallen silent is told to all where that is paid, if all nodes did so, by the tunnels
    // of the time in which refreshes put the records right by themselves. Guards against a storm when many
    // nodes start or end at once.
    bool gossip_worthwhile(int times = 1) const {
        return affordable_interval(second, broadcast_cost(1) * node_count() / times, 20) <= refresh_period;
    }
    void update_gossip_intervals() {
        const auto servers = static_cast<double>(endpoints.size());
        const double reporters = std::min(node_count(), servers / 8 + 1);
        load_totals_interval = affordable_interval(
            report_period, broadcast_cost(peer::load_total_bytes * servers) * node_count(), 8);
        const double word = broadcast_cost(peer::load_report_bytes * servers / reporters);
        report_interval = affordable_interval(report_period, word * reporters, 16);
    }
    void publish_load_totals() {
        const bool all = ++publish_count % 4 == 0;  // what is lost is told again in the end
        outbox.broadcast_items([&](auto&& put) {
            for (auto& endpoint : endpoints) {
                const bool good = endpoint.succeeded_at >= last_published_at;
                if (endpoint.state == EndpointState::removed ||
                    (!all &&
                     std::abs(endpoint.own_load - endpoint.published_load) < 0.02 * capacity(endpoint) &&
                     !good))
                    continue;
                endpoint.published_load = endpoint.own_load;
                put([&](peer::Message& m) { return m.load_total(endpoint.id, good, endpoint.own_load); });
            }
        });
        last_published_at = now;
    }
    // Eps of one block have the same reporter, who tells of them in one message; the next two on the ring
    // take its place one after the other where it says nothing. The blocks follow from the list alone: nodes
    // that have the same list agree on them, however they came to it.
    void elect_report_owners() {
        constexpr std::uint32_t together = 8;
        std::uint32_t listed_now = 0;
        for (const auto& endpoint : endpoints) listed_now += endpoint.state == EndpointState::removed ? 0 : 1;
        const std::uint32_t blocks = listed_now / together + 1;
        for (auto& endpoint : endpoints) {
            Ring::Chain nodes{};
            const std::size_t n = ring.chain(
                mix(endpoint.id % blocks), 3, [this](std::uint32_t k) { return is_alive(k); }, nodes);
            endpoint.report_owners = {none, none, none};
            std::copy_n(nodes.begin(), n, endpoint.report_owners.begin());
            const auto mine =
                std::find(endpoint.report_owners.begin(), endpoint.report_owners.end(), config.own_node);
            endpoint.owner_rank = static_cast<int>(mine - endpoint.report_owners.begin());
        }
        ring_changed = false;
    }
    // The reporter's word to all: at once where an endpoint_id fell silent or came back, else as its price
    // allows, and the sooner the more its load has changed.
    bool report_is_due(const Endpoint& endpoint) const {
        if (endpoint.state != EndpointState::active || endpoint.owner_rank == not_report_owner ||
            endpoint.ejected)
            return false;
        if (endpoint.failure_published) return now - endpoint.ejected_at >= endpoint.owner_rank * second;
        if (std::isnan(endpoint.utilization) ||
            now - last_published_at < std::max(second, report_interval / 8))
            return false;
        const double change =
            std::min(std::abs(endpoint.utilization - endpoint.published_utilization) / reported_change, 8.0);
        const auto waited = static_cast<double>(now - endpoint.published_at) / (1 + 2 * endpoint.owner_rank);
        return waited * (change > 0.5 ? change : 0.25) >= static_cast<double>(report_interval);
    }
    // That one is dead, once enough nodes found it so; the next in rank says it where those before do not.
    bool failure_is_due(const Endpoint& endpoint) const {
        if (!endpoint.ejected || endpoint.state != EndpointState::active ||
            endpoint.owner_rank == not_report_owner)
            return false;
        if (now - endpoint.ejected_at < endpoint.owner_rank * second / (endpoint.unresponsive ? 4 : 1))
            return false;
        return now - endpoint.failure_published_at >= failure_detector::renewal_interval &&
               (endpoint.unresponsive ? endpoint.unresponsive_observations.is_unresponsive(now)
                                      : endpoint.failure_observations.is_failing(now));
    }
    void publish_failure(Endpoint& endpoint) {
        const failure_detector::ObservationPair by =
            (endpoint.unresponsive ? endpoint.unresponsive_observations : endpoint.failure_observations)
                .newest();
        endpoint.failure_published = true;
        endpoint.failure_published_at = now;
        outbox.broadcast(
            [&](auto& m) { m.endpoint_failure(endpoint.id, by[1].when, by[0].node, by[1].node); });
    }
    void publish_reports() {
        if (std::none_of(endpoints.begin(), endpoints.end(),
                         [this](const Endpoint& endpoint) { return report_is_due(endpoint); }))
            return;
        outbox.broadcast_items([&](auto&& put) {
            for (auto& endpoint : endpoints) {
                const bool told_with =
                    endpoint.owner_rank != not_report_owner && endpoint.state == EndpointState::active &&
                    !endpoint.ejected &&
                    std::abs(endpoint.utilization - endpoint.published_utilization) > reported_change / 4;
                if (!told_with && !report_is_due(endpoint)) continue;
                endpoint.failure_published = false;
                endpoint.published_utilization = std::isnan(endpoint.utilization) ? 0 : endpoint.utilization;
                endpoint.published_at = now;
                put([&](peer::Message& m) {
                    return m.load_report(endpoint.id, true, endpoint.published_utilization);
                });
            }
        });
        last_published_at = now;
    }
};

}  // namespace lemonstair
