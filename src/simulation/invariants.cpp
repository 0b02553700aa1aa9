#include "simulation/invariants.h"

#include <algorithm>
#include <cstdio>

namespace lemonstair::simulation {

namespace {

constexpr std::size_t max_violations = 200;

}  // namespace

Invariants::Invariants(const Scenario& scenario, simnet::EventQueue& events, simnet::Streams& network)
    : scenario_(scenario),
      events_(events),
      network_(network),
      nodes_(scenario.nodes),
      servers_(scenario.servers),
      cuts_(scenario.nodes + scenario.servers),
      ledger_(scenario.servers) {
    for (Node& n : nodes_) {
        n.inactive_since.assign(scenario.servers, 0);
        n.notified_at.assign(scenario.servers, 0);
    }
}

void Invariants::report(std::string rule, std::string what) {
    if (broken_.size() < max_violations)
        broken_.push_back({events_.now() - events_.start_time(), std::move(rule), std::move(what)});
}

void Invariants::judge_bounds() {
    for (std::uint32_t h = 0; h < scenario_.servers; ++h) {
        std::string who = "server ";
        who += std::to_string(h);
        const double spent = ledger_.most_of_budget(h, scenario_.server.overload_window);
        if (scenario_.max_budget_share > 0 && spent > scenario_.max_budget_share)
            report("budget", who + " was sent " + std::to_string(spent) + " of its budget, the bound is " +
                                 std::to_string(scenario_.max_budget_share));
        const double over = ledger_.most_over_allowance(h, scenario_.server.overload_window);
        if (scenario_.judge_slow_start && over > 0)
            report("slow_start",
                   who + " was sent " + std::to_string(over) + " setups more than slow start allows");
    }
}

std::string Invariants::named(fakes::TunnelId tunnel) const {
    char text[32];
    std::snprintf(text, sizeof text, "tunnel t%x", tunnel);
    std::string out = text;
    if (tunnel < tunnels_by_id_.size())
        out += " at node " + std::to_string(tunnels_by_id_[tunnel].request.node);
    return out;
}

Invariants::TunnelRecord& Invariants::record_of(fakes::TunnelId tunnel) {
    while (tunnels_by_id_.size() <= tunnel) tunnels_by_id_.emplace_back();
    return tunnels_by_id_[tunnel];
}

// ---- faults of nodes and machines

void Invariants::node_started(std::uint32_t node) {
    nodes_[node].incarnations.push_back({events_.now(), 0, NodeEnd::killed, 0});
    nodes_[node].inactive_since.assign(scenario_.servers, 0);
    nodes_[node].notified_at.assign(scenario_.servers, 0);
}

void Invariants::node_shutdown_requested(std::uint32_t node) {
    if (!nodes_[node].incarnations.empty()) nodes_[node].incarnations.back().leaving_since = events_.now();
}

void Invariants::node_ended(std::uint32_t node, NodeEnd how) {
    Incarnation& incarnation = nodes_[node].incarnations.back();
    incarnation.until = events_.now();
    incarnation.how = how;
    for (const TunnelRecord& record : tunnels_by_id_)
        if (record.state == State::delivered && record.request.node == node) ++tally_.orphaned;
}

void Invariants::node_stalled(std::uint32_t node, Ticks until) {
    nodes_[node].stalls.emplace_back(events_.now(), until);
}

void Invariants::machine_cut(simnet::Machine machine, bool on) {
    auto& cuts = cuts_[machine];
    if (on)
        cuts.emplace_back(events_.now(), 0);
    else if (!cuts.empty() && cuts.back().second == 0)
        cuts.back().second = events_.now();
}

const Invariants::Incarnation* Invariants::incarnation_at(std::uint32_t node, Ticks when) const {
    const auto& incarnations = nodes_[node].incarnations;
    for (auto it = incarnations.rbegin(); it != incarnations.rend(); ++it)
        if (it->from <= when) return &*it;
    return nullptr;
}

bool Invariants::was_reachable(simnet::Machine machine, Ticks from, Ticks until) const {
    // Bytes that were in transit at the cut arrive up to 2.5 s after it has ended, because of
    // retransmissions.
    constexpr Ticks retransmission_time = 25000;
    for (const auto& [begin, end] : cuts_[machine])
        if (begin <= until && (end == 0 || end + retransmission_time >= from)) return false;
    return true;
}

bool Invariants::was_undisturbed(std::uint32_t node, Ticks from, Ticks until) const {
    const Incarnation* incarnation = incarnation_at(node, from);
    if (incarnation == nullptr || (incarnation->until != 0 && incarnation->until <= until)) return false;
    for (const auto& [begin, end] : nodes_[node].stalls)
        if (begin <= until && end >= from) return false;
    return was_reachable(node, from, until);
}

}  // namespace lemonstair::simulation
