#include "simulation/invariants.h"

#include <algorithm>
#include <cstdio>

namespace lemonstair::simulation {

namespace {

constexpr std::size_t most_broken = 200;

}  // namespace

Invariants::Invariants(const Scenario& day, simnet::EventQueue& events, simnet::Streams& network)
    : day_(day),
      events_(events),
      network_(network),
      nodes_(day.nodes),
      hosts_(day.hosts),
      cuts_(day.nodes + day.hosts),
      ledger_(day.hosts) {
    for (Node& n : nodes_) {
        n.not_in_service.assign(day.hosts, 0);
        n.told_at.assign(day.hosts, 0);
    }
}

void Invariants::broke(std::string rule, std::string what) {
    if (broken_.size() < most_broken)
        broken_.push_back({events_.now() - events_.start_time(), std::move(rule), std::move(what)});
}

void Invariants::judge_bounds() {
    for (std::uint32_t h = 0; h < day_.hosts; ++h) {
        std::string who = "host h";
        who += std::to_string(h);
        const double spent = ledger_.most_of_budget(h, day_.host.fall);
        if (day_.most_of_budget > 0 && spent > day_.most_of_budget)
            broke("budget", who + " was sent " + std::to_string(spent) + " of its budget");
        const double over = ledger_.most_over_allowance(h, day_.host.fall);
        if (day_.slow_start_judged && over > 0)
            broke("slow_start",
                  who + " was sent " + std::to_string(over) + " over what a cold host is allowed");
    }
}

std::string Invariants::named(fakes::TunnelNo tunnel) const {
    char text[32];
    std::snprintf(text, sizeof text, "tunnel t%x", tunnel);
    std::string out = text;
    if (tunnel < books_.size()) out += " at node " + std::to_string(books_[tunnel].asked.node);
    return out;
}

Invariants::Book& Invariants::book(fakes::TunnelNo tunnel) {
    while (books_.size() <= tunnel) books_.emplace_back();
    return books_[tunnel];
}

// ---- disturbances

void Invariants::node_started(std::uint32_t node) {
    nodes_[node].lives.push_back({events_.now(), 0, NodeEnd::killed, 0});
    nodes_[node].not_in_service.assign(day_.hosts, 0);
    nodes_[node].told_at.assign(day_.hosts, 0);
}

void Invariants::node_told_to_leave(std::uint32_t node) {
    if (!nodes_[node].lives.empty()) nodes_[node].lives.back().leaving_since = events_.now();
}

void Invariants::node_ended(std::uint32_t node, NodeEnd how) {
    Life& life = nodes_[node].lives.back();
    life.until = events_.now();
    life.how = how;
    for (const Book& b : books_)
        if (b.state == State::taken && b.asked.node == node) ++tally_.orphaned;
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

const Invariants::Life* Invariants::life_at(std::uint32_t node, Ticks when) const {
    const auto& lives = nodes_[node].lives;
    for (auto it = lives.rbegin(); it != lives.rend(); ++it)
        if (it->from <= when) return &*it;
    return nullptr;
}

bool Invariants::machine_reached(simnet::Machine machine, Ticks from, Ticks until) const {
    // What was under way when it was cut off comes up to some seconds after it is back.
    constexpr Ticks after = 25000;
    for (const auto& [a, b] : cuts_[machine])
        if (a <= until && (b == 0 || b + after >= from)) return false;
    return true;
}

bool Invariants::undisturbed(std::uint32_t node, Ticks from, Ticks until) const {
    const Life* life = life_at(node, from);
    if (life == nullptr || (life->until != 0 && life->until <= until)) return false;
    for (const auto& [a, b] : nodes_[node].stalls)
        if (a <= until && b >= from) return false;
    return machine_reached(node, from, until);
}

}  // namespace lemonstair::simulation
