#include "tunnel/relay.h"

#include <poll.h>

#include <algorithm>
#include <charconv>
#include <cmath>

#include "net/lines.h"
#include "net/transfer.h"

namespace lemonstair::tunnel {

namespace {

constexpr std::string_view move_line = "MOVE\r\n";
// Clients send a line every few seconds, and a sound host answers at once: a tunnel that has had none for
// this long, and is owed one for half of it, will not have it. Long before that the module hears of a host
// from which no tunnel has had a line.
constexpr Ticks silent_after = 60000, owed_for = 30000, unheard_after = 5000;
constexpr Ticks told_every = 10000;
// When a host or a client has ended, the other side gets this long to take the last bytes and end too.
constexpr Ticks longest_ending = 8000, longest_parting = 30000;
constexpr int reads_a_pass = 4;
constexpr std::uint32_t longest_line = 4096;

Direction& into(Tunnel& t, Side side) { return side == Side::client ? t.down : t.up; }
Direction& out_of(Tunnel& t, Side side) { return side == Side::client ? t.up : t.down; }
net::Socket& socket(Tunnel& t, Side side) { return side == Side::client ? t.client : t.host; }
Side other(Side side) { return side == Side::client ? Side::host : Side::client; }

void measure(Direction& way, std::string_view bytes) {
    const auto end = bytes.rfind('\n');
    way.line_size = static_cast<std::uint32_t>(end == std::string_view::npos ? way.line_size + bytes.size()
                                                                             : bytes.size() - end - 1);
}

}  // namespace

Relay::Relay(TunnelRegistry& floor, Completion& book) : floor_(floor), book_(book) {
    for (const auto& p : floor.launch.balancer.traffic_classes)
        if (p.message_latency_objective > 0)
            slow_from_ = std::min(slow_from_, p.message_latency_objective / 3);
}

void Relay::begin(TunnelId id) {
    Tunnel& t = *floor_.find(id);
    floor_.go(id, TunnelState::relaying);
    t.heard_at = floor_.loop.now();
    const auto answer = t.down.waiting.view();
    if (const auto more = answer.substr(answer.find('\n') + 1); !more.empty()) host_bytes(id, more);
    if (t.opening.held()) {
        client_bytes(t, t.opening.view());
        t.up.waiting = std::move(t.opening);
        if (t.up.waiting.empty()) t.up.waiting.give_back();
    }
    if (write(id, Side::client) && write(id, Side::host)) settle(id);
}

void Relay::tunnel_ready(TunnelId id, Side side, short events) {
    Tunnel& t = *floor_.find(id);
    if ((events & POLLOUT) != 0 && !write(id, side)) return;
    if ((events & (POLLIN | POLLHUP | POLLERR)) != 0 && !out_of(t, side).ended && !read(id, side)) return;
    // What a side that broke had sent cannot all be read while the other takes nothing.
    if ((events & POLLERR) != 0 && (out_of(t, side).ended || out_of(t, side).waiting.held()))
        return broken(id, side);
    settle(id);
}

// False once the tunnel is gone.
bool Relay::read(TunnelId id, Side from) {
    Tunnel& t = *floor_.find(id);
    Direction& way = out_of(t, from);
    for (int i = 0; i < reads_a_pass && way.waiting.empty(); ++i) {
        if (!way.waiting.held()) way.waiting = floor_.pool.take();
        const auto [at, room] = way.waiting.room();
        const auto got = socket(t, from).read({at, room});
        if (got.error != 0) return broken(id, from), false;
        if (got.ended) {
            way.ended = true;
            floor_.set_due(id, t,
                           floor_.loop.now() + (from == Side::host ? longest_ending : longest_parting));
            break;
        }
        if (got.bytes == 0) break;
        way.waiting.added(got.bytes);
        if (from == Side::client)
            client_bytes(t, {at, got.bytes});
        else
            host_bytes(id, {at, got.bytes});
        // What follows the end of the line at hand would begin one that a moved tunnel cannot end.
        if (t.state == TunnelState::moving && way.line_size < got.bytes) {
            way.waiting.cut_end(way.line_size);
            way.line_size = 0;
        }
        if (way.line_size > longest_line) return broken(id, from), false;  // a line without end
        if (!write(id, other(from))) return false;
        if (t.state == TunnelState::moving && way.line_size == 0) break;
    }
    if (way.waiting.empty()) way.waiting.give_back();
    return true;
}

// False once the tunnel is gone.
bool Relay::write(TunnelId id, Side to) {
    Tunnel& t = *floor_.find(id);
    Direction& way = into(t, to);
    if (!way.waiting.empty()) {
        const auto sent = socket(t, to).write(way.waiting.view());
        if (sent.error != 0) return broken(id, to), false;
        way.waiting.take(sent.bytes);
        if (way.waiting.empty()) way.waiting.give_back();
    }
    return true;
}

void Relay::client_bytes(Tunnel& t, std::string_view bytes) {
    if (bytes.empty()) return;
    measure(t.up, bytes);
    const auto lines = static_cast<std::uint32_t>(std::count(bytes.begin(), bytes.end(), '\n'));
    if (t.owed == 0 && lines > 0) t.waiting_since = floor_.loop.now();
    t.owed += lines;
}

// Only the beginning of a line is kept: none that means something here is longer.
void Relay::host_bytes(TunnelId id, std::string_view bytes) {
    Tunnel& t = *floor_.find(id);
    measure(t.down, bytes);
    while (!bytes.empty()) {
        const auto end = bytes.find('\n');
        const auto part = bytes.substr(0, end);
        const auto n = std::min(part.size(), t.head.size() - t.head_size);
        std::copy_n(part.begin(), n, t.head.begin() + t.head_size);
        t.head_size = static_cast<std::uint8_t>(t.head_size + n);
        if (end == std::string_view::npos) return;
        const auto line = net::first_line({t.head.data(), t.head_size});
        t.head_size = 0;
        host_line(id, line);
        bytes.remove_prefix(end + 1);
    }
}

void Relay::host_line(TunnelId id, std::string_view line) {
    Tunnel& t = *floor_.find(id);
    if (line.substr(0, 5) == "LOAD ") {
        double load = 0;
        const char* end = line.data() + line.size();
        const auto [stop, error] = std::from_chars(line.data() + 5, end, load);
        if (error == std::errc{} && stop == end && std::isfinite(load) && load >= 0 && t.known)
            floor_.mind().on_load_changed(id, load / 1e6);
        return;
    }
    // A load is told by hosts that answer nothing, too, so it is not counted as heard.
    t.heard_at = spoken(t.place).heard_at = floor_.loop.now();
    if (line == "BYE" || line.substr(0, 4) == "BYE ") t.ending = Outcome::ok;
    if (line == "MOVE") t.ending = Outcome::cancelled;
    answered(id, t);
}

void Relay::answered(TunnelId id, Tunnel& t) {
    if (t.owed == 0) return;
    const Ticks took = floor_.loop.now() - t.waiting_since;
    tell_slow(id, t.place, took);
    --t.owed;
    t.waiting_since = floor_.loop.now();
}

// Once a second for a host while messages take long there, and once more when they no longer do.
void Relay::tell_slow(TunnelId id, std::uint32_t place, Ticks takes) {
    Spoken& told = spoken(place);
    const bool slow = takes > slow_from_;
    if (slow ? floor_.loop.now() - told.told_at < told_every : !told.slow) return;
    told.told_at = floor_.loop.now();
    told.slow = slow;
    floor_.log.debug() << "a message takes " << takes / 10 << " ms at ep " << floor_.hosts[place].ep;
    floor_.mind().on_slow_messages(id, floor_.hosts[place].ep, takes);
}

// What each side is waited for follows from what waits for it; ends are passed on behind the last byte.
void Relay::settle(TunnelId id) {
    Tunnel& t = *floor_.find(id);
    const bool moving = t.state == TunnelState::moving;
    for (const Side side : {Side::client, Side::host}) {
        Direction& way = out_of(t, side);
        if (way.ended && way.waiting.empty() && !way.end_passed) {
            way.end_passed = true;
            socket(t, other(side)).shutdown_write();
        }
    }
    if (t.down.ended) {
        if (t.up.ended && t.ending == Outcome::connection_lost) t.ending = Outcome::cancelled;
        book_.over(id, t.ending);
        // The host has ended: what the client still sends finds nobody.
        if (t.down.end_passed) return book_.part(id);
    }
    if (moving) {
        const bool client_between = t.down.waiting.empty() && t.down.line_size == 0;
        const bool host_between = t.up.waiting.empty() && t.up.line_size == 0;
        if (client_between && (host_between || t.moves_on)) {
            book_.over(id, t.ending);
            ++floor_.tally.moved;
            return book_.say_last(id, move_line);
        }
    }
    // A client that is moved is read no further than to the end of its line.
    const bool read_client = !t.up.ended && t.up.waiting.empty() && (!moving || t.up.line_size > 0);
    const bool read_host = !t.down.ended && t.down.waiting.empty() && (!moving || t.down.line_size > 0);
    t.client.set_events(
        static_cast<short>((read_client ? POLLIN : 0) | (t.down.waiting.empty() ? 0 : POLLOUT)));
    t.host.set_events(static_cast<short>((read_host ? POLLIN : 0) | (t.up.waiting.empty() ? 0 : POLLOUT)));
}

void Relay::broken(TunnelId id, Side side) {
    Tunnel& t = *floor_.find(id);
    // The client's going is no fault of the host, and a host that said why it ends has said it.
    if (side == Side::client && t.ending == Outcome::connection_lost) t.ending = Outcome::cancelled;
    book_.over(id, t.ending);
    socket(t, other(side)).reset();
    book_.drop(id);
}

void Relay::tunnel_due(TunnelId id) {
    Tunnel& t = *floor_.find(id);
    if (floor_.loop.now() < t.due) return;
    if (t.state == TunnelState::moving &&
        !t.moves_on) {  // the host's side is stuck in a line: the client goes first
        t.moves_on = true;
        floor_.set_due(id, t, floor_.loop.now() + patience());
        return settle(id);
    }
    const bool ending = t.down.ended || t.up.ended;
    if (t.state == TunnelState::relaying && !ending) return;
    if (t.up.ended && t.ending == Outcome::connection_lost) t.ending = Outcome::cancelled;
    book_.over(id, t.ending);
    if (t.down.waiting.empty()) return book_.part(id);
    t.client.reset();  // it does not take what its host has sent
    book_.drop(id);
}

// How long a move waits for one side's line to end: there are two such waits, and a node that empties has no
// time for longer ones.
Ticks Relay::patience() const {
    return std::clamp<Ticks>((floor_.over_by - floor_.loop.now()) / 2, 0, longest_ending);
}

void Relay::move(TunnelId id) {
    Tunnel& t = *floor_.find(id);
    if (t.state != TunnelState::relaying || t.down.ended || t.up.ended) return;
    if (t.ending == Outcome::connection_lost && !t.moves_on) t.ending = Outcome::cancelled;
    floor_.go(id, TunnelState::moving);
    floor_.set_due(id, t, floor_.loop.now() + patience());
    settle(id);
}

void Relay::go_on(TunnelId id) {
    Tunnel& t = *floor_.find(id);
    floor_.go(id, TunnelState::relaying);
    Spoken& told = spoken(t.place);
    told.heard_at = std::max(told.heard_at, t.heard_at);
    if (write(id, Side::client) && write(id, Side::host)) settle(id);
}

// Guards against hosts that vanish or hang: their connections stay open and say nothing. The module hears of
// a host that owes lines and has sent none on any tunnel; a tunnel that waited long enough is broken, and its
// client moved.
void Relay::look_over() {
    unheard_.assign(floor_.hosts.size(), {});
    silent_.clear();
    for (std::uint32_t at = 0; at < floor_.tunnels.places(); ++at) {
        if (!floor_.tunnels.used(at)) continue;
        const Tunnel& t = floor_.tunnels[at];
        if (t.state != TunnelState::relaying || t.up.ended || t.down.ended) continue;
        Unheard& host = unheard_[t.place];
        ++host.tunnels;
        // Where its client takes nothing the host is not to blame.
        if (t.owed == 0 || !t.down.waiting.empty()) continue;
        const Ticks age = floor_.loop.now() - t.waiting_since;
        if (age >= owed_for && floor_.loop.now() - t.heard_at >= silent_after)
            silent_.push_back(floor_.id_of(at));
        if (spoken(t.place).heard_at > t.waiting_since) continue;
        host.second = std::max(host.second, std::min(host.longest, age));
        host.longest = std::max(host.longest, age);
    }
    // One tunnel that has stopped is not its host: where there are others, two must have waited.
    for (std::uint32_t place = 0; place < unheard_.size(); ++place) {
        const Ticks span = unheard_[place].tunnels == 1 ? unheard_[place].longest : unheard_[place].second;
        if (span >= unheard_after) floor_.mind().on_unresponsive(floor_.hosts[place].ep, span);
    }
    for (const TunnelId id : silent_) {
        Tunnel* t = floor_.find(id);
        if (t == nullptr || t->state != TunnelState::relaying) continue;
        ++floor_.tally.silent;
        t->moves_on = true;
        move(id);
    }
}

}  // namespace lemonstair::tunnel
