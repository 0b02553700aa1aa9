#include "fakes/clients.h"

#include <algorithm>
#include <cstdio>

namespace lemonstair::fakes {

namespace {

constexpr Ticks second = 10000;
constexpr Ticks longest_silence = 70000;  // of a connection that owes lines
// A client waits a little longer than it said, so that an answer that is late is seen.
constexpr Ticks waits_on = 2000, last_look = 12000;

}  // namespace

FakeClients::FakeClients(TestEnvironment& town, Front& front, std::vector<Machine> machines,
                         std::vector<Wish> wishes, const ClientBehavior& manners, simnet::RandomSource chance)
    : town_(town), front_(front), machines_(std::move(machines)), manners_(manners), chance_(chance) {
    for (auto& w : wishes) {
        members_.emplace_back();
        members_.back().wish = std::move(w);
    }
}

void FakeClients::start() {
    for (std::uint32_t at = 0; at < members_.size(); ++at) {
        members_[at].machine = machines_[at % machines_.size()];
        members_[at].slow = chance_.odds(manners_.slow_readers);
        town_.events.schedule(town_.events.start_time() + members_[at].wish.from, *this, token(come, at));
    }
}

void FakeClients::add(std::vector<Wish> wishes) {
    for (auto& w : wishes) {
        const auto at = static_cast<std::uint32_t>(members_.size());
        members_.emplace_back();
        members_[at].wish = std::move(w);
        members_[at].machine = machines_[at % machines_.size()];
        town_.events.schedule(town_.events.start_time() + members_[at].wish.from, *this, token(come, at));
    }
}

std::size_t FakeClients::open_now() const {
    return static_cast<std::size_t>(std::count_if(members_.begin(), members_.end(),
                                                  [](const Member& m) { return m.state == State::open; }));
}

// Each change of state ends the timers of the one before.
void FakeClients::go(std::uint32_t at, State to) {
    ++members_[at].turn;
    members_[at].state = to;
}

void FakeClients::call(std::uint32_t at) {
    Member& m = members_[at];
    const bool mid_flow = m.resuming;
    const std::uint32_t node = mid_flow ? front_.deal_but(m.node) : front_.deal();
    if (node == Front::none) return pause(at, second / 2);
    m.node = node;
    m.end = town_.network.connect(m.machine, front_.address(node), *this);
    m.has_end = true;
    m.reads = true;
    by_end_[m.end.number()] = at;
    m.reader = {};
    m.waiting.clear();
    go(at, State::calling);
    town_.events.schedule(town_.now() + town_.profiles[m.wish.profile].client_timeout, *this,
                          token(time_up, at));
}

void FakeClients::ask(std::uint32_t at) {
    Member& m = members_[at];
    const Profile& p = town_.profiles[m.wish.profile];
    if (!m.resuming) {
        m.last_tunnel = m.tunnel;
        m.tunnel = next_tunnel_++;
        m.said = m.echoed = m.heard = 0;
    }
    char text[256];
    const int n = std::snprintf(
        text, sizeof text, "OPEN t%x %s c=%.*s,d=%lld,w=%u,h=%.4f%s%s%s", m.tunnel, m.wish.key.c_str(),
        static_cast<int>(p.name.size()), p.name.data(), static_cast<long long>(p.client_timeout / 10),
        static_cast<unsigned>(m.wish.load * 1e6), m.wish.load, m.tries > 0 && !m.resuming ? ",r=1" : "",
        m.came_before && !m.resuming ? ",again=1" : "", m.resuming ? ",mid=1" : "");
    std::string line(text, static_cast<std::size_t>(n));
    if (m.wish.group != 0) {
        std::snprintf(text, sizeof text, ",g=%x", m.wish.group);
        line += text;
    }
    go(at, State::waiting);
    town_.witness.asked({m.tunnel, m.resuming ? 0 : m.last_tunnel, m.node, m.wish.profile, p.client_timeout,
                         m.resuming, m.slow, m.end});
    say(at, line + "\r\n");
    town_.network.tell_delivered(m.end, *this, token(taken_note, at));
    town_.events.schedule(town_.now() + p.client_timeout + waits_on, *this, token(time_up, at));
    if (chance_.odds(manners_.impatient))
        town_.events.schedule(town_.now() + chance_.between(std::int64_t{1}, p.client_timeout), *this,
                              token(impatient, at));
}

void FakeClients::say(std::uint32_t at, std::string_view text) {
    Member& m = members_[at];
    m.waiting.append(text);
    write_waiting(town_.network, m.end, m.waiting);
}

void FakeClients::hang_up(std::uint32_t at) {
    Member& m = members_[at];
    if (!m.has_end) return;
    m.has_end = false;
    town_.network.close(m.end);
}

// Its last words have come; what comes behind them is wrong.
void FakeClients::part(std::uint32_t at) {
    Member& m = members_[at];
    m.has_end = false;
    parting_[m.end.number()] = m.tunnel;
    town_.events.schedule(town_.now() + last_look, *this, std::uint64_t{parted} << 56 | m.end.number());
    read_parting(m.end);
}

void FakeClients::read_parting(End end) {
    const auto it = parting_.find(end.number());
    if (it == parting_.end()) return;
    std::array<char, 256> bytes;
    const auto got = town_.network.read(end, bytes, true);
    if (got.bytes > 0) town_.witness.said_on(it->second, {bytes.data(), got.bytes});
    if (got.bytes == 0 && !got.ended && got.error == 0) return;
    town_.network.close(end);
    parting_.erase(it);
}

void FakeClients::pause(std::uint32_t at, Ticks span) {
    go(at, State::pausing);
    town_.events.schedule(town_.now() + std::max<Ticks>(span, 1), *this, token(come, at));
}

void FakeClients::try_again(std::uint32_t at, Ticks span) {
    Member& m = members_[at];
    m.resuming = false;
    if (++m.tries >= manners_.most_tries) return go(at, State::done);
    pause(at, span + chance_.between(manners_.least_pause, manners_.most_pause));
}

void FakeClients::over(std::uint32_t at) {
    hang_up(at);
    go(at, State::done);
}

void FakeClients::go_home() {
    for (std::uint32_t at = 0; at < members_.size(); ++at) {
        Member& m = members_[at];
        if (m.state == State::waiting) town_.witness.left(m.tunnel);
        if (m.state == State::open) town_.witness.left(m.tunnel);
        hang_up(at);
        go(at, State::done);
    }
}

void FakeClients::on_stream_event(End end) {
    const auto it = by_end_.find(end.number());
    if (it == by_end_.end()) return;
    const std::uint32_t at = it->second;
    Member& m = members_[at];
    read_parting(end);
    if (!m.has_end || !(m.end == end)) return;
    if (m.state == State::calling && town_.network.is_up(end)) ask(at);
    if (m.state != State::calling && !m.waiting.empty()) write_waiting(town_.network, end, m.waiting);
    if (m.reads) read(at);
}

void FakeClients::read(std::uint32_t at) {
    std::array<char, 4096> bytes;
    const End end = members_[at].end;
    for (;;) {
        Member& m = members_[at];
        if (!m.has_end || !(m.end == end)) return;
        const auto got = town_.network.read(end, bytes, true);
        if (got.bytes > 0) {
            m.reader.feed({bytes.data(), got.bytes}, [&](std::string_view text) { return line(at, text); });
            continue;
        }
        if (got.ended || got.error != 0) broke(at, got.error != 0);
        return;
    }
}

void FakeClients::broke(std::uint32_t at, bool by_reset) {
    Member& m = members_[at];
    const bool was_open = m.state == State::open;
    hang_up(at);
    if (m.state == State::done || m.state == State::pausing) return;
    if (m.ends) return go(at, State::done);
    // A way for its packets is looked for as long as the host keeps the connection.
    if (m.state == State::calling && m.resuming && town_.now() - m.broke_at < town_.park)
        return pause(at, second / 3);
    if (m.state == State::calling) return try_again(at, 0);
    if (!m.reader.between_lines()) town_.witness.line_wrong(m.tunnel, "cut within a line", "");
    town_.witness.cut(m.tunnel, by_reset, town_.network.last_came_from(m.end));
    ++tally_.cut;
    m.came_before = m.came_before || was_open;
    // Its packets go on through another node, where the network lets them pass.
    if (was_open && town_.packet_passthrough && by_reset) {
        m.resuming = m.gap_echoed = m.gap_heard = true;
        m.broke_at = town_.now();
        ++tally_.resumed;
        return pause(at, chance_.between(std::int64_t{100}, second));
    }
    try_again(at, 0);
}

// False where no more lines of this connection are read.
bool FakeClients::line(std::uint32_t at, std::string_view text) {
    const Member& m = members_[at];
    if (m.state == State::waiting) return take_answer(at, text);
    if (m.state != State::open) return false;
    const std::string_view word = text.substr(0, text.find(' '));
    if (word == "MOVE") {
        take_move(at);
        return false;
    }
    if (word != "BYE" && word != "LOAD") take_line(at, text);
    return true;
}

bool FakeClients::take_answer(std::uint32_t at, std::string_view text) {
    const Member& m = members_[at];
    const Ticks written = town_.network.last_came_from(m.end);
    std::string_view rest = text;
    const auto word = next_word(rest);
    const Answer a = word == "UP"     ? Answer::up
                     : word == "BYE"  ? Answer::bye
                     : word == "BUSY" ? Answer::busy
                                      : Answer::error;
    town_.witness.answered(m.tunnel, a, written);
    if (a != Answer::up) {
        take_refusal(at, a, rest);
        return false;
    }
    char receipt[48];
    std::snprintf(receipt, sizeof receipt, "-t%x", m.tunnel);
    if (rest.find(receipt) == std::string_view::npos)
        town_.witness.line_wrong(m.tunnel, "a receipt of another's", text);
    open(at);
    return true;
}

void FakeClients::open(std::uint32_t at) {
    Member& m = members_[at];
    ++tally_.opened;
    m.tries = 0;
    m.resuming = false;
    m.owed_since = 0;
    go(at, State::open);
    town_.events.schedule(town_.now() + chance_.between(std::int64_t{1}, manners_.line_every), *this,
                          token(talk, at));
    const Ticks ends = town_.events.start_time() + m.wish.until;
    town_.events.schedule(std::max(ends, town_.now() + second / 5), *this, token(leave_now, at));
    if (m.slow)
        town_.events.schedule(town_.now() + chance_.between(second, 3 * second), *this,
                              token(read_again, at));
}

// `rest`: what follows the word; of BUSY, in how many ms to come again.
void FakeClients::take_refusal(std::uint32_t at, Answer answer, std::string_view rest) {
    const Member& m = members_[at];
    const bool busy = answer == Answer::busy;
    ++(busy ? tally_.declined : tally_.failed);
    const bool may_repeat = busy || town_.profiles[m.wish.profile].effect == Idempotency::idempotent;
    Ticks retry_after_ms = 0;
    if (busy) read_whole(next_word(rest), retry_after_ms);
    part(at);
    if (!may_repeat) return go(at, State::done);
    try_again(at, retry_after_ms * 10);
}

void FakeClients::take_move(std::uint32_t at) {
    Member& m = members_[at];
    ++tally_.moved;
    m.came_before = true;
    town_.witness.answered(m.tunnel, Answer::move, town_.network.last_came_from(m.end));
    part(at);
    pause(at, chance_.between(std::int64_t{200}, second / 2));
}

// A line of the server: the echo of one of the client's, or one that it sends by itself.
void FakeClients::take_line(std::uint32_t at, std::string_view text) {
    Member& m = members_[at];
    std::string_view rest = text;
    const auto word = next_word(rest);
    std::uint32_t number = 0;
    Ticks sent = 0;
    if ((word != "e" && word != "p") || !read_whole(next_word(rest), number) ||
        !read_whole(next_word(rest), sent))
        return town_.witness.line_wrong(m.tunnel, "not the host's", text);
    ++tally_.lines;
    std::uint32_t& expected = word == "e" ? m.echoed : m.heard;
    bool& gap = word == "e" ? m.gap_echoed : m.gap_heard;
    if (number != expected + 1 && !(gap && number > expected))
        town_.witness.line_wrong(m.tunnel, "out of its turn", text);
    gap = false;
    expected = number;
    m.owed_since = m.echoed < m.said ? town_.now() : 0;  // any line of the host is one that came back
}

void FakeClients::on_event(std::uint64_t what) {
    const auto kind = static_cast<Kind>(what >> 56);
    if (kind == parted) {
        const std::uint64_t number = what & 0xffffffffffffffU;
        const End end{static_cast<std::uint32_t>(number >> 1), static_cast<std::uint8_t>(number & 1)};
        if (parting_.erase(number) > 0) town_.network.close(end);
        return;
    }
    const auto at = static_cast<std::uint32_t>(what);
    Member& m = members_[at];
    if ((what >> 32 & 0xffffffU) != (m.turn & 0xffffffU)) return;
    switch (kind) {
        case parted:
            return;
        case come:
            if (town_.elapsed() >= m.wish.until) return go(at, State::done);
            return call(at);
        case taken_note:
            return town_.witness.taken(m.tunnel);
        case time_up:
            return time_out(at);
        case impatient:
            town_.witness.left(m.tunnel);
            return over(at);
        case talk:
            return send_line(at);
        case read_again:
            m.reads = !m.reads;
            if (m.state == State::done) return read(at);
            town_.events.schedule(town_.now() + chance_.between(second / 2, 2 * second), *this,
                                  token(read_again, at));
            if (m.reads) read(at);
            return;
        case leave_now:
            return leave(at);
    }
}

void FakeClients::time_out(std::uint32_t at) {
    const Member& m = members_[at];
    if (m.state == State::waiting) town_.witness.gave_up(m.tunnel);
    ++tally_.timed_out;
    hang_up(at);
    if (m.state == State::calling && m.resuming && town_.now() - m.broke_at < town_.park) return pause(at, 1);
    try_again(at, 0);
}

void FakeClients::send_line(std::uint32_t at) {
    Member& m = members_[at];
    char text[64];
    std::snprintf(text, sizeof text, "m %u %lld\r\n", ++m.said, static_cast<long long>(town_.now()));
    if (m.owed_since == 0) m.owed_since = town_.now();
    const Ticks owed = town_.now() - m.owed_since;
    if (owed > longest_silence && m.reads && owed > m.told_unanswered) {
        m.told_unanswered = owed;
        town_.witness.unanswered(m.tunnel, owed);
    }
    say(at, text);
    town_.events.schedule(town_.now() + manners_.line_every, *this, token(talk, at));
}

// It says that it ends, and waits for the other side's end.
void FakeClients::leave(std::uint32_t at) {
    Member& m = members_[at];
    town_.witness.left(m.tunnel);
    m.ends = true;
    m.reads = !m.slow;
    go(at, State::done);
    town_.network.finish(m.end);
    if (m.slow) town_.events.schedule(town_.now() + 2 * second, *this, token(read_again, at));
}

}  // namespace lemonstair::fakes
