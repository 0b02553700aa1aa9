#include "admin/admin_server.h"

#include <poll.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <utility>

namespace lemonstair::admin {

namespace {

using net::Ticks;

// Who has not said its call, taken its answer or ended by then goes; looked after in such steps.
constexpr Ticks longest_call = 20000, longest_answer = 20000, longest_leaving = 5000, look_every = 2500;
constexpr Ticks moment_to_log = 100000, rest_for = 200, moment_to_speak = 200, moment_to_go_on = 50;
// Of who came before there was a crowd: the network may be slow for it.
constexpr Ticks moment_before_crowd = 600;
enum Timer : std::uint64_t { look_timer, rest_timer };
constexpr int accepts_a_pass = 64, reads_a_pass = 4;
constexpr std::uint64_t listener_token = ~std::uint64_t{0};

}  // namespace

void AdminServer::open(const net::Address& at, std::size_t callers) {
    callers_.resize(callers);
    net::Fd listener = loop_.system().listen_on(at);
    loop_.system().defer_accept(listener.get());
    listener_ =
        net::Socket(loop_, std::move(listener), POLLIN, *this, listener_token, net::EventPriority::first);
    loop_.set_aside(callers);
}

void AdminServer::on_ready(std::uint64_t token, short) {
    if (token == listener_token) return accept();
    Connection& caller = callers_[static_cast<std::uint32_t>(token)];
    switch (caller.state) {
        case State::away:
            return;
        case State::calling:
            return hear(caller);
        case State::told:
            return write(caller);
        case State::leaving:
            return discard(caller);
    }
}

// One function for all changes of a caller's state.
void AdminServer::go(Connection& caller, State to) {
    const bool was_here = caller.state != State::away, is_here = to != State::away;
    if (is_here != was_here) {
        here_ += is_here ? 1 : std::size_t{0} - 1;
        // What a caller holds is no longer held back for it.
        loop_.set_aside(callers_.size() - here_);
    }
    caller.state = to;
    caller.since = loop_.now();
    if (is_here) return;
    caller.socket.close();
    caller.request = {};
    caller.answer.clear();
}

void AdminServer::accept() {
    for (int i = 0; i < accepts_a_pass; ++i) {
        if (here_ == callers_.size() && !make_room()) return;
        net::Fd fd = listener_.accept();
        if (!fd.open()) return net::is_resource_exhausted(errno) ? rest(rest_for) : void();
        const auto place = std::find_if(callers_.begin(), callers_.end(),
                                        [](const Connection& c) { return c.state == State::away; });
        place->socket =
            net::Socket(loop_, std::move(fd), POLLIN, *this,
                        static_cast<std::uint64_t>(place - callers_.begin()), net::EventPriority::first);
        place->before_crowd = 2 * here_ < callers_.size();
        go(*place, State::calling);
        if (!std::exchange(watched_, true)) loop_.schedule(loop_.now() + look_every, *this, look_timer);
        hear(*place);  // mostly its call is here already
    }
}

// Guards against spinning on a caller for whom the system has no descriptor.
void AdminServer::rest(Ticks span) {
    listener_.set_events(0);
    loop_.schedule(loop_.now() + span, *this, rest_timer);
}

// Guards against callers that come by thousands and say nothing, or half a call: who has been here longest
// goes; first who has had its answer, then who has said half a call, then who has said nothing, each after a
// moment in which the rest may be on its way: until then the next ones wait. Who takes its answer goes last.
bool AdminServer::make_room() {
    const auto rank = [](const Connection& c) {
        return c.state == State::leaving ? 0 : c.state == State::told ? 3 : c.request.untouched() ? 2 : 1;
    };
    const auto moment_of = [&](const Connection& c) -> Ticks {
        if (rank(c) >= 2) return c.before_crowd ? moment_before_crowd : moment_to_speak;
        return rank(c) == 1 ? moment_to_go_on : 0;
    };
    const auto gives_way = [&](const Connection& a, const Connection& b) {
        return rank(a) != rank(b) ? rank(a) < rank(b) : a.since + moment_of(a) < b.since + moment_of(b);
    };
    Connection& oldest = *std::min_element(callers_.begin(), callers_.end(), gives_way);
    const Ticks age = loop_.now() - oldest.since;
    const Ticks moment = moment_of(oldest);
    if (age < moment) return rest(moment - age), false;
    ++turned_away_;
    if (loop_.now() - logged_at_ > moment_to_log) {
        logged_at_ = loop_.now();
        log_.info() << "operators' desk is full, " << here_ << " callers: the one here longest gives way, "
                    << turned_away_ << " so far";
    }
    go(oldest, State::away);
    return true;
}

void AdminServer::hear(Connection& caller) {
    std::array<char, 4096> bytes;
    for (int i = 0; i < reads_a_pass; ++i) {
        const auto got = caller.socket.read(bytes);
        if (got.error != 0) return go(caller, State::away);
        caller.request.feed({bytes.data(), got.bytes});
        if (caller.request.whole() || caller.request.fault() != http::Fault::none)
            return tell(caller, answer(caller.request, node_));
        if (got.ended) return go(caller, State::away);
        if (got.bytes == 0) return;
    }
}

void AdminServer::tell(Connection& caller, std::string&& text) {
    caller.answer = std::move(text);
    go(caller, State::told);
    write(caller);
}

void AdminServer::write(Connection& caller) {
    const auto sent = caller.socket.write(caller.answer);
    if (sent.error != 0) return go(caller, State::away);
    caller.answer.erase(0, sent.bytes);
    if (!caller.answer.empty()) return caller.socket.set_events(POLLOUT);
    // Closing over unread input would make a reset, and that can overtake the answer.
    caller.socket.shutdown_write();
    caller.socket.set_events(POLLIN);
    go(caller, State::leaving);
}

void AdminServer::discard(Connection& caller) {
    const auto got = caller.socket.discard();
    if (got.ended || got.error != 0) go(caller, State::away);
}

void AdminServer::on_timer(std::uint64_t token) {
    if (token == rest_timer) {
        return listener_.set_events(POLLIN);
    }
    for (Connection& caller : callers_) {
        const Ticks age = loop_.now() - caller.since;
        if (caller.state == State::calling && age >= longest_call) {
            if (caller.request.untouched())
                go(caller, State::away);
            else
                tell(caller, answer_to_half());
        } else if ((caller.state == State::told && age >= longest_answer) ||
                   (caller.state == State::leaving && age >= longest_leaving)) {
            go(caller, State::away);
        }
    }
    watched_ = here_ > 0;
    if (watched_) loop_.schedule(loop_.now() + look_every, *this, look_timer);
}

}  // namespace lemonstair::admin
