#include "fakes/clients.h"

#include <algorithm>
#include <cstdio>

namespace lemonstair::fakes {

namespace {

constexpr Ticks second = 10000;
constexpr Ticks longest_silence = 70000;  // beyond this, a connection that owes echoes is reported
// A client waits a little longer than the timeout it sent, so that a late answer is still seen. After a final
// answer it waits for the node to close the connection, and closes it itself after closing_timeout.
constexpr Ticks timeout_grace = 2000, closing_timeout = 12000;
// Several times the window of the simulated network.
constexpr std::size_t flood_bytes = 1 << 20;

}  // namespace

FakeClients::FakeClients(TestEnvironment& environment, Front& front, std::vector<Machine> machines,
                         std::vector<ClientPlan> plans, const ClientBehavior& client_behavior,
                         simnet::RandomSource random)
    : environment_(environment),
      front_(front),
      machines_(std::move(machines)),
      behavior_(client_behavior),
      random_(random) {
    for (auto& plan : plans) {
        clients_.emplace_back();
        clients_.back().plan = std::move(plan);
    }
}

void FakeClients::start() {
    for (std::uint32_t index = 0; index < clients_.size(); ++index) {
        clients_[index].machine = machines_[index % machines_.size()];
        clients_[index].slow_reader = random_.odds(behavior_.slow_reader_share);
        environment_.events.schedule(environment_.events.start_time() + clients_[index].plan.from, *this,
                                     token(connect_due, index));
    }
}

void FakeClients::add(std::vector<ClientPlan> plans) {
    for (auto& plan : plans) {
        const auto index = static_cast<std::uint32_t>(clients_.size());
        clients_.emplace_back();
        clients_[index].plan = std::move(plan);
        clients_[index].machine = machines_[index % machines_.size()];
        environment_.events.schedule(environment_.events.start_time() + clients_[index].plan.from, *this,
                                     token(connect_due, index));
    }
}

std::size_t FakeClients::open_now() const {
    return static_cast<std::size_t>(std::count_if(
        clients_.begin(), clients_.end(), [](const Client& client) { return client.state == State::open; }));
}

// Changes the state; timers of the old state become stale.
void FakeClients::transition_to(std::uint32_t index, State to) {
    ++clients_[index].timer_generation;
    clients_[index].state = to;
}

void FakeClients::connect(std::uint32_t index) {
    Client& client = clients_[index];
    const bool mid_flow = client.resuming;
    const std::uint32_t node = mid_flow ? front_.pick_except(client.node) : front_.pick();
    if (node == Front::none) return pause(index, second / 2);
    client.node = node;
    client.end = environment_.network.connect(client.machine, front_.address(node), *this);
    client.has_connection = true;
    client.reads = true;
    by_end_[client.end.number()] = index;
    client.reader = {};
    client.unsent.clear();
    transition_to(index, State::connecting);
    environment_.events.schedule(
        environment_.now() + environment_.profiles[client.plan.profile].client_timeout, *this,
        token(timeout, index));
}

FakeClients::PendingRequest FakeClients::random_pending_request(simnet::RandomSource& random) const {
    std::vector<const Client*> waiting;
    for (const Client& client : clients_)
        if (client.state == State::waiting && client.is_delivered) waiting.push_back(&client);
    if (waiting.empty()) return {};
    const auto last = static_cast<std::int64_t>(waiting.size()) - 1;
    const Client& chosen = *waiting[static_cast<std::size_t>(random.between(std::int64_t{0}, last))];
    return {chosen.request_line, chosen.node};
}

bool FakeClients::is_current(std::string_view line) const {
    return std::any_of(clients_.begin(), clients_.end(), [&](const Client& client) {
        return client.request_line == line && (client.state == State::waiting || client.state == State::open);
    });
}

void FakeClients::send_open(std::uint32_t index) {
    Client& client = clients_[index];
    const Profile& profile = environment_.profiles[client.plan.profile];
    if (!client.resuming) {
        client.last_tunnel = client.tunnel;
        client.tunnel = next_tunnel_++;
        client.lines_sent = client.echoes_received = client.pushes_received = 0;
    }
    char text[256];
    const int length = std::snprintf(
        text, sizeof text, "OPEN t%x %s c=%.*s,d=%lld,w=%u,h=%.4f%s%s%s", client.tunnel,
        client.plan.key.c_str(), static_cast<int>(profile.name.size()), profile.name.data(),
        static_cast<long long>(profile.client_timeout / 10), static_cast<unsigned>(client.plan.load * 1e6),
        client.plan.load, client.attempts > 0 && !client.resuming ? ",r=1" : "",
        client.reconnecting && !client.resuming ? ",again=1" : "", client.resuming ? ",mid=1" : "");
    std::string line(text, static_cast<std::size_t>(length));
    if (client.plan.group != 0) {
        std::snprintf(text, sizeof text, ",g=%x", client.plan.group);
        line += text;
    }
    transition_to(index, State::waiting);
    environment_.execution_log.tunnel_requested({client.tunnel, client.resuming ? 0 : client.last_tunnel,
                                                 client.node, client.plan.profile, profile.client_timeout,
                                                 client.resuming, client.slow_reader, client.end});
    client.request_line = line + "\r\n";
    client.is_delivered = false;
    write(index, client.request_line);
    environment_.network.notify_delivered(client.end, *this, token(delivered, index));
    environment_.events.schedule(environment_.now() + profile.client_timeout + timeout_grace, *this,
                                 token(timeout, index));
    if (random_.odds(behavior_.abandon_share))
        environment_.events.schedule(
            environment_.now() + random_.between(std::int64_t{1}, profile.client_timeout), *this,
            token(abandon_due, index));
}

void FakeClients::write(std::uint32_t index, std::string_view text) {
    Client& client = clients_[index];
    client.unsent.append(text);
    write_unsent(environment_.network, client.end, client.unsent);
}

void FakeClients::close_connection(std::uint32_t index) {
    Client& client = clients_[index];
    if (!client.has_connection) return;
    client.has_connection = false;
    environment_.network.close(client.end);
}

// The final answer was received: waits for the node to close the connection. Further bytes are reported.
void FakeClients::await_close(std::uint32_t index) {
    Client& client = clients_[index];
    client.has_connection = false;
    closing_[client.end.number()] = client.tunnel;
    environment_.events.schedule(environment_.now() + closing_timeout, *this,
                                 std::uint64_t{close_due} << 56 | client.end.number());
    drain_closing(client.end);
}

void FakeClients::drain_closing(End end) {
    const auto it = closing_.find(end.number());
    if (it == closing_.end()) return;
    std::array<char, 256> bytes;
    const auto got = environment_.network.read(end, bytes, true);
    if (got.bytes > 0) environment_.execution_log.data_after_final(it->second, {bytes.data(), got.bytes});
    if (got.bytes == 0 && !got.ended && got.error == 0) return;
    environment_.network.close(end);
    closing_.erase(it);
}

void FakeClients::pause(std::uint32_t index, Ticks span) {
    transition_to(index, State::pausing);
    environment_.events.schedule(environment_.now() + std::max<Ticks>(span, 1), *this,
                                 token(connect_due, index));
}

void FakeClients::retry(std::uint32_t index, Ticks span) {
    Client& client = clients_[index];
    client.resuming = false;
    if (++client.attempts >= behavior_.max_attempts) return transition_to(index, State::done);
    pause(index, span + random_.between(behavior_.min_pause, behavior_.max_pause));
}

void FakeClients::finish(std::uint32_t index) {
    close_connection(index);
    transition_to(index, State::done);
}

void FakeClients::stop_all() {
    for (std::uint32_t index = 0; index < clients_.size(); ++index) {
        Client& client = clients_[index];
        if (client.state == State::waiting) environment_.execution_log.client_left(client.tunnel);
        if (client.state == State::open) environment_.execution_log.client_left(client.tunnel);
        close_connection(index);
        transition_to(index, State::done);
    }
}

void FakeClients::on_stream_event(End end) {
    const auto it = by_end_.find(end.number());
    if (it == by_end_.end()) return;
    const std::uint32_t index = it->second;
    Client& client = clients_[index];
    drain_closing(end);
    continue_flood(end);
    if (!client.has_connection || !(client.end == end)) return;
    if (client.state == State::connecting && environment_.network.is_up(end)) send_open(index);
    if (client.state != State::connecting && !client.unsent.empty())
        write_unsent(environment_.network, end, client.unsent);
    if (client.reads) read(index);
}

void FakeClients::read(std::uint32_t index) {
    std::array<char, 4096> bytes;
    const End end = clients_[index].end;
    for (;;) {
        Client& client = clients_[index];
        if (!client.has_connection || !(client.end == end)) return;
        const auto got = environment_.network.read(end, bytes, true);
        if (got.bytes > 0) {
            client.reader.feed({bytes.data(), got.bytes},
                               [&](std::string_view text) { return on_line(index, text); });
            continue;
        }
        if (got.ended || got.error != 0) on_disconnect(index, got.error != 0);
        return;
    }
}

void FakeClients::on_disconnect(std::uint32_t index, bool by_reset) {
    Client& client = clients_[index];
    const bool was_open = client.state == State::open;
    close_connection(index);
    if (client.state == State::done || client.state == State::pausing) return;
    if (client.finished_sending) return transition_to(index, State::done);
    // The client tries other nodes as long as the server keeps the tunnel parked.
    if (client.state == State::connecting && client.resuming &&
        environment_.now() - client.lost_at < environment_.parking_timeout)
        return pause(index, second / 3);
    if (client.state == State::connecting) return retry(index, 0);
    if (!client.reader.between_lines())
        environment_.execution_log.line_corrupted(client.tunnel, "cut within a line", "");
    environment_.execution_log.connection_cut(client.tunnel, by_reset,
                                              environment_.network.last_received_sent_at(client.end));
    ++tally_.cut;
    client.reconnecting = client.reconnecting || was_open;
    // With packet passthrough, the same tunnel continues through another node.
    if (was_open && environment_.packet_passthrough && by_reset) {
        client.resuming = client.gap_echoed = client.gap_pushed = true;
        client.lost_at = environment_.now();
        ++tally_.resumed;
        return pause(index, random_.between(std::int64_t{100}, second));
    }
    retry(index, 0);
}

void FakeClients::on_event(std::uint64_t event) {
    const auto kind = static_cast<Kind>(event >> 56);
    if (kind == close_due) {
        const std::uint64_t number = event & 0xffffffffffffffU;
        const End end{static_cast<std::uint32_t>(number >> 1), static_cast<std::uint8_t>(number & 1)};
        if (closing_.erase(number) > 0) environment_.network.close(end);
        return;
    }
    const auto index = static_cast<std::uint32_t>(event);
    Client& client = clients_[index];
    if ((event >> 32 & 0xffffffU) != (client.timer_generation & 0xffffffU)) return;
    switch (kind) {
        case close_due:
            return;
        case connect_due:
            if (environment_.elapsed() >= client.plan.until) return transition_to(index, State::done);
            return connect(index);
        case delivered:
            client.is_delivered = true;
            return environment_.execution_log.request_delivered(client.tunnel);
        case timeout:
            return time_out(index);
        case abandon_due:
            return abandon(index);
        case send_due:
            return send_line(index);
        case toggle_reading:
            client.reads = !client.reads;
            if (client.state == State::done) return read(index);
            environment_.events.schedule(environment_.now() + random_.between(second / 2, 2 * second), *this,
                                         token(toggle_reading, index));
            if (client.reads) read(index);
            return;
        case leave_due:
            return leave(index);
    }
}

void FakeClients::time_out(std::uint32_t index) {
    const Client& client = clients_[index];
    if (client.state == State::waiting) environment_.execution_log.client_timed_out(client.tunnel);
    ++tally_.timed_out;
    close_connection(index);
    if (client.state == State::connecting && client.resuming &&
        environment_.now() - client.lost_at < environment_.parking_timeout)
        return pause(index, 1);
    retry(index, 0);
}

void FakeClients::send_line(std::uint32_t index) {
    Client& client = clients_[index];
    char text[64];
    std::snprintf(text, sizeof text, "m %u %lld\r\n", ++client.lines_sent,
                  static_cast<long long>(environment_.now()));
    if (client.unechoed_since == 0) client.unechoed_since = environment_.now();
    const Ticks owed = environment_.now() - client.unechoed_since;
    if (owed > longest_silence && client.reads && owed > client.reported_silence) {
        client.reported_silence = owed;
        environment_.execution_log.connection_silent(client.tunnel, owed);
    }
    write(index, text);
    environment_.events.schedule(environment_.now() + behavior_.line_interval, *this, token(send_due, index));
}

void FakeClients::abandon(std::uint32_t index) {
    environment_.execution_log.client_left(clients_[index].tunnel);
    // Without such clients no number is drawn, which would change the scenarios of all seeds.
    if (behavior_.flood_share > 0 && random_.odds(behavior_.flood_share)) return leave_behind_flood(index);
    finish(index);
}

// The client has closed its connection; its system goes on sending as the node reads.
void FakeClients::leave_behind_flood(std::uint32_t index) {
    Client& client = clients_[index];
    // No line end: a server would take complete lines for those of an open tunnel.
    std::string bytes = std::move(client.unsent);
    bytes.append(flood_bytes, 'f');
    client.has_connection = false;
    floods_[client.end.number()] = std::move(bytes);
    transition_to(index, State::done);
    continue_flood(client.end);
}

void FakeClients::continue_flood(End end) {
    const auto it = floods_.find(end.number());
    if (it == floods_.end()) return;
    write_unsent(environment_.network, end, it->second);
    std::array<char, 256> bytes;
    net::IoResult got;
    do got = environment_.network.read(end, bytes, true);
    while (got.bytes > 0);
    if (!it->second.empty() && !got.ended && got.error == 0) return;
    floods_.erase(it);
    environment_.network.close(end);
}

// Ends the tunnel: shuts down sending, and waits for the end from the node.
void FakeClients::leave(std::uint32_t index) {
    Client& client = clients_[index];
    environment_.execution_log.client_left(client.tunnel);
    client.finished_sending = true;
    client.reads = !client.slow_reader;
    transition_to(index, State::done);
    environment_.network.shutdown_write(client.end);
    if (client.slow_reader)
        environment_.events.schedule(environment_.now() + 2 * second, *this, token(toggle_reading, index));
}

}  // namespace lemonstair::fakes
