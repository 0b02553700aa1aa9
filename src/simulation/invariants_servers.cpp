// Rules that are judged from what servers and discovery see: setups, repeated attempts, slow start, endpoint
// states.
#include <algorithm>

#include "simulation/invariants.h"

namespace lemonstair::simulation {

namespace {

using fakes::Answer;

constexpr Ticks second = 10000;
constexpr Ticks margin = 500;  // 50 ms more on each time limit, for transport over sockets
// What a watch that has fallen silent misses counts as told after this time at the latest, and so does, where
// discovery is polled, what it has to tell while it can be reached.
constexpr Ticks staleness_limit = 6 * second;
// Until the nodes follow a discovery that has moved, from SIGHUP.
constexpr Ticks reload_limit = 4 * second;

bool may_have_run(Answer a) { return a != Answer::busy; }

}  // namespace

// An attempt must not begin once the client has closed its connection.
void Invariants::judge_late_attempt(const TunnelRecord& record, std::uint32_t server, simnet::Machine node,
                                    Ticks sent) {
    constexpr Ticks allowed = 1000;  // until the node has noticed that the client closed
    if (record.left_at == 0 || sent <= record.left_at + allowed + margin) return;
    // A server that hung meanwhile read the setup late, so that its time of sending is not known.
    if (servers_[server].silent || servers_[server].silent_until >= record.requested_at) return;
    if (!was_reachable(machine_of_server(server), record.left_at, events_.now()) ||
        !was_reachable(node, record.left_at, events_.now()))
        return;
    report("late_attempt", named(record.request.tunnel) + " was sent to server " + std::to_string(server) +
                               " " + std::to_string((sent - record.left_at) / 10) +
                               " ms after its client had left");
}

void Invariants::judge_effect(const TunnelRecord& record, std::uint32_t server, Ticks sent) {
    const fakes::Profile& p = profile(record);
    if (p.effect == fakes::Idempotency::idempotent) return;
    for (const Setup& s : record.setups) {
        if (!may_have_run(s.answer)) continue;
        const auto scope_of = [&](std::uint32_t h) {
            return p.scope == fakes::DeduplicationScope::all
                       ? 0U
                       : h % 2;  // the fixture assigns zones and cells by the server's index
        };
        if (p.effect == fakes::Idempotency::non_idempotent)
            return report("effect", named(record.request.tunnel) + " ran a second time, at server " +
                                        std::to_string(server));
        if (scope_of(s.server) != scope_of(server) || std::abs(sent - s.sent) > p.window + margin)
            return report("effect", named(record.request.tunnel) +
                                        " was repeated where or when its idempotency key is not known");
    }
}

void Invariants::judge_drain(const TunnelRecord& record, std::uint32_t server, simnet::Machine node,
                             Ticks sent) {
    const Ticks allowed = scenario_.drain_grace + margin;
    const Ticks notified = nodes_[node].inactive_since[server];
    const Ticks told = counts_as_told_since(server, node);
    const Ticks since = notified != 0 && (told == 0 || notified < told) ? notified : told;
    if (since == 0 || sent <= since + allowed || !was_undisturbed(node, since, events_.now())) return;
    report("drain", named(record.request.tunnel) + " went to server " + std::to_string(server) + " " +
                        std::to_string((sent - since) / 10) + " ms after its node " +
                        (since == notified ? "was told" : "counts as told") +
                        " that the server drains or has stopped");
}

Ticks Invariants::counts_as_told_since(std::uint32_t server, simnet::Machine node) const {
    if (discovery_.outages > 0 || servers_[server].unlisted_since == 0) return 0;
    using K = FaultKind;
    const bool exempt = std::any_of(scenario_.faults.begin(), scenario_.faults.end(), [&](const Fault& f) {
        return f.kind == K::network_slow || (f.kind == K::node_starve && f.target == node);
    });
    const Incarnation* incarnation = incarnation_at(node, events_.now());
    if (exempt || incarnation == nullptr) return 0;
    const Ticks known_to_discovery =
        std::max({servers_[server].unlisted_since, discovery_.told_from, incarnation->from});
    return known_to_discovery + (scenario_.must_poll ? staleness_limit : 0);
}

void Invariants::setup_received(fakes::TunnelId tunnel, std::uint32_t server, simnet::End end, Ticks first,
                                bool mid_flow) {
    TunnelRecord& record = record_of(tunnel);
    ++tally_.setups;
    if (record.state == State::unknown)
        return report("line", named(tunnel) + " was sent to server " + std::to_string(server) +
                                  " but no client asked for it");
    const simnet::Machine node = network_.machine_of(end.other());
    if (!mid_flow) {
        // A server that hung may read a setup long after the node gave it up: that one is no longer pending.
        for (const Setup& s : record.setups)
            if (network_.is_open(end.other()) && s.answer == Answer::none &&
                network_.is_open(s.end.other()) && was_reachable(node, s.sent, events_.now()))
                report("at_once", named(tunnel) + " is set up at server " + std::to_string(server) +
                                      " while server " + std::to_string(s.server) + " has not answered");
        judge_late_attempt(record, server, node, first);
        judge_effect(record, server, first);
        judge_drain(record, server, node, first);
    }
    record.setups.push_back({server, end, first});
    // A node that has not been notified of the server's start cannot know that it is in slow start.
    const bool notified = nodes_[node].notified_at[server] > servers_[server].started_at;
    ledger_.record_setup(server, first - events_.start_time(), mid_flow, budget_ ? budget_(server) : 0,
                         notified);
    setups_received_.emplace_back(node, first);
}

void Invariants::setup_answered(fakes::TunnelId tunnel, std::uint32_t server, Answer answer) {
    TunnelRecord& record = record_of(tunnel);
    for (auto it = record.setups.rbegin(); it != record.setups.rend(); ++it)
        if (it->server == server && it->answer == Answer::none) {
            it->answer = answer;
            break;
        }
    if (answer == Answer::up) {
        record.server = server;
        record.server_ended_at = 0;
    } else {
        ++tally_.setups_failed;
    }
}

bool Invariants::gossip_is_reliable() const {
    // Of two records, the one with the newer time stamp is used. If two placements lie closer together than
    // the clocks differ, that may be the earlier one.
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

void Invariants::mid_flow_unknown(fakes::TunnelId tunnel, std::uint32_t server) {
    ++tally_.not_held;
    const TunnelRecord& record = record_of(tunnel);
    const Ticks now = events_.now();
    if (!gossip_is_reliable() || record.opened_at == 0 || record.requested_at - record.opened_at < 2 * second)
        return;
    // The tunnel's record is held by a chain of two nodes and by the node that placed it, so that one end of
    // a node must not lose it. Ends count until the next refresh of records, 12 s; a node that has started
    // gets 3 s to learn the records; and setups are judged up to 4 s after the end.
    constexpr Ticks refresh_interval = 120000, startup_time = 30000, judged_after_end = 40000;
    int ended = 0;
    Ticks last_end = 0;
    for (const Node& n : nodes_)
        for (const Incarnation& l : n.incarnations) {
            if (l.until != 0 && now - l.until < refresh_interval) ++ended, last_end = l.until;
            if (l.from != events_.start_time() && now - l.from < startup_time) return;
        }
    if (ended != 1 || now - last_end > judged_after_end) return;
    // A slow reader is not judged: it may not have read yet that it was moved.
    const bool sound =
        record.server_ended_at == 0 && !record.request.slow_reader && !servers_[record.server].silent &&
        nodes_[record.request.node].inactive_since[record.server] == 0 &&
        was_reachable(machine_of_server(record.server), record.opened_at, now) &&
        std::none_of(scenario_.faults.begin(), scenario_.faults.end(), [&](const Fault& f) {
            return fault_info(f.kind).target == FaultInfo::Target::server && f.target == record.server;
        });
    if (sound)
        report("astray", named(tunnel) + " was sent to server " + std::to_string(server) + " though server " +
                             std::to_string(record.server) + " holds it");
}

void Invariants::server_ended(fakes::TunnelId tunnel, std::uint32_t server) {
    TunnelRecord& record = record_of(tunnel);
    if (record.server == server && record.server_ended_at == 0) record.server_ended_at = events_.now();
}

void Invariants::server_overloaded(std::uint32_t server, double demand, double overload_limit) {
    report("cold", "server " + std::to_string(server) + " got a demand of " + std::to_string(demand) +
                       " cores, its overload limit is " + std::to_string(overload_limit));
}

void Invariants::invalid_line(std::uint32_t server, std::string_view line) {
    report("line", "server " + std::to_string(server) + " received the invalid line '" +
                       std::string(line.substr(0, 40)) + "'");
}

void Invariants::endpoint_state_published(std::uint32_t server, bool active) {
    if (active)
        servers_[server].unlisted_since = 0;
    else if (servers_[server].unlisted_since == 0)
        servers_[server].unlisted_since = events_.now();
}

void Invariants::discovery_reachable(bool reachable) {
    if (!reachable) {
        if (++discovery_.outages == 1) discovery_.unreachable_since = events_.now();
        return;
    }
    if (--discovery_.outages > 0) return;
    discovery_.told_from = std::max(discovery_.told_from, events_.now());
    // A short outage may leave watches open and silent, which their nodes cannot notice before.
    const auto leaves_silent_watches = [](const Fault& f) {
        return f.kind == FaultKind::discovery_mute || f.kind == FaultKind::discovery_unreachable;
    };
    if (std::any_of(scenario_.faults.begin(), scenario_.faults.end(), leaves_silent_watches))
        discovery_.told_from = std::max(discovery_.told_from, discovery_.unreachable_since + staleness_limit);
}

void Invariants::discovery_moved() {
    discovery_.told_from = std::max(discovery_.told_from, events_.now() + reload_limit);
}

void Invariants::endpoint_state_delivered(std::uint32_t node, std::uint32_t server, bool active) {
    if (node >= nodes_.size()) return;
    nodes_[node].notified_at[server] = events_.now();
    Ticks& since = nodes_[node].inactive_since[server];
    if (since == 0 && !active)
        for (const TunnelRecord& record : tunnels_by_id_)
            if (record.state == State::delivered && record.request.node == node && !record.setups.empty() &&
                record.setups.back().server == server && record.setups.back().answer == Answer::none)
                ++tally_.raced;
    since = active ? 0 : since != 0 ? since : events_.now();
}

void Invariants::line_corrupted(fakes::TunnelId tunnel, std::string_view what, std::string_view line) {
    const TunnelRecord& record = record_of(tunnel);
    // A line may be cut where its node or server has died.
    if (what == "cut within a line") {
        const Incarnation* incarnation = incarnation_at(record.request.node, record.requested_at);
        if (incarnation == nullptr || incarnation->until != 0 || record.server_ended_at != 0 ||
            record.request.slow_reader ||
            !was_undisturbed(record.request.node, record.requested_at, events_.now()) ||
            servers_[record.server].silent ||
            !was_reachable(machine_of_server(record.server), record.requested_at, events_.now()))
            return;
    }
    report("line", named(tunnel) + ": " + std::string(what) + ": '" + std::string(line.substr(0, 40)) + "'");
}

}  // namespace lemonstair::simulation
