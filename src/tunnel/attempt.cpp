#include "tunnel/attempt.h"

#include <poll.h>

#include <algorithm>
#include <array>
#include <cerrno>

#include "balance/attempt_policy.h"
#include "net/lines.h"
#include "net/transfer.h"
#include "tunnel/request_line.h"

namespace lemonstair::tunnel {

namespace {

// Between two tries for a tunnel that is open at its host.
constexpr Ticks standing_pause = 3000;
// With so few the next may be past the limit: some are not in the loop.
constexpr std::size_t descriptors_left = 6;

bool begins(std::string_view line, std::string_view word) {
    return line.substr(0, word.size()) == word && (line.size() == word.size() || line[word.size()] == ' ');
}

}  // namespace

void AttemptRunner::start(TunnelId id, std::uint32_t place, Ticks longest_wait) {
    Tunnel& t = *floor_.find(id);
    if (t.host.open()) floor_.violated(metrics::Invariant::concurrent_attempts, id, name_of(t.state));
    t.place = place;
    ++t.setups;
    t.setup_from = floor_.loop.now();
    if (floor_.client_is_gone(t)) return book_.client_left(id);
    t.setup_until = longest_wait > 0 ? std::min(t.give_up_at, t.setup_from + longest_wait) : t.give_up_at;
    connect(id);
}

void AttemptRunner::resume_standing(TunnelId id) {
    Tunnel& t = *floor_.find(id);
    TunnelRequest arrival;
    std::string_view holder;
    read_opening(net::first_line(t.opening.view()), floor_.launch.traffic_class_names, floor_.loop.now(),
                 arrival, holder);
    t.standing = true;
    t.place = floor_.hosts.index_of(holder);
    // What this node remembers may be older than the tunnel: discovery will name the host.
    if (t.place == discovery::EndpointDirectory::none)
        return floor_.set_due(id, t, floor_.loop.now() + standing_pause);
    t.setups = 1;
    t.setup_from = floor_.loop.now();
    t.setup_until = t.give_up_at;
    connect(id);
}

void AttemptRunner::connect(TunnelId id) {
    Tunnel& t = *floor_.find(id);
    ++floor_.costs.setups;
    floor_.log.debug() << "tunnel " << static_cast<std::uint32_t>(id) << " setup " << t.setups << " at ep "
                       << floor_.hosts[t.place].ep;
    floor_.go(id, TunnelState::connecting);
    if (floor_.down_to(descriptors_left) && !book_.make_room()) return failed(id, Outcome::not_sent);
    net::Fd fd = floor_.loop.system().connect_to(floor_.hosts[t.place].address);
    const int error = errno;
    if (!fd.open()) {
        // Without a descriptor or a port of its own the node has nothing to hold against the host.
        return failed(id, net::is_local_failure(error) ? Outcome::not_sent : Outcome::unreachable);
    }
    t.host = floor_.socket(id, Side::host, std::move(fd), POLLOUT);
    floor_.set_due(id, t, std::min(t.setup_until, floor_.loop.now() + floor_.launch.connect_timeout));
}

void AttemptRunner::tunnel_ready(TunnelId id, Side side, short events) {
    Tunnel& t = *floor_.find(id);
    if (side == Side::client) {
        if ((events & (POLLRDHUP | POLLHUP | POLLERR)) != 0) return book_.client_left(id);
        if (sends_command(t)) return book_.turn_away(id);
        t.client.set_events(POLLRDHUP);  // what it says is for its host
        return;
    }
    if (t.state == TunnelState::connecting) {
        if (const int error = t.host.connected(); error != 0)
            return failed(id, net::is_local_failure(error) ? Outcome::not_sent : Outcome::unreachable);
        if (!may_write(id)) return;
        floor_.go(id, TunnelState::sending_line);
        // For the host: how long this node will still wait.
        t.up.waiting = floor_.pool.take();
        if (!write_opening(net::first_line(t.opening.view()), t.setup_until - floor_.loop.now(),
                           t.up.waiting))
            return failed(id, Outcome::not_sent);
    }
    if (t.state == TunnelState::sending_line) return write_line(id);
    if (t.state == TunnelState::awaiting_answer) return read_answer(id);
}

// Asked in the instant before the first byte, by the clock of just now: the connection may have taken long to
// come up, or the process been held up. False where the attempt is withdrawn, or its client has left.
bool AttemptRunner::may_write(TunnelId id) {
    const Tunnel& t = *floor_.find(id);
    if (floor_.client_is_gone(t)) return book_.client_left(id), false;
    if (!t.known) return true;
    floor_.balancer->set_time(floor_.loop.refresh());
    const Reason reason = floor_.balancer->may_write(id, attempt_policy::longest_hold_up);
    if (reason == Reason::allowed) return true;
    floor_.costs.count_reason(reason);
    floor_.log.debug() << "tunnel " << static_cast<std::uint32_t>(id) << " setup " << t.setups
                       << " is withdrawn: " << name_of(reason);
    failed(id, Outcome::withdrawn);
    return false;
}

// Until its last byte is with the system the line cannot have run; from then on it may have.
void AttemptRunner::write_line(TunnelId id) {
    Tunnel& t = *floor_.find(id);
    const auto sent = t.host.write(t.up.waiting.view());
    if (sent.error != 0) return failed(id, Outcome::unreachable);
    if (sent.bytes > 0) check_written(id);
    t.up.waiting.take(sent.bytes);
    if (!t.up.waiting.empty()) return;
    t.up.waiting.give_back();
    t.host.set_events(POLLIN);
    ++floor_.outcomes.by_traffic_class[t.profile].setups_written;
    floor_.go(id, TunnelState::awaiting_answer);
    floor_.set_due(id, t, t.setup_until);
}

// By the clock of just now: the process may have been held up since this pass began.
void AttemptRunner::check_written(TunnelId id) {
    const Tunnel& t = *floor_.find(id);
    if (!t.known) return;
    floor_.balancer->set_time(floor_.loop.refresh());
    const Reason reason = floor_.balancer->may_write(id, 0);
    if (reason != Reason::allowed && reason != Reason::no_time_left)
        floor_.violated(metrics::Invariant::attempt_forbidden, id, name_of(reason));
}

void AttemptRunner::read_answer(TunnelId id) {
    Tunnel& t = *floor_.find(id);
    if (!t.down.waiting.held()) t.down.waiting = floor_.pool.take();
    const auto [at, room] = t.down.waiting.room();
    const auto got = t.host.read({at, room});
    if (got.error != 0 || got.ended) return failed(id, Outcome::connection_lost);
    t.down.waiting.added(got.bytes);
    const auto text = t.down.waiting.view();
    if (text.find('\n') != std::string_view::npos) return answered(id, net::first_line(text));
    if (got.bytes == room) failed(id, Outcome::error);  // a line without end
}

// Guards against a client that sends commands without waiting for answers: none of them is passed on.
bool AttemptRunner::sends_command(const Tunnel& t) const {
    std::array<char, 8> next{};
    return begins_command({next.data(), t.client.peek(next).bytes});
}

void AttemptRunner::answered(TunnelId id, std::string_view line) {
    if (sends_command(*floor_.find(id))) return book_.turn_away(id);
    if (begins(line, "UP") || begins(line, "BYE")) return opened(id);
    if (begins(line, "BUSY")) return failed(id, Outcome::overloaded);
    if (begins(line, "MOVE")) return failed(id, Outcome::cancelled);
    if (!begins(line, "ERR"))
        floor_.log.error() << "host answered a setup with '" << line.substr(0, 40) << "'";
    failed(id, Outcome::error);
}

void AttemptRunner::opened(TunnelId id) {
    Tunnel& t = *floor_.find(id);
    const std::uint32_t ep = floor_.hosts[t.place].ep;
    ++floor_.tally.opened;
    floor_.costs.count_attempt(Outcome::ok);
    if (begins(net::first_line(t.down.waiting.view()), "BYE"))
        t.ending = Outcome::ok;  // served to its end already
    if (t.standing) {
        TunnelRequest arrival;
        std::string_view holder;
        read_opening(net::first_line(t.opening.view()), floor_.launch.traffic_class_names, floor_.loop.now(),
                     arrival, holder);
        t.known = true;
        floor_.mind().adopt_open_tunnel(id, arrival, ep);
    } else {
        floor_.mind().on_opened(id, t.setups - 1, ep, floor_.loop.now() - t.setup_from);
    }
    // The line itself stays behind: only what the client sent after it goes on to the host.
    t.opening.take(t.opening.view().find('\n') + 1);
    relay_.begin(id);
}

// The setup's connection is closed at once: nothing more of it may reach the client.
void AttemptRunner::failed(TunnelId id, Outcome ending) {
    Tunnel& t = *floor_.find(id);
    floor_.costs.count_attempt(ending);
    floor_.log.debug() << "tunnel " << static_cast<std::uint32_t>(id) << " setup " << t.setups
                       << " failed, ending " << static_cast<int>(ending);
    t.host.close();
    t.up.waiting.give_back();
    t.down.waiting.give_back();
    floor_.go(id, TunnelState::deciding);
    if (t.standing) return floor_.set_due(id, t, std::min(t.give_up_at, floor_.loop.now() + standing_pause));
    t.due = 0;
    floor_.mind().on_ended(id, t.setups - 1, floor_.hosts[t.place].ep, ending,
                           floor_.loop.now() - t.setup_from, false);
}

// Guards against a process that is killed, when its time to leave is up, with a setup still out.
void AttemptRunner::answer_by(Ticks when) {
    floor_.answer_by = when;
    floor_.mind().set_answer_deadline(when);
    for (std::uint32_t at = 0; at < floor_.tunnels.places(); ++at) {
        if (!floor_.tunnels.used(at)) continue;
        Tunnel& t = floor_.tunnels[at];
        const bool waits = t.state == TunnelState::deciding || t.state == TunnelState::connecting ||
                           t.state == TunnelState::sending_line || t.state == TunnelState::awaiting_answer;
        if (!waits || t.give_up_at <= when) continue;
        t.give_up_at = when;
        t.setup_until = std::min(t.setup_until, when);
        if (t.due > when) floor_.set_due(floor_.id_of(at), t, when);
    }
}

void AttemptRunner::tunnel_due(TunnelId id) {
    Tunnel& t = *floor_.find(id);
    if (floor_.loop.now() < t.due) return;
    if (t.state == TunnelState::deciding) {
        if (!t.standing || t.due == 0) return;
        if (floor_.loop.now() < t.give_up_at) return resume_standing(id);
        floor_.log.error() << "a tunnel that stood before the start was not taken by its host";
        return book_.close_with_error(id);
    }
    if (t.state == TunnelState::awaiting_answer) return failed(id, Outcome::timed_out);
    // Guards against blame for an endpoint that had no time to answer, since its client had next to none.
    const Ticks fair = std::min(
        floor_.launch.connect_timeout,
        attempt_policy::fair_wait(floor_.launch.balancer.traffic_classes[t.profile].latency_objective));
    const bool had_time = floor_.loop.now() - t.setup_from >= fair;
    failed(id, had_time ? Outcome::unreachable : Outcome::withdrawn);
}

}  // namespace lemonstair::tunnel
