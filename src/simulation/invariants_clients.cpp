// Rules judged from what clients see: answers, cut connections, lines.
#include <algorithm>

#include "simulation/invariants.h"

namespace lemonstair::simulation {

namespace {

using fakes::Answer;

constexpr Ticks second = 10000;
constexpr Ticks margin = 500;  // each time limit is 50 ms longer on sockets
constexpr Ticks end_passed_in = 10000;
constexpr Ticks leaving_takes = 37000;

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
    if (!waited) return report("twice", named(tunnel) + " was answered though it is not waiting");
    attempts_[record.attempt].answer = answer;
    attempts_[record.attempt].answered_at = events_.now();
    if (record.delivered_at != 0 &&
        written_at > record.delivered_at + record.request.client_timeout + scenario_.answer_slack &&
        was_undisturbed(record.request.node, record.delivered_at, written_at))
        report("answer",
               named(tunnel) + " was answered " +
                   std::to_string((written_at - record.delivered_at - record.request.client_timeout) / 10) +
                   " ms late");
    const bool ran = std::any_of(record.setups.begin(), record.setups.end(),
                                 [](const Setup& s) { return may_have_run(s.answer); });
    if (answer == Answer::up) {
        ++tally_.opened;
        set_state(record, State::open);
        record.opened_at = events_.now();
        if (std::none_of(record.setups.begin(), record.setups.end(),
                         [](const Setup& s) { return s.answer == Answer::up; }))
            report("twice", named(tunnel) + " was opened by no server");
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
    if (!safe) report("effect", named(tunnel) + " was declined though it may have run");
}

void Invariants::data_after_final(fakes::TunnelId tunnel, std::string_view text) {
    report("twice", named(tunnel) + " heard '" + std::string(text.substr(0, 20)) + "' after its last words");
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
        report("answer", named(tunnel) + " got no answer in its time");
}

void Invariants::connection_cut(fakes::TunnelId tunnel, bool by_reset, Ticks written) {
    TunnelRecord& record = record_of(tunnel);
    const State was = record.state;
    set_state(record, State::over);
    ++tally_.cut;
    const Incarnation* life = incarnation_at(record.request.node, record.requested_at);
    const bool gone = life == nullptr || life->until != 0;
    if (gone) {
        const bool had_time =
            life != nullptr && life->leaving_since != 0 && life->until - life->leaving_since >= leaving_takes;
        const bool owes = life != nullptr &&
                          (life->how == NodeEnd::left || (life->how == NodeEnd::killed_late && had_time));
        if (was == State::open && owes && !scenario_.packet_passthrough && !record.request.slow_reader &&
            was_undisturbed(record.request.node, life->leaving_since, life->until - 1))
            report("leave", named(tunnel) + " was cut off when its node left");
        return;
    }
    if (!was_undisturbed(record.request.node, record.requested_at, events_.now())) return;
    // Where its server opened it and reset it at once, the reset is passed on and may overtake the answer.
    const bool host_reset = record.server_ended_at != 0 && by_reset;
    if (was == State::delivered && !record.request.mid_flow && !host_reset)
        return report("answer", named(tunnel) + " was closed without an answer");
    if (was != State::open) return;
    if (record.server_ended_at != 0) {
        const Ticks late = written - record.server_ended_at - end_passed_in -
                           2 * scenario_.network.max_delay - scenario_.max_process_pause;
        if (!by_reset && late > margin && !record.request.slow_reader &&
            was_reachable(machine_of_server(record.server), record.server_ended_at - 1, events_.now()))
            report("end_late", named(tunnel) + " was ended " + std::to_string((late + end_passed_in) / 10) +
                                   " ms after its server had ended it");
        return;
    }
    // The server keeps it, and can be reached, and says something.
    if (servers_[record.server].silent || record.request.slow_reader ||
        !was_reachable(machine_of_server(record.server), record.requested_at, events_.now()))
        return;
    report("cut_off",
           named(tunnel) + " was cut off though server " + std::to_string(record.server) + " keeps it");
}

void Invariants::connection_silent(fakes::TunnelId tunnel, Ticks span) {
    const TunnelRecord& record = record_of(tunnel);
    if (record.state != State::open ||
        !was_undisturbed(record.request.node, events_.now() - span - second, events_.now()))
        return;
    report("silent", named(tunnel) + " has had no line for " + std::to_string(span / 10) + " ms");
}

void Invariants::misbehaving_client_unanswered(std::uint32_t node, std::string_view how) {
    if (was_undisturbed(node, events_.now() - 3 * second, events_.now()))
        report("bad_client", "a bad client at node " + std::to_string(node) + " had " + std::string(how));
}

}  // namespace lemonstair::simulation
