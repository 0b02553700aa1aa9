// Rules that are judged from what clients see: answers, connections that are cut, lines.
#include <algorithm>

#include "simulation/invariants.h"

namespace lemonstair::simulation {

namespace {

using fakes::Answer;

constexpr Ticks second = 10000;
constexpr Ticks margin = 500;                  // 50 ms more on each time limit, for transport over sockets
constexpr Ticks end_forwarding_limit = 10000;  // of rule end_late
constexpr Ticks shutdown_grace = 37000;        // from SIGTERM to SIGKILL

bool may_have_run(Answer a) { return a != Answer::busy; }

}  // namespace

void Invariants::tunnel_requested(const fakes::TunnelRequest& what) {
    TunnelRecord& record = record_of(what.tunnel);
    set_state(record, State::requested);
    record.request = what;
    record.attempt = attempts_.size();
    attempts_.push_back({what.node, what.profile, events_.now(), 0, Answer::none});
    record.requested_at = events_.now();
    record.delivered_at = record.left_at = 0;
    if (what.mid_flow) ++tally_.resumed;
}

void Invariants::request_delivered(fakes::TunnelId tunnel) {
    TunnelRecord& record = record_of(tunnel);
    if (record.state != State::requested) return;
    set_state(record, State::delivered);
    record.delivered_at = events_.now();
    ++tally_.taken;
}

void Invariants::request_answered(fakes::TunnelId tunnel, Answer answer, Ticks written_at) {
    TunnelRecord& record = record_of(tunnel);
    const bool waited = record.state == State::requested || record.state == State::delivered;
    if (answer == Answer::move) {
        set_state(record, State::over);
        return;
    }
    if (!waited) return report("twice", named(tunnel) + " got an answer though it was not waiting for one");
    attempts_[record.attempt].answer = answer;
    attempts_[record.attempt].answered_at = events_.now();
    if (record.delivered_at != 0 &&
        written_at > record.delivered_at + record.request.client_timeout + scenario_.answer_slack &&
        was_undisturbed(record.request.node, record.delivered_at, written_at))
        report("answer",
               named(tunnel) + " got its answer " +
                   std::to_string((written_at - record.delivered_at - record.request.client_timeout) / 10) +
                   " ms after its wait was over");
    const bool ran = std::any_of(record.setups.begin(), record.setups.end(),
                                 [](const Setup& s) { return may_have_run(s.answer); });
    if (answer == Answer::up) {
        ++tally_.opened;
        set_state(record, State::open);
        record.opened_at = events_.now();
        if (std::none_of(record.setups.begin(), record.setups.end(),
                         [](const Setup& s) { return s.answer == Answer::up; }))
            report("twice", named(tunnel) + " got UP though no server had opened it");
        return;
    }
    set_state(record, State::over);
    ++(answer == Answer::busy ? tally_.declined : tally_.failed);
    if (answer == Answer::busy) ledger_.declined(any_idle_ && any_idle_());
    if (answer != Answer::busy || !ran || record.request.mid_flow) return;
    const fakes::Profile& p = profile(record);
    const bool safe =
        p.effect == fakes::Idempotency::idempotent ||
        (p.effect == fakes::Idempotency::idempotent_with_key && p.scope == fakes::DeduplicationScope::all &&
         written_at <= record.setups.front().sent + p.window + margin + scenario_.max_process_pause);
    if (!safe) report("effect", named(tunnel) + " was declined though a server may have run it");
}

void Invariants::data_after_final(fakes::TunnelId tunnel, std::string_view text) {
    report("twice",
           named(tunnel) + " received '" + std::string(text.substr(0, 20)) + "' after its final answer");
}

void Invariants::client_left(fakes::TunnelId tunnel) {
    TunnelRecord& record = record_of(tunnel);
    set_state(record, State::over);
    record.left_at = events_.now();
}

void Invariants::client_timed_out(fakes::TunnelId tunnel) {
    TunnelRecord& record = record_of(tunnel);
    const bool owed = record.state == State::delivered;
    set_state(record, State::over);
    record.left_at = events_.now();
    if (owed && was_undisturbed(record.request.node, record.delivered_at, events_.now()))
        report("answer", named(tunnel) + " got no answer within its wait");
}

void Invariants::connection_cut(fakes::TunnelId tunnel, bool by_reset, Ticks written) {
    TunnelRecord& record = record_of(tunnel);
    const State was = record.state;
    set_state(record, State::over);
    ++tally_.cut;
    const Incarnation* incarnation = incarnation_at(record.request.node, record.requested_at);
    const bool gone = incarnation == nullptr || incarnation->until != 0;
    if (gone) {
        const bool had_time = incarnation != nullptr && incarnation->leaving_since != 0 &&
                              incarnation->until - incarnation->leaving_since >= shutdown_grace;
        const bool owes = incarnation != nullptr && (incarnation->how == NodeEnd::left ||
                                                     (incarnation->how == NodeEnd::killed_late && had_time));
        if (was == State::open && owes && !scenario_.packet_passthrough && !record.request.slow_reader &&
            was_undisturbed(record.request.node, incarnation->leaving_since, incarnation->until - 1))
            report("leave", named(tunnel) + " was cut off by the shutdown of its node");
        return;
    }
    if (!was_undisturbed(record.request.node, record.requested_at, events_.now())) return;
    // Where its server opened it and reset it at once, the node forwards the reset, which may overtake the
    // answer.
    const bool server_reset = record.server_ended_at != 0 && by_reset;
    if (was == State::delivered && !record.request.mid_flow && !server_reset)
        return report("answer", named(tunnel) + " was closed without an answer");
    if (was != State::open) return;
    if (record.server_ended_at != 0) {
        const Ticks late = written - record.server_ended_at - end_forwarding_limit -
                           2 * scenario_.network.max_delay - scenario_.max_process_pause;
        if (!by_reset && late > margin && !record.request.slow_reader &&
            was_reachable(machine_of_server(record.server), record.server_ended_at - 1, events_.now()))
            report("end_late", named(tunnel) + " was ended " +
                                   std::to_string((late + end_forwarding_limit) / 10) +
                                   " ms after its server had ended it, the limit is " +
                                   std::to_string(end_forwarding_limit / 10) + " ms");
        return;
    }
    // A violation only if the server still holds the tunnel, is reachable and is sending.
    if (servers_[record.server].silent || record.request.slow_reader ||
        !was_reachable(machine_of_server(record.server), record.requested_at, events_.now()))
        return;
    report("cut_off",
           named(tunnel) + " was cut off though server " + std::to_string(record.server) + " holds it");
}

void Invariants::connection_silent(fakes::TunnelId tunnel, Ticks span) {
    const TunnelRecord& record = record_of(tunnel);
    if (record.state != State::open ||
        !was_undisturbed(record.request.node, events_.now() - span - second, events_.now()))
        return;
    report("silent", named(tunnel) + " has received no line for " + std::to_string(span / 10) + " ms");
}

void Invariants::misbehaving_client_unanswered(std::uint32_t node, std::string_view how) {
    if (was_undisturbed(node, events_.now() - 3 * second, events_.now()))
        report("bad_client",
               "a misbehaving client at node " + std::to_string(node) + " got " + std::string(how));
}

}  // namespace lemonstair::simulation
