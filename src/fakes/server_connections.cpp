// Connections of the fake server: its side of the protocol, and its timers.
#include <algorithm>
#include <array>
#include <cstdio>

#include "fakes/server.h"

namespace lemonstair::fakes {

namespace {

constexpr Ticks second = 10000;
constexpr Ticks push_from = 8000, push_to = 30000;  // limits of the interval of pushes
constexpr double burst_share = 0.05;                // of pushes that are several lines at once
constexpr int burst_lines = 12;

// Value of the parameter NAME in a list of NAME=VALUE, separated by commas; empty if it is missing.
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

std::string_view word_of(Answer answer) {
    switch (answer) {
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

void FakeServer::on_connection(const net::Address& address) {
    while (const auto end = environment_.network.accept(address)) {
        if (state_ != State::up) return;
        environment_.network.set_owner(*end, *this);
        take_connection(*end);
    }
}

void FakeServer::take_connection(End end) {
    const auto index = static_cast<std::uint32_t>(connections_.size());
    connections_.emplace_back();
    connections_.back().end = end;
    by_end_[end.number()] = index;
    on_stream_event(end);
}

void FakeServer::on_stream_event(End end) {
    const auto it = by_end_.find(end.number());
    if (it == by_end_.end()) return;
    const std::uint32_t index = it->second;
    if (!connections_[index].unsent.empty()) send_unsent(index);
    if (!hangs_ && !connections_[index].gone) read(index);
}

void FakeServer::read(std::uint32_t index) {
    std::array<char, 4096> bytes;
    const std::uint32_t incarnation = incarnation_;
    for (;;) {
        Connection& connection = connections_[index];
        if (connection.gone || connection.step == Step::ended) break;
        if (connection.first_byte == 0)
            connection.first_byte = environment_.network.last_received_sent_at(connection.end);
        const auto got = environment_.network.read(connection.end, bytes, true);
        if (got.bytes > 0) {
            const bool good = connection.reader.feed(
                {bytes.data(), got.bytes}, [&](std::string_view text) { return on_line(index, text); });
            if (incarnation != incarnation_) return;
            if (good) continue;
            environment_.network.reset(connection.end);
            connection.gone = true;
            return finish(index, false);
        }
        if (!got.ended && got.error == 0) return;
        // The node has ended the connection. With packet passthrough, a reset does not end the tunnel: it is
        // parked until the client continues it through another node. An orderly end comes from the
        // client and ends the tunnel.
        const bool by_reset = got.error != 0;
        if (by_reset)
            environment_.network.reset(connection.end);
        else
            environment_.network.close(connection.end);
        connection.gone = true;
        if (environment_.packet_passthrough && connection.step == Step::open && by_reset) {
            connection.parked_since = environment_.now();
            return;
        }
        return finish(index, false);
    }
    // Bytes after the final answer are discarded.
    if (!connections_[index].gone) {
        const auto got = environment_.network.read(connections_[index].end, bytes, true);
        if (got.ended || got.error != 0)
            environment_.network.close(connections_[index].end), connections_[index].gone = true;
    }
}

// Releases the tunnel. by_server: the server itself ended it; this is reported to the execution log.
void FakeServer::finish(std::uint32_t index, bool by_server) {
    Connection& connection = connections_[index];
    if (connection.step == Step::open) {
        --open_count_;
        load_ = std::max(0.0, load_ - connection.load);
        if (connection.group != 0 && --groups_[connection.group] == 0) groups_.erase(connection.group);
        by_tunnel_.erase(connection.tunnel);
        if (by_server) environment_.execution_log.server_ended(connection.tunnel, number_);
    }
    connection.step = Step::ended;
}

// Returns false if the rest of the received bytes is not to be read.
bool FakeServer::on_line(std::uint32_t index, std::string_view text) {
    const Connection& connection = connections_[index];
    if (connection.step == Step::first_line) return first_line(index, text);
    if (connection.step == Step::open) client_line(index, text);
    return true;  // lines that a client sends before it has its answer are discarded
}

bool FakeServer::first_line(std::uint32_t index, std::string_view text) {
    Connection& connection = connections_[index];
    std::string_view rest = text;
    const auto word = next_word(rest);
    if (word == "OPEN") return open_line(index, rest);
    if (word != "PING" && word != "STATS") {
        environment_.execution_log.invalid_line(number_, text);
        environment_.network.write(connection.end, "SYNTAX\r\n", true);
        environment_.network.shutdown_write(connection.end);
        connection.step = Step::ended;
        return false;
    }
    const bool with_load = word == "STATS";
    connection.probe = true;
    environment_.events.schedule(work(with_load ? 0.1 : 0.05), *this,
                                 token(probe_answer, std::uint64_t{index} << 1 | (with_load ? 1U : 0U)));
    return true;
}

void FakeServer::client_line(std::uint32_t index, std::string_view text) {
    Connection& connection = connections_[index];
    std::string_view rest = text;
    const auto word = next_word(rest);
    std::uint32_t number = 0;
    const bool in_order =
        word == "m" && parse_number(next_word(rest), number) && number == connection.lines_received + 1;
    // A new connection of the same tunnel continues at the current number of the client.
    const bool continues = word == "m" && connection.mid_flow && number > connection.lines_received;
    if (!in_order && !continues)
        return environment_.execution_log.line_corrupted(connection.tunnel, "out of order at the server",
                                                         text);
    if (connection.mid_flow && number > connection.lines_received + 1) connection.echoes_sent = number - 1;
    connection.mid_flow = false;
    connection.lines_received = number;
    environment_.events.schedule(work(traits_.line_work_ms), *this, token(echo, index));
}

bool FakeServer::open_line(std::uint32_t index, std::string_view rest) {
    Connection& connection = connections_[index];
    std::string_view id = next_word(rest);
    next_word(rest);  // the key
    const std::string_view list = next_word(rest);
    if (id.substr(0, 1) != "t" || !parse_number(id.substr(1), connection.tunnel, 16) || list.empty()) {
        if (id.substr(0, 1) != "r")
            environment_.execution_log.invalid_line(number_, id);  // misbehaving clients send such ids
        environment_.network.write(connection.end, "ERR\r\n", true);
        connection.step = Step::ended;
        environment_.network.shutdown_write(connection.end);
        return false;
    }
    connection.mid_flow = value_of(list, "mid") == "1";
    std::uint32_t millionths = 0;
    parse_number(value_of(list, "w"), millionths);
    connection.load = millionths / 1e6;
    parse_number(value_of(list, "g"), connection.group, 16);
    environment_.execution_log.setup_received(connection.tunnel, number_, connection.end,
                                              connection.first_byte, connection.mid_flow);
    environment_.note("server setup", number_, connection.tunnel);
    connection.step = Step::working;
    if (connection.mid_flow) {
        const auto held = by_tunnel_.find(connection.tunnel);
        if (held == by_tunnel_.end()) {
            environment_.execution_log.mid_flow_unknown(connection.tunnel, number_);
            environment_.network.reset(connection.end);
            connection.gone = true;
            connection.step = Step::ended;
            return false;
        }
        Connection& old = connections_[held->second];
        if (!old.gone) {
            environment_.network.reset(old.end);
            old.gone = true;
        }
        connection.lines_received = old.lines_received, connection.echoes_sent = old.lines_received,
        connection.pushes_sent = old.pushes_sent, connection.load = old.load, connection.group = old.group;
        old.step = Step::ended;
        held->second = index;
        connection.step = Step::open;
        send(index, "UP h" + std::to_string(number_) + "-" + std::string(id) + "\r\n");
        environment_.execution_log.setup_answered(connection.tunnel, number_, Answer::up);
        return true;
    }
    const double setup_work_ms = fails_setups_ || declines_setups_ ? 0.1 : traits_.setup_work_ms;
    environment_.events.schedule(work(setup_work_ms), *this, token(answer_setup, index));
    return true;
}

void FakeServer::answer(std::uint32_t index) {
    Connection& connection = connections_[index];
    if (connection.gone || connection.step != Step::working) return;
    Answer result = Answer::up;
    if (fails_setups_) result = Answer::error;
    if (declines_setups_ || open_count_ >= traits_.max_connections ||
        busy_until_ - environment_.now() > traits_.full_backlog)
        result = Answer::busy;
    environment_.execution_log.setup_answered(connection.tunnel, number_, result);
    if (result == Answer::up) return begin(index);
    send(index, word_of(result));
    environment_.network.shutdown_write(connection.end);
    connection.step = Step::ended;
}

void FakeServer::begin(std::uint32_t index) {
    Connection& connection = connections_[index];
    connection.step = Step::open;
    ++open_count_;
    load_ += connection.load;
    if (connection.group != 0) ++groups_[connection.group];
    by_tunnel_[connection.tunnel] = index;
    char answer_lines[64];
    std::snprintf(answer_lines, sizeof answer_lines, "UP h%u-t%x\r\nLOAD %u\r\n", number_, connection.tunnel,
                  static_cast<unsigned>(connection.load * 1e6));
    send(index, answer_lines);
    environment_.events.schedule(environment_.now() + random_.between(push_from, push_to), *this,
                                 token(push, index));
    read(index);
}

// Bytes that the network does not accept at once are queued.
void FakeServer::send(std::uint32_t index, std::string_view text) {
    Connection& connection = connections_[index];
    if (connection.gone) return;
    connection.unsent.append(text);
    send_unsent(index);
}

void FakeServer::send_unsent(std::uint32_t index) {
    Connection& connection = connections_[index];
    if (connection.gone || hangs_) return;
    connection.unsent.erase(0, environment_.network.write(connection.end, connection.unsent, true).bytes);
}

void FakeServer::on_event(std::uint64_t event) {
    const auto kind = static_cast<Kind>(event >> 56);
    if ((event >> 40 & 0xffffU) != (incarnation_ & 0xffffU) || state_ != State::up) return;
    const std::uint64_t argument = event & 0xffffffffffU;
    const Ticks now = environment_.now();
    if (hangs_ && kind != report && kind != overload_check) {  // postponed until the server no longer hangs
        return environment_.events.schedule(now + second, *this, event);
    }
    const auto index = static_cast<std::uint32_t>(argument);
    switch (kind) {
        case answer_setup:
            return answer(index);
        case echo:
            return send_echo(index);
        case push:
            if (send_pushes(index))
                environment_.events.schedule(now + random_.between(push_from, push_to), *this, event);
            return;
        case report:
            reported_ = demand() / capacity() * (1 + traits_.report_noise * (2 * random_.unit() - 1));
            if (traits_.fixed_reported_load > 0) reported_ = traits_.fixed_reported_load;
            return environment_.events.schedule(now + traits_.report_interval, *this, event);
        case overload_check:
            return check_overload();
        case probe_answer:
            return answer_probe(static_cast<std::uint32_t>(argument >> 1), (argument & 1) != 0);
        case move_due:
            if (move_one()) environment_.events.schedule(now + move_interval_, *this, event);
            return;
    }
}

void FakeServer::send_echo(std::uint32_t index) {
    Connection& connection = connections_[index];
    if (connection.step != Step::open || connection.gone) return;
    char text[48];
    std::snprintf(text, sizeof text, "e %u %lld\r\n", ++connection.echoes_sent,
                  static_cast<long long>(environment_.now()));
    send(index, text);
}

// Returns false if the tunnel has ended: no more lines are scheduled for it.
bool FakeServer::send_pushes(std::uint32_t index) {
    Connection& connection = connections_[index];
    if (connection.step != Step::open) return false;
    if (connection.gone) {  // parked: dropped if its client has not continued it in time
        if (environment_.now() - connection.parked_since > environment_.parking_timeout) finish(index, false);
        return connection.step == Step::open;
    }
    const int n = random_.odds(burst_share) ? burst_lines : 1;
    const std::string payload(std::max<std::size_t>(traits_.push_bytes, n > 1 ? 100 : 1), '0');
    for (int i = 0; i < n; ++i) {
        char text[64];
        std::snprintf(text, sizeof text, "p %u %lld ", ++connection.pushes_sent,
                      static_cast<long long>(environment_.now()));
        send(index, std::string(text).append(payload).append("\r\n"));
    }
    if (random_.odds(0.1)) {
        char text[32];
        std::snprintf(text, sizeof text, "LOAD %u\r\n", static_cast<unsigned>(connection.load * 1e6));
        send(index, text);
    }
    return true;
}

void FakeServer::answer_probe(std::uint32_t index, bool with_load) {
    char text[48] = "PONG\r\n";
    if (with_load) std::snprintf(text, sizeof text, "PONG x0=%.4f\r\n", reported_);
    send(index, text);
}

// Returns false if there is no client left to move.
bool FakeServer::move_one() {
    for (std::uint32_t i = 0; i < connections_.size(); ++i) {
        if (connections_[i].gone || connections_[i].step != Step::open) continue;
        send(i, word_of(Answer::move));
        environment_.network.shutdown_write(connections_[i].end);
        finish(i, true);
        return true;
    }
    return false;
}

}  // namespace lemonstair::fakes
