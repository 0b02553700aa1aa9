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
void Invariants::judge_late_attempt(const Book& b, std::uint32_t host, simnet::Machine node, Ticks sent) {
    constexpr Ticks allowed = 1000;
    if (b.left_at == 0 || sent <= b.left_at + allowed + margin) return;
    // A host that hung meanwhile read it late: when its first byte was sent is not known.
    if (hosts_[host].mute || hosts_[host].mute_until >= b.asked_at) return;
    if (!machine_reached(machine_of_host(host), b.left_at, events_.now()) ||
        !machine_reached(node, b.left_at, events_.now()))
        return;
    broke("late_attempt", named(b.asked.tunnel) + " went to host " + std::to_string(host) + " " +
                              std::to_string((sent - b.left_at) / 10) + " ms after its client had left");
}

void Invariants::judge_effect(const Book& b, std::uint32_t host, Ticks sent) {
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
            return broke("effect",
                         named(b.asked.tunnel) + " ran a second time, at host " + std::to_string(host));
        if (place(s.host) != place(host) || std::abs(sent - s.sent) > p.window + margin)
            return broke("effect", named(b.asked.tunnel) + " was repeated where its mark is not known");
    }
}

void Invariants::setup_came(fakes::TunnelNo tunnel, std::uint32_t host, simnet::End end, Ticks first,
                            bool mid_flow) {
    Book& b = book(tunnel);
    ++tally_.setups;
    if (b.state == State::unknown) return broke("line", named(tunnel) + " is one that no client asked for");
    const simnet::Machine node = network_.machine_of(end.other());
    if (!mid_flow) {
        // What a host that hung reads long after the node gave it up is no longer out.
        for (const Setup& s : b.setups)
            if (network_.is_open(end.other()) && s.answer == Answer::none &&
                network_.is_open(s.end.other()) && machine_reached(node, s.sent, events_.now()))
                broke("at_once", named(tunnel) + " is set up at host " + std::to_string(host) + " while " +
                                     std::to_string(s.host) + " still has it");
        judge_late_attempt(b, host, node, first);
        judge_effect(b, host, first);
        const Ticks since = nodes_[node].not_in_service[host];
        if (since != 0 && first > since + drain_grace + margin && undisturbed(node, since, events_.now()))
            broke("drain", named(tunnel) + " went to host " + std::to_string(host) + " " +
                               std::to_string((first - since) / 10) + " ms after its node was told");
    }
    b.setups.push_back({host, end, first});
    // Whoever has not been told of its start takes it for warm.
    const bool told = nodes_[node].told_at[host] > hosts_[host].started_at;
    ledger_.setup_came(host, first - events_.start_time(), mid_flow, budget_ ? budget_(host) : 0, told);
    setups_came_.emplace_back(node, first);
}

void Invariants::setup_answered(fakes::TunnelNo tunnel, std::uint32_t host, Answer answer) {
    Book& b = book(tunnel);
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

bool Invariants::told_surely() const {
    // The newest stamp wins: of two placements within less than the clocks differ by, the earlier may.
    if (day_.clocks_apart > 0) return false;
    if (!day_.peers || day_.weather.lost > 0 || day_.weather.datagram_jitter > 1000) return false;
    using K = FaultKind;
    return std::none_of(day_.faults.begin(), day_.faults.end(), [](const Fault& f) {
        return f.kind == K::datagrams_lost || f.kind == K::datagrams_late || f.kind == K::node_vanish ||
               f.kind == K::path_cut || f.kind == K::network_slow || f.kind == K::node_starve ||
               f.kind == K::node_stall;
    });
}

void Invariants::not_held(fakes::TunnelNo tunnel, std::uint32_t host) {
    ++tally_.not_held;
    const Book& b = book(tunnel);
    const Ticks now = events_.now();
    if (!told_surely() || b.opened_at == 0 || b.asked_at - b.opened_at < 2 * second) return;
    // Its record is on a chain of two nodes and at its placer: any one of them may have ended.
    constexpr Ticks refreshed = 120000, settled = 30000, parked = 40000;
    int ended = 0;
    Ticks last_end = 0;
    for (const Node& n : nodes_)
        for (const Life& l : n.lives) {
            if (l.until != 0 && now - l.until < refreshed) ++ended, last_end = l.until;
            if (l.from != events_.start_time() && now - l.from < settled) return;
        }
    if (ended != 1 || now - last_end > parked) return;
    // A client that reads nothing may not know yet that it was moved.
    const bool sound = b.host_ended_at == 0 && !b.asked.slow_reader && !hosts_[b.holder].mute &&
                       nodes_[b.asked.node].not_in_service[b.holder] == 0 &&
                       machine_reached(machine_of_host(b.holder), b.opened_at, now) &&
                       std::none_of(day_.faults.begin(), day_.faults.end(), [&](const Fault& f) {
                           return row_of(f.kind).who == FaultRow::Who::host && f.who == b.holder;
                       });
    if (sound)
        broke("astray", named(tunnel) + " went to host " + std::to_string(host) + " though host " +
                            std::to_string(b.holder) + " holds it");
}

void Invariants::host_ended(fakes::TunnelNo tunnel, std::uint32_t host) {
    Book& b = book(tunnel);
    if (b.holder == host && b.host_ended_at == 0) b.host_ended_at = events_.now();
}

void Invariants::pushed_over(std::uint32_t host, double asked, double bears) {
    broke("cold", "host " + std::to_string(host) + " was asked for " + std::to_string(asked) +
                      " cores and bears " + std::to_string(bears));
}

void Invariants::bad_line(std::uint32_t host, std::string_view line) {
    broke("line", "host " + std::to_string(host) + " got '" + std::string(line.substr(0, 40)) + "'");
}

void Invariants::told(std::uint32_t node, std::uint32_t host, bool active) {
    if (node >= nodes_.size()) return;
    nodes_[node].told_at[host] = events_.now();
    Ticks& since = nodes_[node].not_in_service[host];
    if (since == 0 && !active)
        for (const Book& b : books_)
            if (b.state == State::taken && b.asked.node == node && !b.setups.empty() &&
                b.setups.back().host == host && b.setups.back().answer == Answer::none)
                ++tally_.raced;
    since = active ? 0 : since != 0 ? since : events_.now();
}

void Invariants::line_wrong(fakes::TunnelNo tunnel, std::string_view what, std::string_view line) {
    const Book& b = book(tunnel);
    // Half a line is left of a connection whose node or host has died.
    if (what == "cut within a line") {
        const Life* life = life_at(b.asked.node, b.asked_at);
        if (life == nullptr || life->until != 0 || b.host_ended_at != 0 || b.asked.slow_reader ||
            !undisturbed(b.asked.node, b.asked_at, events_.now()) || hosts_[b.holder].mute ||
            !machine_reached(machine_of_host(b.holder), b.asked_at, events_.now()))
            return;
    }
    broke("line", named(tunnel) + ": " + std::string(what) + ": '" + std::string(line.substr(0, 40)) + "'");
}

}  // namespace lemonstair::simulation
