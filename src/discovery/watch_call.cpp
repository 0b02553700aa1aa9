#include "discovery/watch_call.h"

#include <poll.h>

#include "backoff/backoff.h"

namespace lemonstair::discovery {

namespace {

using backoff::request_timeout, backoff::connect_timeout, backoff::watch_timeout;
constexpr int reads_per_pass = 64;  // limits the time that one pass of the event loop takes

}  // namespace

void WatchCall::open(const net::Address& discovery, std::uint64_t after_revision) {
    ++attempt_;
    ++counters_.discovery_requests;
    opened_at_ = loop_.now();
    response_.reset();
    request_ = "GET /api/targets?stream=1&index=" + std::to_string(after_revision) +
               " HTTP/1.1\r\nHost: discovery\r\nAccept: application/json\r\n\r\n";
    net::Fd fd = loop_.system().connect_to(discovery);
    if (fd.open()) socket_ = net::Socket(loop_, std::move(fd), POLLOUT, *this, attempt_);
    // Where no socket could be opened, the timer reports the loss, so that the listener is not called from
    // here.
    transition_to(CallPhase::connecting, socket_.open() ? connect_timeout : 0);
}

void WatchCall::close() {
    socket_.close();
    phase_ = CallPhase::closed;
    ++attempt_;
}

void WatchCall::abandon() {
    socket_.reset();
    close();
}

void WatchCall::transition_to(CallPhase phase, net::Ticks timeout) {
    if (phase == CallPhase::streaming)
        counters_.discovery_wait_ms += static_cast<std::uint64_t>((loop_.now() - opened_at_) / 10);
    phase_ = phase;
    deadline_ = loop_.now() + timeout;
    loop_.schedule(deadline_, *this, attempt_);
}

void WatchCall::on_ready(std::uint64_t, short) {
    if (phase_ == CallPhase::connecting) {
        if (socket_.connect_error() != 0) return lose("cannot connect");
        transition_to(CallPhase::requesting, request_timeout);
    }
    if (!request_.empty()) return send_request();
    read();
}

void WatchCall::send_request() {
    const auto sent = socket_.write(request_);
    if (sent.error != 0) return lose("connection failed");
    request_.erase(0, sent.bytes);
    socket_.set_events(request_.empty() ? POLLIN : POLLOUT);
}

void WatchCall::read() {
    net::Buffer buffer = pool_.acquire();
    const auto [data, capacity] = buffer.free_space();
    for (int i = 0; i < reads_per_pass; ++i) {
        const auto received = socket_.read({data, capacity});
        if (received.error != 0) return lose("connection failed");
        if (received.ended) return lose("closed by discovery");
        if (received.bytes == 0) return;
        if (phase_ == CallPhase::streaming) deadline_ = loop_.now() + watch_timeout;
        bool lines_valid = true;
        const bool response_valid = response_.feed({data, received.bytes}, [&](std::string_view line) {
            lines_valid = lines_valid && handle_line(line);
        });
        if (!response_valid) return lose("expected an HTTP response with status 200 and valid framing");
        if (!lines_valid) return lose("received a line that is not an endpoint list");
        if (response_.at_end()) return lose("closed by discovery");
    }
}

bool WatchCall::handle_line(std::string_view line) {
    if (!listener_.on_line(*this, line)) return false;
    if (phase_ == CallPhase::requesting) transition_to(CallPhase::streaming, watch_timeout);
    return true;
}

// A connection whose peer has vanished reports no error, so only the deadline ends it.
void WatchCall::on_timer(std::uint64_t token) {
    if (token != attempt_ || !is_open()) return;
    if (loop_.now() >= deadline_) return lose("no connection, or no data within the time limit");
    loop_.schedule(deadline_, *this, attempt_);
}

void WatchCall::lose(std::string_view reason) {
    const CallPhase lost_in = phase_;
    if (lost_in != CallPhase::streaming) ++counters_.discovery_failures;
    close();
    listener_.on_call_lost(lost_in, reason);
}

}  // namespace lemonstair::discovery
