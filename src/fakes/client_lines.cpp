// Lines that the fake clients receive: answers to their first line, MOVE, and lines of an open tunnel.
#include <algorithm>
#include <cstdio>

#include "fakes/clients.h"

namespace lemonstair::fakes {

namespace {

constexpr Ticks second = 10000;

}  // namespace

// Returns false if no more lines of this connection are to be read.
bool FakeClients::on_line(std::uint32_t index, std::string_view text) {
    const Client& client = clients_[index];
    if (client.state == State::waiting) return take_answer(index, text);
    if (client.state != State::open) return false;
    const std::string_view word = text.substr(0, text.find(' '));
    if (word == "MOVE") {
        take_move(index);
        return false;
    }
    if (word != "BYE" && word != "LOAD") take_line(index, text);
    return true;
}

bool FakeClients::take_answer(std::uint32_t index, std::string_view text) {
    const Client& client = clients_[index];
    const Ticks written = environment_.network.last_received_sent_at(client.end);
    std::string_view rest = text;
    const auto word = next_word(rest);
    const Answer answer = word == "UP"     ? Answer::up
                          : word == "BYE"  ? Answer::bye
                          : word == "BUSY" ? Answer::busy
                                           : Answer::error;
    environment_.execution_log.request_answered(client.tunnel, answer, written);
    if (answer != Answer::up) {
        take_refusal(index, answer, rest);
        return false;
    }
    char tunnel_suffix[48];
    std::snprintf(tunnel_suffix, sizeof tunnel_suffix, "-t%x", client.tunnel);
    if (rest.find(tunnel_suffix) == std::string_view::npos)
        environment_.execution_log.line_corrupted(client.tunnel, "UP for another tunnel", text);
    open(index);
    return true;
}

void FakeClients::open(std::uint32_t index) {
    Client& client = clients_[index];
    ++tally_.opened;
    client.attempts = 0;
    client.resuming = false;
    client.unechoed_since = 0;
    transition_to(index, State::open);
    environment_.events.schedule(
        environment_.now() + random_.between(std::int64_t{1}, behavior_.line_interval), *this,
        token(send_due, index));
    const Ticks ends = environment_.events.start_time() + client.plan.until;
    environment_.events.schedule(std::max(ends, environment_.now() + second / 5), *this,
                                 token(leave_due, index));
    if (client.slow_reader)
        environment_.events.schedule(environment_.now() + random_.between(second, 3 * second), *this,
                                     token(toggle_reading, index));
}

// rest: the line after its first word. For BUSY this is the time in ms after which the client may retry.
void FakeClients::take_refusal(std::uint32_t index, Answer answer, std::string_view rest) {
    const Client& client = clients_[index];
    const bool busy = answer == Answer::busy;
    ++(busy ? tally_.declined : tally_.failed);
    const bool may_repeat =
        busy || environment_.profiles[client.plan.profile].effect == Idempotency::idempotent;
    Ticks retry_after_ms = 0;
    if (busy) parse_number(next_word(rest), retry_after_ms);
    await_close(index);
    if (!may_repeat) return transition_to(index, State::done);
    retry(index, retry_after_ms * 10);
}

void FakeClients::take_move(std::uint32_t index) {
    Client& client = clients_[index];
    ++tally_.moved;
    client.reconnecting = true;
    environment_.execution_log.request_answered(client.tunnel, Answer::move,
                                                environment_.network.last_received_sent_at(client.end));
    await_close(index);
    pause(index, random_.between(std::int64_t{200}, second / 2));
}

// A line of the server: the echo of a line of the client (e) or a line of its own (p). Each kind is numbered.
void FakeClients::take_line(std::uint32_t index, std::string_view text) {
    Client& client = clients_[index];
    std::string_view rest = text;
    const auto word = next_word(rest);
    std::uint32_t number = 0;
    Ticks sent = 0;
    if ((word != "e" && word != "p") || !parse_number(next_word(rest), number) ||
        !parse_number(next_word(rest), sent))
        return environment_.execution_log.line_corrupted(client.tunnel, "not a line of the server", text);
    ++tally_.lines;
    std::uint32_t& expected = word == "e" ? client.echoes_received : client.pushes_received;
    bool& gap = word == "e" ? client.gap_echoed : client.gap_pushed;
    if (number != expected + 1 && !(gap && number > expected))
        environment_.execution_log.line_corrupted(client.tunnel, "out of order", text);
    gap = false;
    expected = number;
    client.unechoed_since = client.echoes_received < client.lines_sent
                                ? environment_.now()
                                : 0;  // any line of the server ends a silence
}

}  // namespace lemonstair::fakes
