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

// Tenths of a ms. An endpoint holds only so many connections, so unused ones are closed.
constexpr Ticks idle_timeout = 200000;
constexpr int response_timeout_factor = 2;  // times the connect timeout

// The request lines; an endpoint answers either with PONG.
constexpr std::string_view ping_request = "PING\r\n", load_report_request = "STATS\r\n";

// A local failure says nothing about the endpoint.
Outcome outcome_of_connect(int error) {
    return net::is_local_failure(error) ? Outcome::not_sent : Outcome::unreachable;
}

}  // namespace

bool decode_pong(std::string_view line, LoadReport& report) {
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
        double* field = config::load_report_field(report, pair.substr(0, equals));
        const char* stop = pair.data() + pair.size();
        double value = 0;
        const auto read = std::from_chars(pair.data() + equals + 1, stop, value);
        const bool valid = read.ec == std::errc{} && read.ptr == stop && std::isfinite(value);
        if (field != nullptr && valid) *field = value;
    }
    return true;
}

void HealthChecker::check(std::uint32_t number) {
    const std::uint32_t index = endpoints_.index_of(number);
    if (index == discovery::EndpointDirectory::none) return;
    if (connections_.size() <= index) connections_.resize(endpoints_.size());
    Connection& connection = connections_[index];
    if (connection.state != State::closed && connection.state != State::idle) return;
    connection.started_at = loop_.now();
    connection.reused = connection.state == State::idle;
    if (connection.reused) return send_request(index);
    if (reserve_connection()) return connect(index);
    connection.state = State::waiting;
    waiting_.push_back(index);
}

// Where there are more endpoints than descriptors, the connection that has been idle longest is closed. False
// where none is idle.
bool HealthChecker::reserve_connection() {
    if (open_connections_ < max_connections(connections_.size(), config_.max_descriptors)) return true;
    std::uint32_t oldest = discovery::EndpointDirectory::none;
    for (std::uint32_t index = 0; index < connections_.size(); ++index) {
        if (connections_[index].state != State::idle) continue;
        if (oldest == discovery::EndpointDirectory::none ||
            connections_[index].deadline < connections_[oldest].deadline)
            oldest = index;
    }
    if (oldest == discovery::EndpointDirectory::none) return false;
    close(oldest);
    return true;
}

void HealthChecker::start_waiting() {
    while (!waiting_.empty() && reserve_connection()) {
        const std::uint32_t index = waiting_.front();
        waiting_.pop_front();
        connections_[index].started_at = loop_.now();
        connect(index);
    }
}

void HealthChecker::stop() {
    for (std::uint32_t index = 0; index < connections_.size(); ++index)
        if (connections_[index].state == State::idle) close(index);
    for (const std::uint32_t index : std::exchange(waiting_, {})) {
        connections_[index].state = State::closed;
        report(index, Outcome::not_sent, {});
    }
}

void HealthChecker::set_deadline(std::uint32_t index, Ticks deadline) {
    connections_[index].deadline = deadline;
    if (!std::exchange(connections_[index].timer_set, true)) schedule_timer(index);
}

// Timers cannot be cancelled, so there is one a connection. It fires again after the shortest wait that may
// come: a timer for each check would pile up in the loop until the idle timeout.
void HealthChecker::schedule_timer(std::uint32_t index) {
    const Ticks interval = config_.connect_timeout;
    loop_.schedule(std::min(connections_[index].deadline, loop_.now() + interval), *this, token_of(index));
}

void HealthChecker::connect(std::uint32_t index) {
    Connection& connection = connections_[index];
    net::Fd fd = loop_.system().connect_to(endpoints_[index].address);
    if (!fd.open()) {
        const int error = errno;
        connection.state = State::closed;
        return report(index, outcome_of_connect(error), {});
    }
    connection.socket = net::Socket(loop_, std::move(fd), POLLOUT, *this, token_of(index));
    ++open_connections_;
    ++counters_.health_check_connections;
    connection.state = State::connecting;
    set_deadline(index, loop_.now() + config_.connect_timeout);
}

