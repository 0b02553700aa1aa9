#include "tunnel/completion.h"

#include <poll.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

#include "net/transfer.h"

namespace lemonstair::tunnel {

namespace {

// How long a side may take to end its part after ours.
constexpr Ticks longest_farewell = 10000, longest_farewell_at_door = 3000;
// What a side sends after its last words is thrown away up to here; more waits unread until the farewell is
// over.
constexpr std::uint32_t most_discarded = 1 << 20;
constexpr Ticks moment_to_speak = 200, moment_to_end = 2000, moment_to_log = 10000;

}  // namespace

void Completion::decline(TunnelId id, Ticks come_back_after) {
    ++floor_.tally.declined;
    floor_.find(id)->outcome = metrics::FinalAnswer::declined;
    if (come_back_after < 10) return answer(id, "BUSY\r\n");
    std::array<char, 40> line{'B', 'U', 'S', 'Y', ' '};
    char* end = std::to_chars(line.data() + 5, line.data() + line.size(), come_back_after / 10).ptr;
    *end++ = '\r';
    *end++ = '\n';
    answer(id, {line.data(), static_cast<std::size_t>(end - line.data())});
}

void Completion::close_with_error(TunnelId id) {
    ++floor_.tally.failed;
    floor_.find(id)->outcome = metrics::FinalAnswer::closed_with_error;
    answer(id, "ERR\r\n");
}

void Completion::send_away(TunnelId id) {
    Tunnel& t = *floor_.find(id);
    if (t.pings == 0) return say_last(id, "BUSY\r\n");
    part(id);
}

void Completion::answer(TunnelId id, std::string_view line) {
    floor_.find(id)->host.close();
    say_last(id, line);
}

// Guards against a system that takes a part of a line only: the client would have half an answer.
void Completion::say_last(TunnelId id, std::string_view line) {
    Tunnel& t = *floor_.find(id);
    if (t.state == TunnelState::departing) floor_.violated(metrics::Invariant::answered_twice, id, line);
    const auto sent = t.client.write(line);
    if (sent.error != 0) return drop(id);
    depart(id);
    if (sent.bytes == line.size()) return shutdown_write(t);
    t.down.waiting = floor_.pool.take();
    t.down.waiting.append(line.substr(sent.bytes));
    t.client.set_events(POLLIN | POLLOUT);
}

void Completion::shutdown_write(Tunnel& t) {
    for (net::Socket* s : {&t.client, &t.host}) {
        if (!s->open()) continue;
        s->shutdown_write();
        s->set_events(POLLIN);
    }
}

void Completion::tell_left(TunnelId id) {
    Tunnel& t = *floor_.find(id);
    if (!t.known) return;
    floor_.mind().on_client_disconnected(id);
    if (t.state == TunnelState::connecting || t.state == TunnelState::sending_line ||
        t.state == TunnelState::awaiting_answer)
        over(id, Outcome::cancelled);
    t.known = false;
}

void Completion::client_left(TunnelId id) {
    tell_left(id);
    drop(id);
}

void Completion::turn_away(TunnelId id) {
    ++floor_.tally.bad;
    floor_.costs.count_reason(Reason::bad_client);
    tell_left(id);
    close_with_error(id);
}

// Guards against clients that connect by hundreds and say nothing, or do not go when told to: they must not
// keep out those that speak, nor hold descriptors that a setup needs.
bool Completion::make_room() {
    const Ticks now = floor_.loop.now();
    TunnelId oldest = 0;
    bool found = false, spoke = true;
    Ticks since = 0;
    for (std::uint32_t at = 0; at < floor_.tunnels.places(); ++at) {
        if (!floor_.tunnels.used(at)) continue;
        const Tunnel& t = floor_.tunnels[at];
        const bool speaks = t.state == TunnelState::departing;
        if (t.state != TunnelState::taking_in && !(speaks && spoke)) continue;
        // One that sends its line in pieces is not silent between them.
        const Ticks quiet_since = speaks ? t.since : std::max(t.since, t.heard_at);
        if (now - quiet_since < (speaks ? moment_to_end : moment_to_speak)) continue;
        if (found && spoke == speaks && quiet_since >= since) continue;
        std::array<char, 1> next{};
        if (!speaks && t.client.peek(next).bytes > 0) continue;  // it is heard in this pass
        found = true;
        spoke = speaks;
        since = quiet_since;
        oldest = floor_.id_of(at);
    }
    if (!found) return false;
    ++floor_.tally.gave_way;
    if (now - std::exchange(made_room_at_, now) > moment_to_log)
        floor_.log.info() << "descriptors run short, " << floor_.loop.descriptors() << " in use, "
                          << floor_.admitted << " tunnels: silent clients give way";
    drop(oldest);
    return true;
}

void Completion::over(TunnelId id, Outcome ending) {
    Tunnel& t = *floor_.find(id);
    if (!t.known) return;
    t.known = false;
    floor_.log.debug() << "tunnel " << static_cast<std::uint32_t>(id) << " at ep " << floor_.hosts[t.place].ep
                       << " over, ending " << static_cast<int>(ending) << ", lines owed " << t.owed;
    floor_.mind().on_ended(id, t.setups - 1, floor_.hosts[t.place].ep, ending,
                           floor_.loop.now() - t.setup_from, true);
}

void Completion::depart(TunnelId id) {
    Tunnel& t = *floor_.find(id);
    t.opening.give_back();
    t.up.waiting.give_back();
    t.down.waiting.give_back();
    floor_.go(id, TunnelState::departing);
    floor_.set_due(id, t, floor_.loop.now() + (t.at_door ? longest_farewell_at_door : longest_farewell));
}

void Completion::drop(TunnelId id) { floor_.go(id, TunnelState::free); }

void Completion::tunnel_ready(TunnelId id, Side side, short) {
    Tunnel& t = *floor_.find(id);
    if (side == Side::client && !t.down.waiting.empty()) {
        const auto sent = t.client.write(t.down.waiting.view());
        if (sent.error != 0) return drop(id);
        t.down.waiting.take(sent.bytes);
        if (t.down.waiting.empty()) {
            t.down.waiting.give_back();
            shutdown_write(t);
        }
    }
    drain(t, side == Side::client ? t.client : t.host);
    if (!t.client.open() && !t.host.open()) drop(id);
}

// Guards against a client that sends on at full speed: its bytes cost no copy, and not more than a part of a
// second of it is read at all.
void Completion::drain(Tunnel& t, net::Socket& socket) {
    if (t.discarded >= most_discarded) return socket.close();  // unwatched, so it can only have broken
    const auto got = socket.discard();
    if (got.ended || got.error != 0) return socket.close();
    t.discarded += static_cast<std::uint32_t>(got.bytes);
    if (t.discarded >= most_discarded)
        for (net::Socket* s : {&t.client, &t.host}) s->set_events(0);
}

}  // namespace lemonstair::tunnel
