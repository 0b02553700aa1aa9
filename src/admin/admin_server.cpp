#include "admin/admin_server.h"

#include <poll.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <utility>

namespace lemonstair::admin {

namespace {

using net::Ticks;

// Tenths of a ms. A connection that stays in a state for longer than its timeout is closed, at most one
// `expiry_interval` late.
constexpr Ticks reading_timeout = 20000, writing_timeout = 20000, closing_timeout = 5000;
constexpr Ticks expiry_interval = 2500;
constexpr Ticks eviction_log_interval = 100000, accept_pause = 200;
// Periods in which a connection is not evicted, since the rest of its request may be on its way: before the
// first byte of the request; after a part of it; and before the first byte on a connection that was accepted
// while more than half of the slots were free, whose client may only have a slow network.
constexpr Ticks grace_before_request = 200, grace_within_request = 50, grace_if_early = 600;
enum Timer : std::uint64_t { expiry_timer, accept_timer };
constexpr int accepts_per_pass = 64, reads_per_pass = 4;
constexpr std::uint64_t listener_token = ~std::uint64_t{0};

}  // namespace

void AdminServer::open(const net::Address& address, std::size_t max_connections) {
    connections_.resize(max_connections);
    net::Fd listener = loop_.system().listen_on(address);
    loop_.system().defer_accept(listener.get());
    listener_ =
        net::Socket(loop_, std::move(listener), POLLIN, *this, listener_token, net::EventPriority::first);
    loop_.reserve_descriptors(max_connections);
}

void AdminServer::on_ready(std::uint64_t token, short) {
    if (token == listener_token) return accept();
    Connection& connection = connections_[static_cast<std::uint32_t>(token)];
    switch (connection.state) {
        case State::unused:
            return;
        case State::reading:
            return read(connection);
        case State::writing:
            return write(connection);
        case State::closing:
            return discard(connection);
    }
}

// Changes the connection's state; no other function does.
void AdminServer::transition_to(Connection& connection, State state) {
    const bool was_open = connection.state != State::unused, is_open = state != State::unused;
    if (is_open != was_open) {
        open_connections_ += is_open ? 1 : std::size_t{0} - 1;
        // The descriptor that an open connection holds needs no reservation.
        loop_.reserve_descriptors(connections_.size() - open_connections_);
    }
    connection.state = state;
    connection.state_since = loop_.now();
    if (is_open) return;
    connection.socket.close();
    connection.request = {};
    connection.response.clear();
}

void AdminServer::accept() {
    for (int i = 0; i < accepts_per_pass; ++i) {
        if (open_connections_ == connections_.size() && !evict_one()) return;
        net::Fd fd = listener_.accept();
        if (!fd.open()) return net::is_resource_exhausted(errno) ? pause_accepting(accept_pause) : void();
        const auto slot =
            std::find_if(connections_.begin(), connections_.end(),
                         [](const Connection& connection) { return connection.state == State::unused; });
        slot->socket =
            net::Socket(loop_, std::move(fd), POLLIN, *this,
                        static_cast<std::uint64_t>(slot - connections_.begin()), net::EventPriority::first);
        slot->is_early = 2 * open_connections_ < connections_.size();
        transition_to(*slot, State::reading);
        if (!std::exchange(expiry_timer_set_, true))
            loop_.schedule(loop_.now() + expiry_interval, *this, expiry_timer);
        read(*slot);  // the request has usually arrived already
    }
}

// To poll for a pending connection that cannot be accepted yet would make the loop spin.
void AdminServer::pause_accepting(Ticks duration) {
    listener_.set_events(0);
    loop_.schedule(loop_.now() + duration, *this, accept_timer);
}

// Closes a connection when all slots are taken, so that thousands of connections without a complete request
// do not lock operators out. In order of preference: connections whose response is written, those with a part
// of a request, those without any part of one, and those that are still receiving a response. Among equals
// the one goes first whose grace period ends earliest. False where the grace period of the connection that
// would go first has not ended; accepting then pauses until it has.
bool AdminServer::evict_one() {
    const auto rank = [](const Connection& connection) {
        if (connection.state == State::closing) return 0;
        if (connection.state == State::writing) return 3;
        return connection.request.is_empty() ? 2 : 1;
    };
    const auto grace_period = [&](const Connection& connection) -> Ticks {
        if (rank(connection) >= 2) return connection.is_early ? grace_if_early : grace_before_request;
        return rank(connection) == 1 ? grace_within_request : 0;
    };
    const auto is_evicted_before = [&](const Connection& a, const Connection& b) {
        if (rank(a) != rank(b)) return rank(a) < rank(b);
        return a.state_since + grace_period(a) < b.state_since + grace_period(b);
    };
    Connection& candidate = *std::min_element(connections_.begin(), connections_.end(), is_evicted_before);
    const Ticks age = loop_.now() - candidate.state_since;
    const Ticks grace = grace_period(candidate);
    if (age < grace) {
        pause_accepting(grace - age);
        return false;
    }
    ++evicted_;
    if (loop_.now() - eviction_logged_at_ > eviction_log_interval) {
        eviction_logged_at_ = loop_.now();
        log_.info() << "admin server: all " << open_connections_
                    << " connections in use, one evicted for a new one, " << evicted_ << " evicted so far";
    }
    transition_to(candidate, State::unused);
    return true;
}

void AdminServer::read(Connection& connection) {
    std::array<char, 4096> bytes;
    for (int i = 0; i < reads_per_pass; ++i) {
        const auto result = connection.socket.read(bytes);
        if (result.error != 0) return transition_to(connection, State::unused);
        connection.request.feed({bytes.data(), result.bytes});
        if (connection.request.is_complete() || connection.request.error() != http::RequestError::none)
            return send_response(connection, respond(connection.request, handler_));
        if (result.ended) return transition_to(connection, State::unused);
        if (result.bytes == 0) return;
    }
}

void AdminServer::send_response(Connection& connection, std::string&& response) {
    connection.response = std::move(response);
    transition_to(connection, State::writing);
    write(connection);
}

void AdminServer::write(Connection& connection) {
    const auto result = connection.socket.write(connection.response);
    if (result.error != 0) return transition_to(connection, State::unused);
    connection.response.erase(0, result.bytes);
    if (!connection.response.empty()) return connection.socket.set_events(POLLOUT);
    // Closing a socket with unread input sends a reset, which can reach the client before the response.
    connection.socket.shutdown_write();
    connection.socket.set_events(POLLIN);
    transition_to(connection, State::closing);
}

void AdminServer::discard(Connection& connection) {
    const auto result = connection.socket.discard();
    if (result.ended || result.error != 0) transition_to(connection, State::unused);
}

void AdminServer::on_timer(std::uint64_t token) {
    if (token == accept_timer) return listener_.set_events(POLLIN);
    close_expired();
    expiry_timer_set_ = open_connections_ > 0;
    if (expiry_timer_set_) loop_.schedule(loop_.now() + expiry_interval, *this, expiry_timer);
}

void AdminServer::close_expired() {
    for (Connection& connection : connections_) {
        const Ticks age = loop_.now() - connection.state_since;
        if (connection.state == State::reading && age >= reading_timeout) {
            if (connection.request.is_empty())
                transition_to(connection, State::unused);
            else
                send_response(connection, request_timeout_response());
        } else if ((connection.state == State::writing && age >= writing_timeout) ||
                   (connection.state == State::closing && age >= closing_timeout)) {
            transition_to(connection, State::unused);
        }
    }
}

}  // namespace lemonstair::admin
