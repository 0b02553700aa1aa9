#include "tunnel/acceptor.h"

#include <poll.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <utility>

#include "net/lines.h"
#include "net/transfer.h"
#include "tunnel/request_line.h"

namespace lemonstair::tunnel {

namespace {

constexpr Ticks rest_for = 200, longest_silence = 25000, silence_after_pong = 10000,
                longest_standing_wait = 400000;
// A few more clients are let in when there is no descriptor for them, to be told so: what waits in the
// listener's queue would have no answer in its time.
constexpr std::size_t most_at_door = 6;
constexpr Ticks longest_silence_at_door = 5000;
constexpr int most_pings = 16;
constexpr int accepts_a_pass = 64;
constexpr std::size_t longest_line = 4096;

}  // namespace

void Acceptor::listen_on(net::Fd listener) {
    listener_ = net::Socket(floor_.loop, std::move(listener), 0, *this, 0);
    floor_.keep_spares();
}

void Acceptor::open(bool yes) {
    open_ = yes;
    wait();
}

void Acceptor::wait() { listener_.set_events(open_ && !resting_ ? POLLIN : 0); }

// True where the system said that no client waits; false where some may, whatever kept them from being
// accepted.
bool Acceptor::accept_waiting() {
    for (int i = 0; i < accepts_a_pass && open_; ++i) {
        // Each pass of the loop costs as much as there are connections: the silent have a part of them.
        const bool crowded = floor_.taking_in() > floor_.launch.max_descriptors / 4;
        bool at_door = false;
        if ((crowded || floor_.down_to(TunnelRegistry::fewest_left)) && !book_.make_room() &&
            floor_.down_to(TunnelRegistry::fewest_left))
            at_door = true;
        if (at_door && floor_.at_door >= most_at_door) return rest(), false;
        // Of what two processes are granted together the system knows nothing.
        if (floor_.elsewhere > 0 && floor_.down_to(TunnelRegistry::outside_loop)) return rest(), false;
        net::Fd fd = listener_.accept();
        if (!fd.open()) {
            const int error = errno;
            if (error == EAGAIN || error == EWOULDBLOCK) return true;
            if (net::is_per_call_accept_error(error)) continue;
            if (!net::is_resource_exhausted(error)) return rest(), false;
            if (book_.make_room()) continue;
            if (!floor_.give_up_spare()) return rest(), false;
            fd = listener_.accept();
            if (!fd.open()) return floor_.keep_spares(), rest(), false;
            at_door = true;
        }
        const TunnelId id = floor_.open(std::move(fd), at_door);
        floor_.go(id, TunnelState::taking_in);
        floor_.set_due(id, *floor_.find(id),
                       floor_.loop.now() + (at_door ? longest_silence_at_door : longest_silence));
        tunnel_ready(id, Side::client,
                     POLLIN);  // mostly its line is here already: then it never counts as silent
    }
    return !open_;
}

// Guards against an exit in the instant in which a client's line is in its socket, or in the listener's
// queue.
attempt_policy::Debts Acceptor::debts() {
    attempt_policy::Debts debts;
    debts.listener_empty = accept_waiting();
    debts.tunnels = floor_.admitted + floor_.departing;
    debts.speaking_clients = any_speaks();
    return debts;
}

bool Acceptor::any_speaks() const {
    for (std::uint32_t at = 0; at < floor_.tunnels.places(); ++at) {
        if (!floor_.tunnels.used(at) || floor_.tunnels[at].state != TunnelState::taking_in) continue;
        const Tunnel& t = floor_.tunnels[at];
        std::array<char, 1> next{};
        if ((t.opening.held() && !t.opening.empty()) || t.client.peek(next).bytes > 0) return true;
    }
    return false;
}

// Guards against spinning on a client that cannot be accepted: it waits in the listener's queue for a moment.
void Acceptor::rest() {
    if (resting_) return;
    resting_ = true;
    if (floor_.loop.now() - rested_at_ > 50 * rest_for)
        floor_.log.error() << "no descriptor for another client, " << floor_.loop.descriptors() << " in use";
    rested_at_ = floor_.loop.now();
    wait();
    floor_.loop.schedule(floor_.loop.now() + rest_for, *this, 0);
}

void Acceptor::on_timer(std::uint64_t) {
    resting_ = false;
    wait();
}

void Acceptor::tunnel_ready(TunnelId id, Side, short) {
    Tunnel& t = *floor_.find(id);
    if (!t.down.waiting.empty() && !say(t, {})) return book_.drop(id);
    if (!t.down.waiting.empty()) return;  // it has yet to take a PONG
    if (!t.opening.held()) t.opening = floor_.pool.take();
    const auto [at, room] = t.opening.room();
    const auto got = t.client.read({at, room});
    if (got.error != 0 || got.ended) return book_.drop(id);
    t.opening.added(got.bytes);
    if (got.bytes > 0) t.heard_at = floor_.loop.now();
    for (;;) {
        const auto text = t.opening.view();
        const auto end = text.find('\n');
        if (end == std::string_view::npos) break;
        if (!line(id, net::first_line(text))) return;
        t.opening.take(end + 1);
        if (!t.down.waiting.empty()) return;  // what came behind it is read when the PONG is out
    }
    if (t.opening.view().size() > longest_line) return book_.turn_away(id);
    if (t.opening.empty()) t.opening.give_back();
}

// What has come since the last pass still counts; who has said nothing whole by now is sent away with an
// answer that is true for whatever is on its way.
void Acceptor::tunnel_due(TunnelId id) {
    if (floor_.loop.now() < floor_.find(id)->due) return;
    tunnel_ready(id, Side::client, POLLIN);
    const Tunnel* t = floor_.find(id);
    if (t != nullptr && t->state == TunnelState::taking_in) book_.send_away(id);
}

// False once the tunnel is in other hands.
bool Acceptor::line(TunnelId id, std::string_view text) {
    Tunnel& t = *floor_.find(id);
    if (text == "PING") {
        const std::string_view pong = floor_.ready ? "PONG\r\n" : "BUSY\r\n";
        if (++t.pings > most_pings) return book_.turn_away(id), false;
        if (!say(t, pong)) return book_.drop(id), false;
        // Who asks and stays has what it came for: by thousands they would make each pass of the loop dear.
        const Ticks until = floor_.loop.now() + silence_after_pong;
        if (until < t.due) floor_.set_due(id, t, until);
        return true;
    }
    TunnelRequest arrival;
    std::string_view holder;
    const bool good = text.size() <= longest_line && read_opening(text, floor_.launch.traffic_class_names,
                                                                  floor_.loop.now(), arrival, holder);
    if (!good || begins_command(t.opening.view().substr(t.opening.view().find('\n') + 1)) ||
        !take_name(t, opening_id(text), arrival.mid_flow)) {
        floor_.log.debug() << "a client's first line cannot be taken";
        return book_.turn_away(id), false;
    }
    floor_.log.debug() << "tunnel " << static_cast<std::uint32_t>(id) << " taken: " << text;
    if (has_left(t)) return book_.drop(id), false;
    t.profile = arrival.traffic_class;
    t.classed = true;
    if (t.at_door && !floor_.comes_in(t)) {
        ++floor_.tally.taken, ++floor_.tally.busy;
        return book_.decline(id, 0), false;
    }
    if (!holder.empty())
        arrival.deadline = std::max(arrival.deadline, floor_.loop.now() + longest_standing_wait);
    admit_.admit(id, arrival, holder);
    return false;
}

// Guards against work for a client that left while its line waited to be read, as in the queue of a process
// that was stopped or is new. An end behind further bytes is heard of in the next pass, before any host is
// sent the line.
bool Acceptor::has_left(const Tunnel& t) {
    std::array<char, 1> next{};
    const auto there = t.client.peek(next);
    return there.ended || there.error != 0;
}

// What the system does not take at once waits, and nothing is read until it is out. False where the client is
// gone.
bool Acceptor::say(Tunnel& t, std::string_view text) {
    net::Buffer& waiting = t.down.waiting;
    if (!waiting.held()) waiting = floor_.pool.take();
    waiting.append(text);
    const auto sent = t.client.write(waiting.view());
    if (sent.error != 0) return false;
    waiting.take(sent.bytes);
    t.client.set_events(waiting.empty() ? POLLIN : POLLOUT);
    if (waiting.empty()) waiting.give_back();
    return true;
}

// Guards against a client that gives the id of another's tunnel that is open or was lately: its host would
// take both for one. Only packets that come back mid-flow go on under an id known here; and a tunnel whose
// client is gone, which this pass has yet to hear, is no longer open.
bool Acceptor::take_name(Tunnel& t, std::string_view id, bool mid_flow) {
    t.name = hash_text(id) | 1;
    const std::uint32_t at = floor_.names.find(t.name);
    if (at == IdIndex::none) return true;
    if (!mid_flow || at == TunnelRegistry::spent) return mid_flow;
    return has_left(floor_.tunnels[at]);
}

}  // namespace lemonstair::tunnel