void HealthChecker::send_request(std::uint32_t index) {
    Connection& connection = connections_[index];
    ++counters_.health_checks;
    connection.state = State::requesting;
    connection.sent_bytes = 0;
    connection.request = config_.load_reports_enabled ? load_report_request : ping_request;
    if (!send_rest(index)) return;
    set_deadline(index, loop_.now() + response_timeout_factor * config_.connect_timeout);
}

// False where the connection failed. What the system does not take at once is sent later.
bool HealthChecker::send_rest(std::uint32_t index) {
    Connection& connection = connections_[index];
    const auto sent = connection.socket.write(connection.request.substr(connection.sent_bytes));
    if (sent.error != 0) {
        fail(index, Outcome::unreachable);
        return false;
    }
    connection.sent_bytes += sent.bytes;
    connection.socket.set_events(connection.sent_bytes < connection.request.size() ? POLLOUT : POLLIN);
    return true;
}

void HealthChecker::close(std::uint32_t index) {
    Connection& connection = connections_[index];
    if (connection.socket.open()) --open_connections_;
    connection.socket.close();
    connection.response.release();
    ++connection.generation;
    connection.timer_set = false;
    connection.state = State::closed;
}

void HealthChecker::on_ready(std::uint64_t token, short) {
    const auto index = static_cast<std::uint32_t>(token);
    if (index >= connections_.size() || token_of(index) != token) return;
    Connection& connection = connections_[index];
    if (connection.state == State::connecting) {
        if (const int error = connection.socket.connect_error(); error != 0)
            return fail(index, outcome_of_connect(error));
        return send_request(index);
    }
    // The endpoint closes the connection, or sends something unasked.
    if (connection.state == State::idle) return close(index);
    if (connection.sent_bytes < connection.request.size()) {
        send_rest(index);
        return;
    }
    read(index);
}

void HealthChecker::read(std::uint32_t index) {
    Connection& connection = connections_[index];
    if (!connection.response.is_allocated()) connection.response = pool_.acquire();
    const auto [data, capacity] = connection.response.free_space();
    const auto received = connection.socket.read({data, capacity});
    if (received.error != 0 || received.ended) return fail(index, Outcome::connection_lost);
    connection.response.commit(received.bytes);
    const auto text = connection.response.view();
    if (text.find('\n') == std::string_view::npos) {
        if (received.bytes == capacity) fail(index, Outcome::error);
        return;
    }
    LoadReport load;
    const bool valid = decode_pong(net::first_line(text), load);
    connection.response.release();
    connection.state = State::idle;
    set_deadline(index, loop_.now() + idle_timeout);
    report(index, valid ? Outcome::ok : Outcome::error, load);
}

void HealthChecker::fail(std::uint32_t index, Outcome outcome) {
    const bool may_be_stale =
        connections_[index].reused && outcome != Outcome::timed_out && outcome != Outcome::error;
    close(index);
    // An idle connection may have died since its last use, which says nothing about the endpoint: a new one
    // is tried.
    if (may_be_stale) {
        connections_[index].reused = false;
        return connect(index);
    }
    report(index, outcome, {});
}

void HealthChecker::on_timer(std::uint64_t token) {
    const auto index = static_cast<std::uint32_t>(token);
    if (index >= connections_.size() || token_of(index) != token) return;
    if (loop_.now() < connections_[index].deadline) return schedule_timer(index);
    const State state = connections_[index].state;
    if (state == State::idle) return close(index);
    // The connection must not be reused: a late response would be taken for that of the next check.
    connections_[index].reused = false;
    fail(index, state == State::requesting ? Outcome::timed_out : Outcome::unreachable);
}

void HealthChecker::report(std::uint32_t index, Outcome outcome, const LoadReport& load) {
    const Ticks duration = loop_.now() - connections_[index].started_at;
    listener_.on_health_check(endpoints_[index].number, outcome, duration, load);
    start_waiting();
}

}  // namespace lemonstair::health_check
