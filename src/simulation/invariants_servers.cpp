// Rules judged from what servers and discovery see: setups, repeats, slow start, endpoint states.
#include <algorithm>

#include "simulation/invariants.h"

namespace lemonstair::simulation {

namespace {

using fakes::Answer;

constexpr Ticks second = 10000;
constexpr Ticks margin = 500;  // each time limit is 50 ms longer on sockets
constexpr Ticks drain_grace = 30000;

bool may_have_run(Answer a) { return a != Answer::busy; }

}  // namespace

// Guards against work for nobody: the client closed its connection before the attempt began.
void Invariants::judge_late_attempt(const TunnelRecord& b, std::uint32_t host, simnet::Machine node,
                                    Ticks sent) {
    constexpr Ticks allowed = 1000;
    if (b.left_at == 0 || sent <= b.left_at + allowed + margin) return;
    // A host that hung meanwhile read it late: when its first byte was sent is not known.
    if (hosts_[host].mute || hosts_[host].mute_until >= b.asked_at) return;
    if (!was_reachable(machine_of_server(host), b.left_at, events_.now()) ||
        !was_reachable(node, b.left_at, events_.now()))
        return;
    report("late_attempt", named(b.asked.tunnel) + " went to host " + std::to_string(host) + " " +
                               std::to_string((sent - b.left_at) / 10) + " ms after its client had left");
}

void Invariants::judge_effect(const TunnelRecord& b, std::uint32_t host, Ticks sent) {
    const fakes::Profile& p = profile(b);
    if (p.effect == fakes::Idempotency::idempotent) return;
    for (const Setup& s : b.setups) {
        if (!may_have_run(s.answer)) continue;
        const auto place = [&](std::uint32_t h) {
            return p.scope == fakes::DeduplicationScope::all
                       ? 0U
                       : h % 2;  // zones and cells go by the host's number
        };
        if (p.effect == fakes::Idempotency::non_idempotent)
            return report("effect",
                          named(b.asked.tunnel) + " ran a second time, at host " + std::to_string(host));
        if (place(s.host) != place(host) || std::abs(sent - s.sent) > p.window + margin)
            return report("effect", named(b.asked.tunnel) + " was repeated where its mark is not known");
    }
}

void Invariants::setup_received(fakes::TunnelId tunnel, std::uint32_t host, simnet::End end, Ticks first,
                                bool mid_flow) {
    TunnelRecord& b = record_of(tunnel);
    ++tally_.setups;
    if (b.state == State::unknown) return report("line", named(tunnel) + " is one that no client asked for");
    const simnet::Machine node = network_.machine_of(end.other());
    if (!mid_flow) {
        // What a host that hung reads long after the node gave it up is no longer out.
        for (const Setup& s : b.setups)
            if (network_.is_open(end.other()) && s.answer == Answer::none &&
                network_.is_open(s.end.other()) && was_reachable(node, s.sent, events_.now()))
                report("at_once", named(tunnel) + " is set up at host " + std::to_string(host) + " while " +
                                      std::to_string(s.host) + " still has it");
        judge_late_attempt(b, host, node, first);
        judge_effect(b, host, first);
        const Ticks since = nodes_[node].inactive_since[host];
        if (since != 0 && first > since + drain_grace + margin && was_undisturbed(node, since, events_.now()))
            report("drain", named(tunnel) + " went to host " + std::to_string(host) + " " +
                                std::to_string((first - since) / 10) + " ms after its node was told");
    }
    b.setups.push_back({host, end, first});
    // Whoever has not been told of its start takes it for warm.
    const bool told = nodes_[node].notified_at[host] > hosts_[host].started_at;
    ledger_.setup_came(host, first - events_.start_time(), mid_flow, budget_ ? budget_(host) : 0, told);
    setups_received_.emplace_back(node, first);
}

void Invariants::setup_answered(fakes::TunnelId tunnel, std::uint32_t host, Answer answer) {
    TunnelRecord& b = record_of(tunnel);
    for (auto it = b.setups.rbegin(); it != b.setups.rend(); ++it)
        if (it->host == host && it->answer == Answer::none) {
            it->answer = answer;
            break;
        }
    if (answer == Answer::up) {
        b.holder = host;
        b.host_ended_at = 0;
    } else {
        ++tally_.setups_failed;
    }
}

bool Invariants::gossip_is_reliable() const {
    // The newest stamp wins: of two placements within less than the clocks differ by, the earlier may.
    if (scenario_.max_clock_skew > 0) return false;
    if (!scenario_.peers || scenario_.network.lost > 0 || scenario_.network.datagram_jitter > 1000)
        return false;
    using K = FaultKind;
    return std::none_of(scenario_.faults.begin(), scenario_.faults.end(), [](const Fault& f) {
        return f.kind == K::datagrams_lost || f.kind == K::datagrams_late || f.kind == K::node_vanish ||
               f.kind == K::path_cut || f.kind == K::network_slow || f.kind == K::node_starve ||
               f.kind == K::node_stall;
    });
}

void Invariants::mid_flow_unknown(fakes::TunnelId tunnel, std::uint32_t host) {
    ++tally_.not_held;
    const TunnelRecord& b = record_of(tunnel);
    const Ticks now = events_.now();
    if (!gossip_is_reliable() || b.opened_at == 0 || b.asked_at - b.opened_at < 2 * second) return;
    // Its record is on a chain of two nodes and at its placer: any one of them may have ended.
    constexpr Ticks refreshed = 120000, settled = 30000, parked = 40000;
    int ended = 0;
    Ticks last_end = 0;
    for (const Node& n : nodes_)
        for (const Incarnation& l : n.incarnations) {
            if (l.until != 0 && now - l.until < refreshed) ++ended, last_end = l.until;
            if (l.from != events_.start_time() && now - l.from < settled) return;
        }
    if (ended != 1 || now - last_end > parked) return;
    // A client that reads nothing may not know yet that it was moved.
    const bool sound =
        b.host_ended_at == 0 && !b.asked.slow_reader && !hosts_[b.holder].mute &&
        nodes_[b.asked.node].inactive_since[b.holder] == 0 &&
        was_reachable(machine_of_server(b.holder), b.opened_at, now) &&
        std::none_of(scenario_.faults.begin(), scenario_.faults.end(), [&](const Fault& f) {
            return fault_info(f.kind).target == FaultInfo::Target::server && f.target == b.holder;
        });
    if (sound)
        report("astray", named(tunnel) + " went to host " + std::to_string(host) + " though host " +
                             std::to_string(b.holder) + " holds it");
}

void Invariants::server_ended(fakes::TunnelId tunnel, std::uint32_t host) {
    TunnelRecord& b = record_of(tunnel);
    if (b.holder == host && b.host_ended_at == 0) b.host_ended_at = events_.now();
}

void Invariants::server_overloaded(std::uint32_t host, double asked, double overload_limit) {
    report("cold", "host " + std::to_string(host) + " was asked for " + std::to_string(asked) +
                       " cores and bears " + std::to_string(overload_limit));
}

void Invariants::invalid_line(std::uint32_t host, std::string_view line) {
    report("line", "host " + std::to_string(host) + " got '" + std::string(line.substr(0, 40)) + "'");
}

void Invariants::endpoint_state_delivered(std::uint32_t node, std::uint32_t host, bool active) {
    if (node >= nodes_.size()) return;
    nodes_[node].notified_at[host] = events_.now();
    Ticks& since = nodes_[node].inactive_since[host];
    if (since == 0 && !active)
        for (const TunnelRecord& b : tunnels_by_id_)
            if (b.state == State::taken && b.asked.node == node && !b.setups.empty() &&
                b.setups.back().host == host && b.setups.back().answer == Answer::none)
                ++tally_.raced;
    since = active ? 0 : since != 0 ? since : events_.now();
}

void Invariants::line_corrupted(fakes::TunnelId tunnel, std::string_view what, std::string_view line) {
    const TunnelRecord& b = record_of(tunnel);
    // Half a line is left of a connection whose node or host has died.
    if (what == "cut within a line") {
        const Incarnation* life = incarnation_at(b.asked.node, b.asked_at);
        if (life == nullptr || life->until != 0 || b.host_ended_at != 0 || b.asked.slow_reader ||
            !was_undisturbed(b.asked.node, b.asked_at, events_.now()) || hosts_[b.holder].mute ||
            !was_reachable(machine_of_server(b.holder), b.asked_at, events_.now()))
            return;
    }
    report("line", named(tunnel) + ": " + std::string(what) + ": '" + std::string(line.substr(0, 40)) + "'");
}

}  // namespace lemonstair::simulation
