// Connections of the fake server: the protocol as it speaks it, and its timers.
#include <algorithm>
#include <array>
#include <cstdio>

#include "fakes/server.h"

namespace lemonstair::fakes {

namespace {

constexpr Ticks second = 10000;
constexpr Ticks push_from = 8000, push_to = 30000;
constexpr double burst_share = 0.05;
constexpr int burst_lines = 12;

// "NAME=VALUE" of a first line's list; empty where it is not there.
std::string_view value_of(std::string_view list, std::string_view name) {
    while (!list.empty()) {
        const auto end = std::min(list.find(','), list.size());
        const auto pair = list.substr(0, end);
        list.remove_prefix(std::min(end + 1, list.size()));
        if (pair.substr(0, name.size()) == name && pair.substr(name.size(), 1) == "=")
            return pair.substr(name.size() + 1);
    }
    return {};
}

std::string_view word_of(Answer a) {
    switch (a) {
        case Answer::up:
            return "UP ";
        case Answer::bye:
            return "BYE\r\n";
        case Answer::busy:
            return "BUSY\r\n";
        case Answer::error:
            return "ERR\r\n";
        case Answer::move:
            return "MOVE\r\n";
        case Answer::none:
            break;
    }
    return "";
}

}  // namespace

void FakeServer::on_connection(const net::Address& at) {
    while (const auto end = town_.network.accept(at)) {
        if (state_ != State::up) return;
        town_.network.own(*end, *this);
        take_connection(*end);
    }
}

void FakeServer::take_connection(End end) {
    const auto at = static_cast<std::uint32_t>(lines_.size());
    lines_.emplace_back();
    lines_.back().end = end;
    by_end_[end.number()] = at;
    on_stream_event(end);
}

void FakeServer::on_stream_event(End end) {
    const auto it = by_end_.find(end.number());
    if (it == by_end_.end()) return;
    const std::uint32_t at = it->second;
    if (!lines_[at].waiting.empty()) send_waiting(at);
    if (!hangs_ && !lines_[at].gone) read(at);
}

void FakeServer::read(std::uint32_t at) {
    std::array<char, 4096> bytes;
    const std::uint32_t life = life_;
    for (;;) {
        Line& l = lines_[at];
        if (l.gone || l.step == Step::ended) break;
        if (l.first_byte == 0) l.first_byte = town_.network.last_came_from(l.end);
        const auto got = town_.network.read(l.end, bytes, true);
        if (got.bytes > 0) {
            const bool good = l.reader.feed({bytes.data(), got.bytes},
                                            [&](std::string_view text) { return line(at, text); });
            if (life != life_) return;
            if (good) continue;
            town_.network.reset(l.end);
            l.gone = true;
            return over(at, false);
        }
        if (!got.ended && got.error == 0) return;
        // The node's side is over. Where packets pass, the tunnel waits for them to come another way, unless
        // its client has said that it ends it.
        const bool by_reset = got.error != 0;
        if (by_reset)
            town_.network.reset(l.end);
        else
            town_.network.close(l.end);
        l.gone = true;
        if (town_.packet_passthrough && l.step == Step::open && by_reset) {
            l.parked_since = town_.now();
            return;
        }
        return over(at, false);
    }
    // What comes after its last words is thrown away.
    if (!lines_[at].gone) {
        const auto got = town_.network.read(lines_[at].end, bytes, true);
        if (got.ended || got.error != 0) town_.network.close(lines_[at].end), lines_[at].gone = true;
    }
}

// The tunnel is over here; the witness hears of it where the host itself ended it.
void FakeServer::over(std::uint32_t at, bool says_so) {
    Line& l = lines_[at];
    if (l.step == Step::open) {
        --tunnels_;
        load_ = std::max(0.0, load_ - l.load);
        if (l.group != 0 && --groups_[l.group] == 0) groups_.erase(l.group);
        by_tunnel_.erase(l.tunnel);
        if (says_so) town_.witness.host_ended(l.tunnel, number_);
    }
    l.step = Step::ended;
}

// False where no more of what came is read.
bool FakeServer::line(std::uint32_t at, std::string_view text) {
    const Line& l = lines_[at];
    if (l.step == Step::first_line) return first_line(at, text);
    if (l.step == Step::open) client_line(at, text);
    return true;  // of a client that does not wait for its answer, lines are thrown away
}

bool FakeServer::first_line(std::uint32_t at, std::string_view text) {
    Line& l = lines_[at];
    std::string_view rest = text;
    const auto word = next_word(rest);
    if (word == "OPEN") return open_line(at, rest);
    if (word != "PING" && word != "STATS") {
        town_.witness.bad_line(number_, text);
        town_.network.write(l.end, "SYNTAX\r\n", true);
        town_.network.finish(l.end);
        l.step = Step::ended;
        return false;
    }
    const bool with_load = word == "STATS";
    l.probe = true;
    town_.events.schedule(work(with_load ? 0.1 : 0.05), *this,
                          token(probe_answer, std::uint64_t{at} << 1 | (with_load ? 1U : 0U)));
    return true;
}

void FakeServer::client_line(std::uint32_t at, std::string_view text) {
    Line& l = lines_[at];
    std::string_view rest = text;
    const auto word = next_word(rest);
    std::uint32_t number = 0;
    const bool in_turn = word == "m" && read_whole(next_word(rest), number) && number == l.heard + 1;
    // A new connection of the same tunnel goes on where the client stands.
    const bool goes_on = word == "m" && l.mid_flow && number > l.heard;
    if (!in_turn && !goes_on) return town_.witness.line_wrong(l.tunnel, "to the host", text);
    if (l.mid_flow && number > l.heard + 1) l.echoed = number - 1;
    l.mid_flow = false;
    l.heard = number;
    town_.events.schedule(work(traits_.line_work_ms), *this, token(echo, at));
}

bool FakeServer::open_line(std::uint32_t at, std::string_view rest) {
    Line& l = lines_[at];
    std::string_view id = next_word(rest);
    next_word(rest);  // the key
    const std::string_view list = next_word(rest);
    if (id.substr(0, 1) != "t" || !read_whole(id.substr(1), l.tunnel, 16) || list.empty()) {
        if (id.substr(0, 1) != "r")
            town_.witness.bad_line(number_, id);  // a rude client's first line may be good
        town_.network.write(l.end, "ERR\r\n", true);
        l.step = Step::ended;
        town_.network.finish(l.end);
        return false;
    }
    l.mid_flow = value_of(list, "mid") == "1";
    std::uint32_t millionths = 0;
    read_whole(value_of(list, "w"), millionths);
    l.load = millionths / 1e6;
    read_whole(value_of(list, "g"), l.group, 16);
    town_.witness.setup_came(l.tunnel, number_, l.end, l.first_byte, l.mid_flow);
    town_.note("host setup", number_, l.tunnel);
    l.step = Step::working;
    if (l.mid_flow) {
        const auto held = by_tunnel_.find(l.tunnel);
        if (held == by_tunnel_.end()) {
            town_.witness.not_held(l.tunnel, number_);
            town_.network.reset(l.end);
            l.gone = true;
            l.step = Step::ended;
            return false;
        }
        Line& old = lines_[held->second];
        if (!old.gone) {
            town_.network.reset(old.end);
            old.gone = true;
        }
        l.heard = old.heard, l.echoed = old.heard, l.said = old.said, l.load = old.load, l.group = old.group;
        old.step = Step::ended;
        held->second = at;
        l.step = Step::open;
        say(at, "UP h" + std::to_string(number_) + "-" + std::string(id) + "\r\n");
        town_.witness.setup_answered(l.tunnel, number_, Answer::up);
        return true;
    }
    const double fails_in_ms = fails_ || refuses_ ? 0.1 : traits_.setup_work_ms;
    town_.events.schedule(work(fails_in_ms), *this, token(answer_setup, at));
    return true;
}

void FakeServer::answer(std::uint32_t at) {
    Line& l = lines_[at];
    if (l.gone || l.step != Step::working) return;
    Answer a = Answer::up;
    if (fails_) a = Answer::error;
    if (refuses_ || tunnels_ >= traits_.most_connections || busy_until_ - town_.now() > traits_.full_backlog)
        a = Answer::busy;
    town_.witness.setup_answered(l.tunnel, number_, a);
    if (a == Answer::up) return begin(at);
    say(at, word_of(a));
    town_.network.finish(l.end);
    l.step = Step::ended;
}

void FakeServer::begin(std::uint32_t at) {
    Line& l = lines_[at];
    l.step = Step::open;
    ++tunnels_;
    load_ += l.load;
    if (l.group != 0) ++groups_[l.group];
    by_tunnel_[l.tunnel] = at;
    char receipt[64];
    std::snprintf(receipt, sizeof receipt, "UP h%u-t%x\r\nLOAD %u\r\n", number_, l.tunnel,
                  static_cast<unsigned>(l.load * 1e6));
    say(at, receipt);
    town_.events.schedule(town_.now() + chance_.between(push_from, push_to), *this, token(push, at));
    read(at);
}

// What does not go out at once waits for room.
void FakeServer::say(std::uint32_t at, std::string_view text) {
    Line& l = lines_[at];
    if (l.gone) return;
    l.waiting.append(text);
    send_waiting(at);
}

void FakeServer::send_waiting(std::uint32_t at) {
    Line& l = lines_[at];
    if (l.gone || hangs_) return;
    l.waiting.erase(0, town_.network.write(l.end, l.waiting, true).bytes);
}

void FakeServer::on_event(std::uint64_t what) {
    const auto kind = static_cast<Kind>(what >> 56);
    if ((what >> 40 & 0xffffU) != (life_ & 0xffffU) || state_ != State::up) return;
    const std::uint64_t at = what & 0xffffffffffU;
    const Ticks now = town_.now();
    if (hangs_ && kind != report && kind != judge_cold) {  // done when it goes on, if it ever does
        return town_.events.schedule(now + second, *this, what);
    }
    const auto line = static_cast<std::uint32_t>(at);
    switch (kind) {
        case answer_setup:
            return answer(line);
        case echo:
            return send_echo(line);
        case push:
            if (send_pushes(line))
                town_.events.schedule(now + chance_.between(push_from, push_to), *this, what);
            return;
        case report:
            reported_ = asked() / capacity() * (1 + traits_.report_noise * (2 * chance_.unit() - 1));
            if (traits_.reports_always > 0) reported_ = traits_.reports_always;
            return town_.events.schedule(now + traits_.report_every, *this, what);
        case judge_cold:
            return check_cold();
        case probe_answer:
            return answer_probe(static_cast<std::uint32_t>(at >> 1), (at & 1) != 0);
        case leave_one:
            if (move_one()) town_.events.schedule(now + leave_every_, *this, what);
            return;
    }
}

void FakeServer::send_echo(std::uint32_t at) {
    Line& l = lines_[at];
    if (l.step != Step::open || l.gone) return;
    char text[48];
    std::snprintf(text, sizeof text, "e %u %lld\r\n", ++l.echoed, static_cast<long long>(town_.now()));
    say(at, text);
}

// False where the tunnel is over: it gets no more.
bool FakeServer::send_pushes(std::uint32_t at) {
    Line& l = lines_[at];
    if (l.step != Step::open) return false;
    if (l.gone) {  // parked: its client comes again soon, or never
        if (town_.now() - l.parked_since > town_.park) over(at, false);
        return l.step == Step::open;
    }
    const int n = chance_.odds(burst_share) ? burst_lines : 1;
    const std::string carries(std::max<std::size_t>(traits_.push_bytes, n > 1 ? 100 : 1), '0');
    for (int i = 0; i < n; ++i) {
        char text[64];
        std::snprintf(text, sizeof text, "p %u %lld ", ++l.said, static_cast<long long>(town_.now()));
        say(at, std::string(text).append(carries).append("\r\n"));
    }
    if (chance_.odds(0.1)) {
        char text[32];
        std::snprintf(text, sizeof text, "LOAD %u\r\n", static_cast<unsigned>(l.load * 1e6));
        say(at, text);
    }
    return true;
}

void FakeServer::answer_probe(std::uint32_t at, bool with_load) {
    char text[48] = "PONG\r\n";
    if (with_load) std::snprintf(text, sizeof text, "PONG x0=%.4f\r\n", reported_);
    say(at, text);
}

// False where there is no client left to move.
bool FakeServer::move_one() {
    for (std::uint32_t i = 0; i < lines_.size(); ++i) {
        if (lines_[i].gone || lines_[i].step != Step::open) continue;
        say(i, word_of(Answer::move));
        town_.network.finish(lines_[i].end);
        over(i, true);
        return true;
    }
    return false;
}

}  // namespace lemonstair::fakes
