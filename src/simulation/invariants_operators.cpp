// Rules that are judged from what operators see: drained nodes and the metrics that a node reports.
#include <algorithm>
#include <charconv>

#include "simulation/invariants.h"

namespace lemonstair::simulation {

namespace {

using fakes::Answer;

constexpr Ticks second = 10000;

// The number of a field in JSON that the node wrote; -1 if there is none.
long number_in(std::string_view body, std::string_view name) {
    const auto at = body.find(std::string("\"").append(name).append("\":"));
    long n = -1;
    if (at != std::string_view::npos)
        std::from_chars(body.data() + at + name.size() + 3, body.data() + body.size(), n);
    return n;
}

}  // namespace

void Invariants::judge_drained(std::uint32_t node) {
    if (scenario_.packet_passthrough || nodes_[node].drained_since == 0) return;
    for (const TunnelRecord& record : tunnels_by_id_) {
        if (record.request.node != node || record.state != State::open || record.request.slow_reader)
            continue;
        // A tunnel opened less than 1 s ago may still be moved; one that its server has ended will end
        // anyway.
        if (events_.now() - record.opened_at < second || record.server_ended_at != 0) continue;
        if (!was_reachable(machine_of_server(record.server), record.opened_at, events_.now()) ||
            servers_[record.server].silent)
            continue;
        report("drained",
               named(record.request.tunnel) + " is still open 4 s after its node was told to drain");
    }
}

// Counts must be right within 3 or 1%, whichever is more (open tunnels: 10%), and may be half a second old.
// Tunnels that changed their state less than 0.6 s ago, and clients that left less than 4.5 s ago, may be
// counted or not.
void Invariants::judge_metrics(std::uint32_t node, const std::string& body, Ticks since, bool mixed) {
    constexpr Ticks max_age = 6000, end_grace = 45000;
    const Ticks now = events_.now();
    const auto check = [&](std::string_view what, long reported, long seen, long missing, long more,
                           double part) {
        const long slack = std::max(3L, static_cast<long>(part * static_cast<double>(seen)));
        if (reported < seen - missing - slack || reported > seen + more + slack)
            report("figures", "node " + std::to_string(node) + " reports " + std::to_string(reported) + " " +
                                  std::string(what) + ", clients and servers saw " + std::to_string(seen) +
                                  " (" + std::to_string(missing) + " fewer or " + std::to_string(more) +
                                  " more are allowed, with a tolerance of " + std::to_string(slack) + ")");
    };
    long open = 0, open_missing = 0, open_more = 0, received = 0;
    for (const TunnelRecord& record : tunnels_by_id_) {
        if (record.request.node != node || record.state == State::unknown) continue;
        if (record.state == State::open || record.state == State::delivered) ++open;
        if (now - record.changed_at < max_age) ++open_missing;
        if (record.state == State::requested ||
            (record.state == State::over && now - record.changed_at < end_grace))
            ++open_more;
    }
    for (const auto& [from, sent] : setups_received_) received += from == node && sent >= since ? 1 : 0;
    check("open", number_in(body, "open_requests"), open, open_missing, open_more, 0.1);
    const long listed = number_in(body, "registry_entries"), out = number_in(body, "out_of_rotation");
    if (listed < 0 || listed > static_cast<long>(scenario_.servers) || out < 0 || out > listed)
        report("figures", "node " + std::to_string(node) + " reports " + std::to_string(listed) +
                              " servers and " + std::to_string(out) + " out of rotation, there are " +
                              std::to_string(scenario_.servers));
    if (mixed) return;  // the wire does not show which process answered a client
    const long relayed = number_in(std::string_view(body).substr(body.rfind("},")), "relayed");
    for (std::uint32_t p = 0; p < environment_->profiles.size(); ++p) {
        const auto at = body.find(std::string("\"").append(environment_->profiles[p].name).append("\":{"));
        if (at == std::string::npos)
            return report("figures", "node " + std::to_string(node) + " reports no class '" +
                                         std::string(environment_->profiles[p].name) + "'");
        const std::string_view row = std::string_view(body).substr(at, body.find('}', at) - at);
        long seen[3] = {}, fresh[3] = {}, undecided = 0;
        for (const Attempt& attempt : attempts_) {
            if (attempt.node != node || attempt.profile != p) continue;
            const int kind = attempt.answer == Answer::none                                  ? -1
                             : attempt.answer == Answer::up || attempt.answer == Answer::bye ? 0
                             : attempt.answer == Answer::busy                                ? 1
                                                                                             : 2;
            // A request from before the process started may have waited for it.
            const bool before = attempt.requested_at < since;
            if (kind < 0 || before) {
                undecided += !before || since - attempt.requested_at < 4 * second ? 1 : 0;
                continue;
            }
            ++seen[kind];
            if (now - attempt.answered_at < max_age) ++fresh[kind];
        }
        constexpr const char* names[] = {"fulfilled", "throttled", "faulted"};
        for (int i = 0; i < 3; ++i)
            check(names[i], number_in(row, names[i]), seen[i], fresh[i], undecided, 0.01);
    }
    if (relayed < received - 3 - received / 50)
        report("figures", "node " + std::to_string(node) + " reports " + std::to_string(relayed) +
                              " attempts, servers saw " + std::to_string(received));
}

}  // namespace lemonstair::simulation
