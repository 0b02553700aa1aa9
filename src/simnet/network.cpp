#include "simnet/network.h"

#include <poll.h>

#include <algorithm>
#include <cerrno>

namespace lemonstair::simnet {

namespace {

// As TCP does, a connection request without an answer is repeated 1, 3, 7, 15, 31 and 47 s after the first
// one, and then fails. Lost bytes are sent again after 0.2 s, then after a delay that doubles up to 2 s.
constexpr Ticks first_retry = 2000, longest_retry = 20000, connect_retry_delay = 10000;
constexpr int max_connect_attempts = 6;

}  // namespace

Machine Network::add_machine() {
    machines_.emplace_back();
    return static_cast<Machine>(machines_.size() - 1);
}

Address Network::address(Machine machine, std::uint16_t port) {
    Address result;
    result.socket_address.sin_family = AF_INET;
    result.socket_address.sin_addr.s_addr = htonl(0x0a4d0000U | machine);
    result.socket_address.sin_port = htons(port);
    return result;
}

Machine Network::machine_at(const Address& at) { return ntohl(at.socket_address.sin_addr.s_addr) & 0xffffU; }

Ticks Network::delay(Machine from, Machine to) {
    const double slow = std::max(machines_[from].slow, machines_[to].slow);
    const Ticks drawn = random_.between(conditions_.min_delay, conditions_.max_delay);
    return std::max<Ticks>(1, static_cast<Ticks>(static_cast<double>(drawn) * slow));
}

// ---- streams

void Network::listen(const Address& at, StreamListener& listener, std::size_t backlog) {
    listeners_[key(at)] = {&listener, backlog, {}};
}

// Resets the connections that were not accepted yet, as the kernel does.
void Network::unlisten(const Address& at) {
    const auto it = listeners_.find(key(at));
    if (it == listeners_.end()) return;
    const auto pending = std::move(it->second.pending);
    listeners_.erase(it);
    for (const End end : pending) reset(end);
}

std::size_t Network::pending_connections(const Address& at) const {
    const auto it = listeners_.find(key(at));
    return it == listeners_.end() ? 0 : it->second.pending.size();
}

std::optional<End> Network::accept(const Address& at) {
    const auto it = listeners_.find(key(at));
    if (it == listeners_.end() || it->second.pending.empty()) return std::nullopt;
    const End end = it->second.pending.front();
    it->second.pending.pop_front();
    return end;
}

void Network::hold(End end, StreamListener& holder) {
    Side& side = at(end);
    if (side.owner != nullptr) side.other_holders.push_back(side.owner);
    side.owner = &holder;
    if (side.open && !side.forgotten) holder.on_stream_event(end);
}

bool Network::release(End end, StreamListener& holder) {
    Side& side = at(end);
    if (side.other_holders.empty()) return false;
    if (side.owner == &holder) {
        side.owner = side.other_holders.back();
        side.other_holders.pop_back();
        notify_owner(end);
    } else {
        const auto it = std::find(side.other_holders.begin(), side.other_holders.end(), &holder);
        if (it != side.other_holders.end()) side.other_holders.erase(it);
    }
    return true;
}

End Network::connect(Machine from, const Address& to, StreamListener& owner) {
    const End end{static_cast<std::uint32_t>(streams_.size()), 0};
    streams_.emplace_back();
    Stream& stream = streams_.back();
    stream.to = to;
    stream.side[0].owner = &owner;
    stream.side[0].machine = from;
    stream.side[1].machine = machine_at(to);
    if (stream.side[1].machine >= machines_.size()) {
        stream.side[1].machine = from;
        later(events_.now() + 1, refused, end);
    } else {
        later(events_.now() + delay(from, stream.side[1].machine), connect_request, end);
    }
    return end;
}

void Network::on_connect_request(End end) {
    Stream& stream = streams_[end.stream];
    Side& from = stream.side[0];
    if (!from.open || from.phase != Phase::connecting) return;
    const Machine to = stream.side[1].machine;
    const auto retry_later = [&] {
        if (++stream.attempts > max_connect_attempts) return fail(end, ETIMEDOUT);
        later(events_.now() + (connect_retry_delay << std::min(stream.attempts - 1, 4)), connect_request,
              end);
    };
    if (!passes(from.machine, to)) return retry_later();
    const auto it = listeners_.find(key(stream.to));
    if (it == listeners_.end()) return later(events_.now() + delay(to, from.machine), refused, end);
    if (it->second.pending.size() >= it->second.backlog)
        return retry_later();  // the accept queue is full: the request is dropped
    Side& there = stream.side[1];
    there.phase = Phase::up;
    there.owner = it->second.listener;
    it->second.pending.push_back(end.other());
    trace_.note(events_.now() - events_.start_time(), "call", end.stream, to);
    later(events_.now() + delay(to, from.machine), connect_confirmed, end);
    it->second.listener->on_connection(stream.to);
}

void Network::fail(End end, int error) {
    Side& side = at(end);
    if (side.phase == Phase::failed || !side.open) return;
    side.phase = Phase::failed;
    side.error = error;
    trace_.note(events_.now() - events_.start_time(), "fail", end.number(),
                static_cast<std::uint64_t>(error));
    notify_owner(end);
}

void Network::notify_owner(End end) {
    const Side& side = at(end);
    if (side.open && !side.forgotten && side.owner != nullptr) side.owner->on_stream_event(end);
}

net::IoResult Network::peek(End end, std::span<char> into) const {
    const Side& side = at(end);
    const std::size_t n = std::min(into.size(), side.inbox.size() - side.head);
    std::copy_n(side.inbox.data() + side.head, n, into.data());
    if (n > 0) return {.bytes = n};
    if (side.phase == Phase::failed)
        return side.reset_reported ? net::IoResult{.ended = true} : net::IoResult{.error = side.error};
    return {.ended = side.end_received};
}

net::IoResult Network::read(End end, std::span<char> into, bool whole) {
    Side& side = at(end);
    const std::size_t available = std::min(into.size(), side.inbox.size() - side.head);
    if (available == 0) {
        if (side.phase == Phase::failed && !side.reset_reported) {
            side.reset_reported = true;
            return {.error = side.error};
        }
        return {.ended = side.end_received || side.phase == Phase::failed};
    }
    const std::size_t n = cut(conditions_.cut_reads, available, whole);
    std::copy_n(side.inbox.data() + side.head, n, into.data());
    side.head += n;
    if (side.head == side.inbox.size()) side.inbox.clear(), side.head = 0;
    Side& peer = at(end.other());
    peer.used -= n;
    // As with the kernel, a blocked writer is woken once a third of the window is free.
    if (peer.blocked && peer.used * 3 <= conditions_.window * 2) {
        peer.blocked = false;
        later(events_.now() + delay(side.machine, peer.machine), window_opened, end.other());
    }
    return {.bytes = n};
}

net::IoResult Network::write(End end, std::string_view text, bool whole) {
    Side& side = at(end);
    if (side.phase == Phase::connecting) return {};
    if (side.phase == Phase::failed)
        return {.error = side.reset_reported ? EPIPE : (side.reset_reported = true, side.error)};
    if (side.end_sent) return {.error = EPIPE};
    const std::size_t left = conditions_.window > side.used ? conditions_.window - side.used : 0;
    const std::size_t fits = std::min(left, text.size());
    if (fits < text.size()) side.blocked = true;
    if (fits == 0) return {};
    const std::size_t n = cut(conditions_.cut_writes, fits, whole);
    side.used += n;
    send_segment(end, text.substr(0, n), false);
    return {.bytes = n};
}

void Network::send_segment(End end, std::string_view bytes, bool ends) {
    Side& side = at(end);
    side.last_arrival =
        std::max(side.last_arrival, events_.now() + delay(side.machine, at(end.other()).machine));
    side.in_flight.push_back({side.last_arrival, events_.now(), std::string(bytes), ends});
    if (!side.delivery_scheduled) {
        side.delivery_scheduled = true;
        later(side.last_arrival, deliver, end);
    }
}

// Delivers the segments from this end that are due to the other end.
void Network::deliver_bytes(End end) {
    Side& side = at(end);
    side.delivery_scheduled = false;
    Side& there = at(end.other());
    bool arrived = false;
    while (!side.in_flight.empty() && side.in_flight.front().arrives_at <= events_.now()) {
        if (!passes(side.machine, there.machine)) {  // lost: sent again, after a longer delay each time
            side.retry = std::min(longest_retry, std::max(first_retry, 2 * side.retry));
            side.delivery_scheduled = true;
            return later(events_.now() + side.retry, deliver, end);
        }
        side.retry = 0;
        const Segment next = std::move(side.in_flight.front());
        side.in_flight.pop_front();
        trace_.note(events_.now() - events_.start_time(), next.end ? "end" : "bytes", end.number(),
                    next.bytes.size(), next.bytes);
        if (!there.open || there.forgotten) {
            if (next.end && next.bytes.empty() && !there.forgotten) continue;  // both have closed
            side.in_flight.clear();
            return send_reset(end.other());
        }
        if (there.phase == Phase::failed) continue;
        there.phase = Phase::up;  // bytes may overtake the confirmation of the connection
        there.inbox.append(next.bytes);
        there.last_sent_time = next.sent_at;
        if (next.end) there.end_received = true;
        if (next.delivery_target != nullptr)
            events_.schedule(events_.now(), *next.delivery_target, next.token);
        arrived = true;
    }
    if (!side.in_flight.empty()) {
        side.delivery_scheduled = true;
        later(std::max(side.in_flight.front().arrives_at, events_.now() + 1), deliver, end);
    }
    if (arrived) notify_owner(end.other());
}

// Sends a reset from the machine of this end to the other end. It overtakes segments in flight.
void Network::send_reset(End end) {
    later(events_.now() + delay(at(end).machine, at(end.other()).machine), reset_arrives, end);
}

void Network::deliver_reset(End end) {
    Side& side = at(end);
    Side& there = at(end.other());
    side.in_flight.clear();
    if (!passes(side.machine, there.machine) || there.phase == Phase::failed || !there.open) return;
    there.in_flight.clear();
    // Systems differ in whether bytes that arrived before the reset can still be read.
    if (random_.odds(0.5)) there.inbox.clear(), there.head = 0;
    fail(end.other(), ECONNRESET);
}

void Network::shutdown_write(End end) {
    Side& side = at(end);
    if (side.phase != Phase::up || side.end_sent) return;
    side.end_sent = true;
    send_segment(end, {}, true);
}

void Network::close(End end) {
    Side& side = at(end);
    if (!side.open) return;
    if (side.phase == Phase::up && side.head < side.inbox.size())
        return reset(end);  // as the kernel does if input is unread
    shutdown_write(end);
    side.open = false;
    side.inbox.clear(), side.head = 0;
    if (side.phase == Phase::connecting) side.phase = Phase::failed;
}

void Network::reset(End end) {
    Side& side = at(end);
    if (!side.open) return;
    side.open = false;
    side.inbox.clear(), side.head = 0;
    side.in_flight.clear();
    if (side.phase == Phase::up) send_reset(end);
    side.phase = Phase::failed;
}

int Network::connect_error(End end) {
    Side& side = at(end);
    if (side.phase != Phase::failed) return 0;
    side.reset_reported = true;
    return side.error;
}

short Network::poll_events(End end, short wanted) const {
    const Side& side = at(end);
    if (side.phase == Phase::connecting) return 0;
    int out = 0;
    if (side.phase == Phase::failed) {
        out = POLLHUP | (side.reset_reported ? 0 : POLLERR) | (wanted & (POLLIN | POLLOUT | POLLRDHUP));
        return static_cast<short>(out);
    }
    if (side.head < side.inbox.size() || side.end_received) out |= POLLIN;
    if (side.end_received) out |= POLLRDHUP;
    if (side.end_sent || side.used * 3 <= conditions_.window * 2) out |= POLLOUT;
    out &= wanted;
    if (side.end_received && side.end_sent) out |= POLLHUP;
    return static_cast<short>(out);
}

void Network::notify_delivered(End end, EventTarget& target, std::uint64_t token) {
    auto& in_flight = at(end).in_flight;
    if (in_flight.empty()) return events_.schedule(events_.now(), target, token);
    in_flight.back().delivery_target = &target;
    in_flight.back().token = token;
}

void Network::forget(Machine machine) {
    for (auto& stream : streams_)
        for (Side& side : stream.side)
            if (side.machine == machine && side.open) {
                side.forgotten = true;
                side.open = false;
                side.inbox.clear(), side.head = 0;
                side.in_flight.clear();
                side.owner = nullptr;
            }
    for (auto it = listeners_.begin(); it != listeners_.end();) {
        const bool here = (ntohl(static_cast<std::uint32_t>(it->first >> 16)) & 0xffffU) == machine;
        it = here ? listeners_.erase(it) : std::next(it);
    }
}

void Network::on_event(std::uint64_t token) {
    const auto kind = static_cast<Kind>(token >> 56);
    const End end{static_cast<std::uint32_t>((token & ~(std::uint64_t{255} << 56)) >> 1),
                  static_cast<std::uint8_t>(token & 1)};
    switch (kind) {
        case connect_request:
            return on_connect_request(end);
        case connect_confirmed: {
            Side& side = at(end);
            if (side.phase == Phase::up && side.open) return;
            if (side.phase == Phase::failed || !side.open) {  // the connecting end was closed or has failed
                if (at(end.other()).open && passes(side.machine, at(end.other()).machine)) send_reset(end);
                return;
            }
            if (!passes(at(end.other()).machine, side.machine))  // lost: sent again
                return later(events_.now() + connect_retry_delay, connect_confirmed, end);
            side.phase = Phase::up;
            return notify_owner(end);
        }
        case refused:
            if (passes(at(end.other()).machine, at(end).machine)) return fail(end, ECONNREFUSED);
            return later(events_.now() + connect_retry_delay, connect_request, end);
        case deliver:
            return deliver_bytes(end);
        case reset_arrives:
            return deliver_reset(end);
        case window_opened:
            return notify_owner(end);
        case datagram: {
            const auto index = static_cast<std::uint32_t>(token & 0xffffffffU);
            const Datagram received = std::move(datagrams_[index]);
            free_datagram_slots_.push_back(index);
            if (!passes(machine_at(received.from), machine_at(received.to)) ||
                !datagram_faults_.passes(machine_at(received.from), machine_at(received.to)))
                return;
            trace_.note(events_.now() - events_.start_time(), "datagram", machine_at(received.from),
                        machine_at(received.to),
                        {reinterpret_cast<const char*>(received.bytes.data()), received.bytes.size()});
            const auto it = bound_.find(key(received.to));
            if (it != bound_.end()) it->second->on_datagram(received.to, received.from, received.bytes);
            return;
        }
    }
}

}  // namespace lemonstair::simnet
