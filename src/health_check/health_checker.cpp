#include "health_check/health_checker.h"

#include <poll.h>

#include <cerrno>
#include <charconv>
#include <cmath>
#include <utility>

#include "config/settings.h"
#include "net/lines.h"
#include "net/transfer.h"

namespace lemonstair::health_check {

namespace {

constexpr Ticks idle_for = 200000;  // a host holds only so many connections: an unused one is closed
constexpr int answer_timeouts = 2;  // in times of the time that a connection may take to come up

}  // namespace

bool read_pong(std::string_view line, LoadReport& report) {
    constexpr std::string_view word = "PONG";
    if (line.substr(0, word.size()) != word) return false;
    line.remove_prefix(word.size());
    if (line.empty()) return true;
    if (line.front() != ' ') return false;
    line.remove_prefix(1);
    while (!line.empty()) {
        const auto end = std::min(line.find(','), line.size());
        const auto pair = line.substr(0, end);
        line.remove_prefix(std::min(end + 1, line.size()));
        const auto equals = pair.find('=');
        if (equals == std::string_view::npos) continue;
        double* at = config::figure(report, pair.substr(0, equals));
        const char* stop = pair.data() + pair.size();
        double value = 0;
        const auto read = std::from_chars(pair.data() + equals + 1, stop, value);
        if (at != nullptr && read.ec == std::errc{} && read.ptr == stop && std::isfinite(value)) *at = value;
    }
    return true;
}

void HealthChecker::probe(std::uint32_t ep) {
    const std::uint32_t place = hosts_.place_of(ep);
    if (place == discovery::EndpointDirectory::none) return;
    if (lines_.size() <= place) lines_.resize(hosts_.size());
    Line& l = lines_[place];
    if (l.state != State::closed && l.state != State::idle) return;
    l.asked_at = loop_.now();
    l.used_before = l.state == State::idle;
    if (l.state == State::idle) return ask(place);
    if (line_left()) return connect(place);
    l.state = State::waiting;
    waiting_.push_back(place);
}

// Guards against more hosts than the node has descriptors for: the line that was used longest ago gives way.
bool HealthChecker::line_left() {
    if (open_ < most_lines(lines_.size(), launch_.sockets)) return true;
    std::uint32_t oldest = discovery::EndpointDirectory::none;
    for (std::uint32_t at = 0; at < lines_.size(); ++at)
        if (lines_[at].state == State::idle &&
            (oldest == discovery::EndpointDirectory::none || lines_[at].due < lines_[oldest].due))
            oldest = at;
    if (oldest == discovery::EndpointDirectory::none) return false;
    close(oldest);
    return true;
}

void HealthChecker::next_waiting() {
    while (!waiting_.empty() && line_left()) {
        const std::uint32_t place = waiting_.front();
        waiting_.pop_front();
        lines_[place].asked_at = loop_.now();
        connect(place);
    }
}

void HealthChecker::stop() {
    for (std::uint32_t place = 0; place < lines_.size(); ++place)
        if (lines_[place].state == State::idle) close(place);
    for (const std::uint32_t place : std::exchange(waiting_, {})) {
        lines_[place].state = State::closed;
        found(place, Outcome::not_sent, {});
    }
}

void HealthChecker::set_due(std::uint32_t place, Ticks when) {
    lines_[place].due = when;
    if (!std::exchange(lines_[place].timed, true)) look_by(place);
}

// One timer a connection, that looks again by the time in which the shortest wait may be over: one for each
// probe would lie in the loop until the line would be closed for want of use.
void HealthChecker::look_by(std::uint32_t place) {
    const Ticks longest = launch_.connect_timeout;
    loop_.schedule(std::min(lines_[place].due, loop_.now() + longest), *this, token_of(place));
}

void HealthChecker::connect(std::uint32_t place) {
    Line& l = lines_[place];
    net::Fd fd = loop_.system().connect_to(hosts_[place].at);
    if (!fd.open()) {
        l.state = State::closed;
        const int error = errno;
        return found(place, net::is_local_failure(error) ? Outcome::not_sent : Outcome::unreachable, {});
    }
    l.socket = net::Socket(loop_, std::move(fd), POLLOUT, *this, token_of(place));
    ++open_;
    ++costs_.health_check_connections;
    l.state = State::connecting;
    set_due(place, loop_.now() + launch_.connect_timeout);
}

void HealthChecker::ask(std::uint32_t place) {
    Line& l = lines_[place];
    const std::string_view question = launch_.reports ? "STATS\r\n" : "PING\r\n";
    ++costs_.health_checks;
    l.state = State::asking;
    l.said = 0;
    l.question = question;
    if (!say(place)) return;
    set_due(place, loop_.now() + answer_timeouts * launch_.connect_timeout);
}

// False where the line is lost. What the system does not take at once goes out later.
bool HealthChecker::say(std::uint32_t place) {
    Line& l = lines_[place];
    const auto sent = l.socket.write(l.question.substr(l.said));
    if (sent.error != 0) return lost(place, Outcome::unreachable), false;
    l.said += sent.bytes;
    l.socket.set_events(l.said < l.question.size() ? POLLOUT : POLLIN);
    return true;
}

void HealthChecker::close(std::uint32_t place) {
    Line& l = lines_[place];
    if (l.socket.open()) --open_;
    l.socket.close();
    l.answer.give_back();
    ++l.serial;
    l.timed = false;
    l.state = State::closed;
}

void HealthChecker::on_ready(std::uint64_t token, short) {
    const auto place = static_cast<std::uint32_t>(token);
    if (place >= lines_.size() || token_of(place) != token) return;
    Line& l = lines_[place];
    if (l.state == State::connecting) {
        if (const int error = l.socket.connected(); error != 0)
            return lost(place, net::is_local_failure(error) ? Outcome::not_sent : Outcome::unreachable);
        return ask(place);
    }
    if (l.state == State::idle) return close(place);  // its host ends it, or says what nobody asked
    if (l.said < l.question.size()) {
        say(place);
        return;
    }
    read(place);
}

void HealthChecker::read(std::uint32_t place) {
    Line& l = lines_[place];
    if (!l.answer.held()) l.answer = pool_.take();
    const auto [at, room] = l.answer.room();
    const auto got = l.socket.read({at, room});
    if (got.error != 0 || got.ended) return lost(place, Outcome::connection_lost);
    l.answer.added(got.bytes);
    const auto text = l.answer.view();
    if (text.find('\n') == std::string_view::npos) {
        if (got.bytes == room) lost(place, Outcome::error);
        return;
    }
    LoadReport report;
    const bool good = read_pong(net::first_line(text), report);
    l.answer.give_back();
    l.state = State::idle;
    set_due(place, loop_.now() + idle_for);
    found(place, good ? Outcome::ok : Outcome::error, report);
}

void HealthChecker::lost(std::uint32_t place, Outcome ending) {
    const bool stale = lines_[place].used_before && ending != Outcome::timed_out && ending != Outcome::error;
    close(place);
    // A kept connection may have died unseen since its last use; only a new one tells of the host.
    if (stale) {
        lines_[place].used_before = false;
        return connect(place);
    }
    found(place, ending, {});
}

void HealthChecker::on_timer(std::uint64_t token) {
    const auto place = static_cast<std::uint32_t>(token);
    if (place >= lines_.size() || token_of(place) != token) return;
    if (loop_.now() < lines_[place].due) return look_by(place);
    const State state = lines_[place].state;
    if (state == State::idle) return close(place);
    // A late answer would be taken for that of the next probe: the connection goes.
    lines_[place].used_before = false;
    lost(place, state == State::asking ? Outcome::timed_out : Outcome::unreachable);
}

void HealthChecker::found(std::uint32_t place, Outcome ending, const LoadReport& report) {
    hearer_.on_health_check(hosts_[place].ep, ending, loop_.now() - lines_[place].asked_at, report);
    next_waiting();
}

}  // namespace lemonstair::health_check
