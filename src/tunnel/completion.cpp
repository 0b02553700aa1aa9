#include "tunnel/completion.h"

#include <poll.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

#include "net/transfer.h"
#include "tunnel/wire_protocol.h"

namespace lemonstair::tunnel {

namespace {

constexpr Ticks ticks_per_ms = 10;
// How long a peer may take to close its side after this node has closed its own.
constexpr Ticks close_timeout = 10000, close_timeout_reject_only = 3000;
// Limit for input after the final line. Input beyond it stays unread until the close times out.
constexpr std::uint32_t max_discarded_bytes = 1 << 20;
// A connection counts as idle after this time.
constexpr Ticks min_idle_reading = 200, min_idle_closing = 2000;
// An eviction is logged only if the previous one was longer ago than this.
constexpr Ticks min_eviction_log_interval = 10000;

}  // namespace

void Completion::reject(TunnelId id, Ticks retry_after) {
    ++registry_.totals.rejected;
    registry_.find(id)->final_answer = metrics::FinalAnswer::declined;
    if (retry_after < ticks_per_ms) return answer_client(id, wire::rejected_line);
    std::array<char, 40> line{};
    char* const digits = std::copy(wire::rejected_prefix.begin(), wire::rejected_prefix.end(), line.data());
    char* end = std::to_chars(digits, line.data() + line.size(), retry_after / ticks_per_ms).ptr;
    end = std::copy(wire::line_end.begin(), wire::line_end.end(), end);
    answer_client(id, {line.data(), static_cast<std::size_t>(end - line.data())});
}

void Completion::fail(TunnelId id) {
    ++registry_.totals.failed;
    registry_.find(id)->final_answer = metrics::FinalAnswer::closed_with_error;
    answer_client(id, wire::failed_line);
}

void Completion::expire_request(TunnelId id) {
    if (registry_.find(id)->readiness_checks == 0) return send_final_line(id, wire::rejected_line);
    close_gracefully(id);
}

void Completion::answer_client(TunnelId id, std::string_view line) {
    registry_.find(id)->endpoint.close();
    send_final_line(id, line);
}

// If the system takes only a part of the line, the rest is buffered.
void Completion::send_final_line(TunnelId id, std::string_view line) {
    Tunnel& tunnel = *registry_.find(id);
    if (tunnel.state == TunnelState::closing)
        registry_.report_violation(metrics::Invariant::answered_twice, id, line);
    const auto sent = tunnel.client.write(line);
    if (sent.error != 0) return close_now(id);
    begin_closing(id);
    if (sent.bytes == line.size()) return shutdown_writes(tunnel);
    tunnel.downstream.buffer = registry_.pool.acquire();
    tunnel.downstream.buffer.append(line.substr(sent.bytes));
    tunnel.client.set_events(POLLIN | POLLOUT);
}

void Completion::shutdown_writes(Tunnel& tunnel) {
    for (net::Socket* socket : {&tunnel.client, &tunnel.endpoint}) {
        if (!socket->open()) continue;
        socket->shutdown_write();
        socket->set_events(POLLIN);
    }
}

void Completion::report_client_disconnected(TunnelId id) {
    Tunnel& tunnel = *registry_.find(id);
    if (!tunnel.tracked) return;
    registry_.balancer_now().on_client_disconnected(id);
    if (has_attempt(tunnel.state)) report_end(id, Outcome::cancelled);
    tunnel.tracked = false;
}

void Completion::on_client_disconnected(TunnelId id) {
    report_client_disconnected(id);
    close_now(id);
}

void Completion::reject_protocol_error(TunnelId id) {
    ++registry_.totals.protocol_errors;
    registry_.resource_counters.count_reason(Reason::bad_client);
    report_client_disconnected(id);
    fail(id);
}

// Prefers connections that wait for their request to closing ones, and then the one idle for longest. A
// client may only take the place of one that was accepted for the same purpose: the connections accepted for
// rejection are few, and hold descriptors that clients to be served must not have.
bool Completion::find_idle(AcceptedFor purpose, IdleConnection& longest) {
    const Ticks now = registry_.loop.now();
    bool found = false;
    registry_.for_each([&](std::uint32_t index, const Tunnel& tunnel) {
        if (tunnel.reject_only != (purpose == AcceptedFor::rejection)) return;
        const bool closing = tunnel.state == TunnelState::closing;
        const bool reading = tunnel.state == TunnelState::reading_request;
        const bool better_found = found && !longest.closing;
        if (!reading && (!closing || better_found)) return;
        // A client that sends its request in pieces is not idle between two pieces.
        const Ticks idle_since =
            closing ? tunnel.state_since : std::max(tunnel.state_since, tunnel.last_input_at);
        if (now - idle_since < (closing ? min_idle_closing : min_idle_reading)) return;
        if (found && longest.closing == closing && idle_since >= longest.idle_since) return;
        std::array<char, 1> next{};
        if (reading && tunnel.client.peek(next).bytes > 0) return;  // its input is read in this pass
        found = true;
        longest = {registry_.id_of(index), idle_since, closing};
    });
    return found;
}

// Asks again immediately before a connection is closed: while the others were looked at, its request may have
// arrived. It does not count as idle then.
bool Completion::input_arrived(const IdleConnection& connection, Ticks now) {
    if (connection.closing) return false;
    Tunnel& tunnel = *registry_.find(connection.id);
    std::array<char, 1> next{};
    if (tunnel.client.peek(next).bytes == 0) return false;
    tunnel.last_input_at = now;
    return true;
}

// Hundreds of clients that send nothing, or do not close their side, must not keep other clients out, nor
// hold the descriptors that attempts need.
bool Completion::evict_idle_connection(AcceptedFor purpose) {
    IdleConnection longest;
    const Ticks now = registry_.loop.now();
    do {
        if (!find_idle(purpose, longest)) return false;
    } while (input_arrived(longest, now));
    ++registry_.totals.evicted;
    if (now - std::exchange(evicted_at_, now) > min_eviction_log_interval)
        registry_.log.info() << "descriptors are running out, " << registry_.loop.descriptors() << " in use, "
                             << registry_.admitted_count() << " tunnels; closing idle connections";
    close_now(longest.id);
    return true;
}

void Completion::report_end(TunnelId id, Outcome outcome) {
    Tunnel& tunnel = *registry_.find(id);
    if (!tunnel.tracked) return;
    tunnel.tracked = false;
    const std::uint32_t endpoint = registry_.endpoints[tunnel.endpoint_index].number;
    registry_.log.debug() << "tunnel " << static_cast<std::uint32_t>(id) << " at endpoint " << endpoint
                          << " ended, outcome " << static_cast<int>(outcome) << ", unanswered lines "
                          << tunnel.unanswered_lines;
    registry_.balancer_now().on_ended(id, tunnel.attempts - 1, endpoint, outcome,
                                      registry_.loop.now() - tunnel.attempt_started, true);
}

void Completion::begin_closing(TunnelId id) {
    Tunnel& tunnel = *registry_.find(id);
    tunnel.request_buffer.release();
    tunnel.upstream.buffer.release();
    tunnel.downstream.buffer.release();
    registry_.transition_to(id, TunnelState::closing);
    const Ticks timeout = tunnel.reject_only ? close_timeout_reject_only : close_timeout;
    registry_.set_state_deadline(id, tunnel, registry_.loop.now() + timeout);
}

void Completion::close_gracefully(TunnelId id) {
    begin_closing(id);
    shutdown_writes(*registry_.find(id));
}

void Completion::close_now(TunnelId id) { registry_.transition_to(id, TunnelState::free); }

void Completion::on_tunnel_ready(TunnelId id, Side side, short) {
    Tunnel& tunnel = *registry_.find(id);
    net::Buffer& final_line = tunnel.downstream.buffer;
    if (side == Side::client && !final_line.empty()) {
        const auto sent = tunnel.client.write(final_line.view());
        if (sent.error != 0) return close_now(id);
        final_line.consume(sent.bytes);
        if (final_line.empty()) {
            final_line.release();
            shutdown_writes(tunnel);
        }
    }
    discard_input(tunnel, side == Side::client ? tunnel.client : tunnel.endpoint);
    if (!tunnel.client.open() && !tunnel.endpoint.open()) close_now(id);
}

void Completion::on_tunnel_timer(TunnelId id) {
    if (registry_.loop.now() >= registry_.find(id)->state_deadline) close_now(id);
}

// A peer may continue to send at full speed, so its bytes are not copied and only max_discarded_bytes are
// read.
void Completion::discard_input(Tunnel& tunnel, net::Socket& socket) {
    // The socket is no longer polled for input, so this event means that the connection is broken.
    if (tunnel.discarded_bytes >= max_discarded_bytes) return socket.close();
    const auto got = socket.discard();
    if (got.ended || got.error != 0) return socket.close();
    tunnel.discarded_bytes += static_cast<std::uint32_t>(got.bytes);
    if (tunnel.discarded_bytes < max_discarded_bytes) return;
    for (net::Socket* each : {&tunnel.client, &tunnel.endpoint}) each->set_events(0);
}

}  // namespace lemonstair::tunnel
