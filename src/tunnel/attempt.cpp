#include "tunnel/attempt.h"

#include <poll.h>

#include <algorithm>
#include <cerrno>

#include "balance/attempt_policy.h"
#include "net/lines.h"
#include "net/transfer.h"
#include "tunnel/wire_protocol.h"

namespace lemonstair::tunnel {

namespace {

// Pause between two attempts to resume a tunnel.
constexpr Ticks resume_pause = 3000;
// How much of an unknown answer is logged.
constexpr std::size_t logged_answer_bytes = 40;

Outcome connect_outcome(int error) {
    // A failure of this node, such as a lack of descriptors or ports, says nothing about the endpoint.
    return net::is_local_failure(error) ? Outcome::not_sent : Outcome::unreachable;
}

}  // namespace

void AttemptRunner::start(TunnelId id, std::uint32_t endpoint_index, Ticks max_wait) {
    Tunnel& tunnel = *registry_.find(id);
    if (tunnel.endpoint.open())
        registry_.report_violation(metrics::Invariant::concurrent_attempts, id, name_of(tunnel.state));
    tunnel.endpoint_index = endpoint_index;
    ++tunnel.attempts;
    tunnel.attempt_started = registry_.loop.now();
    if (early_input_.client_left(id)) return;
    tunnel.attempt_deadline =
        max_wait > 0 ? std::min(tunnel.deadline, tunnel.attempt_started + max_wait) : tunnel.deadline;
    connect(id);
}

void AttemptRunner::resume(TunnelId id) {
    Tunnel& tunnel = *registry_.find(id);
    tunnel.resuming = true;
    tunnel.endpoint_index =
        registry_.endpoints.index_of(registry_.request_of(tunnel, registry_.loop.now()).current_endpoint);
    // The endpoint list of a node that has just started may be older than the tunnel. Wait until discovery
    // lists the endpoint.
    if (tunnel.endpoint_index == discovery::EndpointDirectory::none)
        return registry_.set_state_deadline(id, tunnel, registry_.loop.now() + resume_pause);
    tunnel.attempts = 1;
    tunnel.attempt_started = registry_.loop.now();
    tunnel.attempt_deadline = tunnel.deadline;
    connect(id);
}

void AttemptRunner::connect(TunnelId id) {
    Tunnel& tunnel = *registry_.find(id);
    const auto& endpoint = registry_.endpoints[tunnel.endpoint_index];
    ++registry_.resource_counters.setups;
    registry_.log.debug() << "tunnel " << static_cast<std::uint32_t>(id) << " attempt " << tunnel.attempts
                          << " at endpoint " << endpoint.number;
    registry_.transition_to(id, TunnelState::connecting);
    if (registry_.descriptors.is_low(DescriptorBudget::reserved_for_node) &&
        !completion_.evict_idle_connection(AcceptedFor::service) &&
        !completion_.evict_idle_connection(AcceptedFor::rejection))
        return on_failed(id, Outcome::not_sent);
    net::Fd connection = registry_.loop.system().connect_to(endpoint.address);
    const int error = errno;
    if (!connection.open()) return on_failed(id, connect_outcome(error));
    tunnel.endpoint = registry_.make_socket(id, Side::endpoint, std::move(connection), POLLOUT);
    registry_.set_state_deadline(
        id, tunnel,
        std::min(tunnel.attempt_deadline, registry_.loop.now() + registry_.config.connect_timeout));
}

void AttemptRunner::on_tunnel_ready(TunnelId id, Side side, short events) {
    if (side == Side::client) return on_client_ready(id, events);
    const Tunnel& tunnel = *registry_.find(id);
    const bool half_written = tunnel.state == TunnelState::sending_request;
    if (half_written && early_input_.client_left(id)) return;
    if (tunnel.state == TunnelState::connecting && !on_connected(id)) return;
    if (tunnel.state == TunnelState::sending_request) return write_request(id);
    if (tunnel.state == TunnelState::awaiting_answer) return read_answer(id);
}

void AttemptRunner::on_client_ready(TunnelId id, short events) {
    const auto ended = POLLRDHUP | POLLHUP | POLLERR;
    if ((events & ended) != 0) return completion_.on_client_disconnected(id);
    static_cast<void>(early_input_.receive(id));
}

// Returns false if the attempt has ended.
bool AttemptRunner::on_connected(TunnelId id) {
    Tunnel& tunnel = *registry_.find(id);
    if (const int error = tunnel.endpoint.connect_error(); error != 0) {
        on_failed(id, connect_outcome(error));
        return false;
    }
    if (!may_write(id)) return false;
    registry_.transition_to(id, TunnelState::sending_request);
    tunnel.upstream.buffer = registry_.pool.acquire();
    if (!write_request_line(net::first_line(tunnel.request_buffer.view()),
                            tunnel.attempt_deadline - registry_.loop.now(), tunnel.upstream.buffer)) {
        on_failed(id, Outcome::not_sent);
        return false;
    }
    return true;
}

// Asks the balancer, with the clock read again, immediately before the first byte is written: connecting may
// have taken long, or the process may have been suspended. Returns false if the attempt is withdrawn or the
// client has disconnected.
bool AttemptRunner::may_write(TunnelId id) {
    const Tunnel& tunnel = *registry_.find(id);
    if (early_input_.client_left(id)) return false;
    if (!tunnel.tracked) return true;
    registry_.balancer->set_time(registry_.loop.refresh());
    const Reason reason = registry_.balancer->may_write(id, attempt_policy::max_write_delay);
    if (reason == Reason::allowed) return true;
    registry_.resource_counters.count_reason(reason);
    registry_.log.debug() << "tunnel " << static_cast<std::uint32_t>(id) << " attempt " << tunnel.attempts
                          << " withdrawn before its request was sent: " << name_of(reason);
    on_failed(id, Outcome::withdrawn);
    return false;
}

// The endpoint cannot have executed the request until the system has accepted its last byte; after that it
// may have.
void AttemptRunner::write_request(TunnelId id) {
    Tunnel& tunnel = *registry_.find(id);
    const auto sent = tunnel.endpoint.write(tunnel.upstream.buffer.view());
    if (sent.error != 0) return on_failed(id, Outcome::unreachable);
    if (sent.bytes > 0) check_write_allowed(id);
    tunnel.upstream.buffer.consume(sent.bytes);
    if (!tunnel.upstream.buffer.empty()) return;
    tunnel.upstream.buffer.release();
    tunnel.endpoint.set_events(POLLIN);
    ++registry_.tunnel_counters.by_traffic_class[tunnel.traffic_class].setups_written;
    registry_.transition_to(id, TunnelState::awaiting_answer);
    registry_.set_state_deadline(id, tunnel, tunnel.attempt_deadline);
}

// Checks the invariant that bytes are written only while the attempt policy allows it. The clock is read
// after the write.
void AttemptRunner::check_write_allowed(TunnelId id) {
    const Tunnel& tunnel = *registry_.find(id);
    if (!tunnel.tracked) return;
    registry_.balancer->set_time(registry_.loop.refresh());
    const Reason reason = registry_.balancer->may_write(id, 0);
    if (reason != Reason::allowed && reason != Reason::no_time_left)
        registry_.report_violation(metrics::Invariant::attempt_forbidden, id, name_of(reason));
}

void AttemptRunner::read_answer(TunnelId id) {
    Tunnel& tunnel = *registry_.find(id);
    net::Buffer& answer = tunnel.downstream.buffer;
    if (!answer.is_allocated()) answer = registry_.pool.acquire();
    const auto [data, space] = answer.free_space();
    const auto got = tunnel.endpoint.read({data, space});
    if (got.error != 0 || got.ended) return on_failed(id, Outcome::connection_lost);
    answer.commit(got.bytes);
    const auto text = answer.view();
    if (text.find('\n') != std::string_view::npos) return handle_answer(id, net::first_line(text));
    const bool line_too_long = got.bytes == space;
    if (line_too_long) on_failed(id, Outcome::error);
}

void AttemptRunner::handle_answer(TunnelId id, std::string_view line) {
    if (!early_input_.receive(id)) return;
    switch (wire::read_answer(line)) {
        case wire::Answer::opened:
        case wire::Answer::finished:
            return on_opened(id);
        case wire::Answer::overloaded:
            return on_failed(id, Outcome::overloaded);
        case wire::Answer::migrate:
            return on_failed(id, Outcome::cancelled);
        case wire::Answer::error:
            return on_failed(id, Outcome::error);
        case wire::Answer::unknown:
            registry_.log.error() << "endpoint "
                                  << registry_.endpoints[registry_.find(id)->endpoint_index].number
                                  << " sent an unknown answer, counted as an error: '"
                                  << line.substr(0, logged_answer_bytes) << "'";
            return on_failed(id, Outcome::error);
    }
}

void AttemptRunner::on_opened(TunnelId id) {
    Tunnel& tunnel = *registry_.find(id);
    const std::uint32_t endpoint = registry_.endpoints[tunnel.endpoint_index].number;
    ++registry_.totals.opened;
    registry_.resource_counters.count_attempt(Outcome::ok);
    if (wire::read_answer(net::first_line(tunnel.downstream.buffer.view())) == wire::Answer::finished)
        tunnel.outcome = Outcome::ok;
    if (tunnel.resuming) {
        tunnel.tracked = true;
        registry_.balancer_now().adopt_open_tunnel(
            id, registry_.request_of(tunnel, registry_.loop.now()).request, endpoint);
    } else {
        registry_.balancer_now().on_opened(id, tunnel.attempts - 1, endpoint,
                                           registry_.loop.now() - tunnel.attempt_started);
    }
    // The request line has been sent to the endpoint already: only the bytes after it are relayed.
    tunnel.request_buffer.consume(tunnel.request_buffer.view().find('\n') + 1);
    relay_.begin(id);
}

// Closes the connection at once, so that nothing the endpoint has sent on it can reach the client.
void AttemptRunner::on_failed(TunnelId id, Outcome outcome) {
    Tunnel& tunnel = *registry_.find(id);
    registry_.resource_counters.count_attempt(outcome);
    registry_.log.debug() << "tunnel " << static_cast<std::uint32_t>(id) << " attempt " << tunnel.attempts
                          << " failed, outcome " << static_cast<int>(outcome);
    tunnel.may_have_run = tunnel.may_have_run || !never_executed(outcome);
    tunnel.endpoint.close();
    tunnel.upstream.buffer.release();
    tunnel.downstream.buffer.release();
    registry_.transition_to(id, TunnelState::awaiting_placement);
    if (tunnel.resuming) {
        const Ticks next_attempt = registry_.loop.now() + resume_pause;
        return registry_.set_state_deadline(id, tunnel, std::min(tunnel.deadline, next_attempt));
    }
    tunnel.state_deadline = 0;
    registry_.balancer_now().on_ended(id, tunnel.attempts - 1,
                                      registry_.endpoints[tunnel.endpoint_index].number, outcome,
                                      registry_.loop.now() - tunnel.attempt_started, false);
}

void AttemptRunner::set_answer_deadline(Ticks deadline) {
    registry_.answer_deadline = deadline;
    registry_.balancer_now().set_answer_deadline(deadline);
    registry_.for_each([&](std::uint32_t index, Tunnel& tunnel) {
        if (!awaits_answer(tunnel.state) || tunnel.deadline <= deadline) return;
        tunnel.deadline = deadline;
        tunnel.attempt_deadline = std::min(tunnel.attempt_deadline, deadline);
        if (tunnel.state_deadline > deadline)
            registry_.set_state_deadline(registry_.id_of(index), tunnel, deadline);
    });
}

void AttemptRunner::on_tunnel_timer(TunnelId id) {
    const Tunnel& tunnel = *registry_.find(id);
    const Ticks now = registry_.loop.now();
    if (now < tunnel.state_deadline) return;
    if (tunnel.state == TunnelState::awaiting_placement) {
        if (!tunnel.resuming || tunnel.state_deadline == 0) return;
        if (now < tunnel.deadline) return resume(id);
        registry_.log.error() << "tunnel " << static_cast<std::uint32_t>(id)
                              << " was open before this node started, but its endpoint did not resume it in "
                                 "time; closing it with an error";
        return completion_.fail(id);
    }
    if (tunnel.state == TunnelState::awaiting_answer) return on_failed(id, Outcome::timed_out);
    // Failing to connect does not count against the endpoint if the client had almost no time left.
    const Ticks objective = registry_.config.balancer.traffic_classes[tunnel.traffic_class].latency_objective;
    const Ticks min_wait =
        std::min(registry_.config.connect_timeout, attempt_policy::min_conclusive_wait(objective));
    const bool had_time = now - tunnel.attempt_started >= min_wait;
    on_failed(id, had_time ? Outcome::unreachable : Outcome::withdrawn);
}

}  // namespace lemonstair::tunnel
