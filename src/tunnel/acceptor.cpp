#include "tunnel/acceptor.h"

#include <poll.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <utility>

#include "balance/id_index.h"
#include "net/lines.h"
#include "net/transfer.h"
#include "tunnel/request_line.h"
#include "tunnel/wire_protocol.h"

namespace lemonstair::tunnel {

namespace {

// After a client could not be accepted, how long until the next try. A pause is logged only if the previous
// one began longer ago than min_pause_log_interval.
constexpr Ticks accept_pause = 200, min_pause_log_interval = 50 * accept_pause;
// How long a client may take to send its request.
constexpr Ticks request_timeout = 25000, request_timeout_after_check = 10000;
constexpr Ticks request_timeout_reject_only = 5000;
// Connections accepted only to tell the client that the node is full. In the listener's queue the client
// would get no answer before its timeout.
constexpr std::size_t max_reject_only = 6;
constexpr int max_readiness_checks = 16;
constexpr int max_accepts_per_pass = 64;

}  // namespace

void Acceptor::listen_on(net::Fd listener) {
    listener_ = net::Socket(registry_.loop, std::move(listener), 0, *this, 0);
    registry_.descriptors.refill_spares();
}

void Acceptor::set_accepting(bool accepting) {
    accepting_ = accepting;
    update_listener_events();
}

void Acceptor::update_listener_events() { listener_.set_events(accepting_ && !paused_ ? POLLIN : 0); }

// Returns true if the system has reported an empty queue (or accepting is off), false if clients may still be
// waiting.
bool Acceptor::accept_pending() {
    for (int i = 0; i < max_accepts_per_pass && accepting_; ++i) {
        switch (accept_one()) {
            case AcceptResult::more:
                break;
            case AcceptResult::queue_empty:
                return true;
            case AcceptResult::blocked:
                pause_accepting();
                return false;
        }
    }
    return !accepting_;
}

Acceptor::AcceptResult Acceptor::accept_one() {
    const DescriptorBudget& descriptors = registry_.descriptors;
    const bool exhausted = !make_descriptors_available();
    if (exhausted && !make_rejection_possible()) return AcceptResult::blocked;
    // The system does not enforce the limit that two processes of a node share.
    if (descriptors.sibling_held() > 0 && descriptors.is_low(DescriptorBudget::outside_loop))
        return AcceptResult::blocked;
    net::Fd client = listener_.accept();
    if (!client.open()) return on_accept_error(errno);
    add_client(std::move(client), exhausted ? AcceptedFor::rejection : AcceptedFor::service);
    return AcceptResult::more;
}

// A client that is accepted for rejection and sends nothing gives way to the next one, since each of them has
// to be told in time. Returns false if there is no descriptor to reject another client.
bool Acceptor::make_rejection_possible() {
    const bool available = registry_.reject_only_count() < max_reject_only &&
                           !registry_.descriptors.is_low(DescriptorBudget::reserved_for_node);
    return available || completion_.evict_idle_connection(AcceptedFor::rejection);
}

// Closes idle connections while descriptors are scarce. Returns false if there are still too few to serve
// another client.
bool Acceptor::make_descriptors_available() {
    const DescriptorBudget& descriptors = registry_.descriptors;
    // The cost of a loop pass grows with the number of connections: idle ones may hold only a part of them.
    const bool crowded = registry_.reading_request_count() > registry_.config.max_descriptors / 4;
    if (crowded) static_cast<void>(completion_.evict_idle_connection(AcceptedFor::service));
    while (descriptors.is_low(DescriptorBudget::reserved))
        if (!completion_.evict_idle_connection(AcceptedFor::service)) return false;
    return true;
}

Acceptor::AcceptResult Acceptor::on_accept_error(int error) {
    if (error == EAGAIN || error == EWOULDBLOCK) return AcceptResult::queue_empty;
    if (net::is_per_call_accept_error(error)) return AcceptResult::more;
    if (!net::is_resource_exhausted(error)) return AcceptResult::blocked;
    if (completion_.evict_idle_connection(AcceptedFor::service)) return AcceptResult::more;
    if (!registry_.descriptors.release_spare()) return AcceptResult::blocked;
    net::Fd client = listener_.accept();
    if (!client.open()) {
        registry_.descriptors.refill_spares();
        return AcceptResult::blocked;
    }
    add_client(std::move(client), AcceptedFor::rejection);
    return AcceptResult::more;
}

void Acceptor::add_client(net::Fd client, AcceptedFor purpose) {
    const TunnelId id = registry_.add(std::move(client), purpose);
    registry_.transition_to(id, TunnelState::reading_request);
    registry_.set_state_deadline(
        id, *registry_.find(id),
        registry_.loop.now() +
            (purpose == AcceptedFor::rejection ? request_timeout_reject_only : request_timeout));
    // The request has usually arrived with the connection. Read at once, the connection never counts as idle.
    on_tunnel_ready(id, Side::client, POLLIN);
}

attempt_policy::Obligations Acceptor::outstanding_work() {
    attempt_policy::Obligations work;
    work.listener_empty = accept_pending();
    work.tunnels = registry_.admitted_count() + registry_.closing_count();
    work.clients_mid_line = any_request_begun();
    return work;
}

// Includes requests whose first bytes have not been read from the system yet.
bool Acceptor::any_request_begun() {
    for (std::uint32_t index = 0; index < registry_.tunnels.slot_count(); ++index) {
        if (!registry_.tunnels.in_use(index)) continue;
        const Tunnel& tunnel = registry_.tunnels[index];
        if (tunnel.state != TunnelState::reading_request) continue;
        std::array<char, 1> next{};
        if (tunnel.request_buffer.is_allocated() && !tunnel.request_buffer.empty()) return true;
        if (tunnel.client.peek(next).bytes > 0) return true;
    }
    return false;
}

// A client that cannot be accepted keeps the listener readable, so without a pause the loop would spin.
void Acceptor::pause_accepting() {
    if (paused_) return;
    paused_ = true;
    const Ticks now = registry_.loop.now();
    if (now - paused_at_ > min_pause_log_interval)
        registry_.log.error() << "no descriptor to accept another client, " << registry_.loop.descriptors()
                              << " in use; accept is retried shortly";
    paused_at_ = now;
    update_listener_events();
    registry_.loop.schedule(now + accept_pause, *this, 0);
}

void Acceptor::on_timer(std::uint64_t) {
    paused_ = false;
    update_listener_events();
}

void Acceptor::on_tunnel_ready(TunnelId id, Side, short) {
    Tunnel& tunnel = *registry_.find(id);
    net::Buffer& answer = tunnel.downstream.buffer;
    if (!answer.empty() && !write_or_buffer(tunnel, {})) return completion_.close_now(id);
    if (!answer.empty()) return;  // no input is read before the answer to a readiness check is written
    if (!tunnel.request_buffer.is_allocated()) tunnel.request_buffer = registry_.pool.acquire();
    const auto [data, space] = tunnel.request_buffer.free_space();
    const auto got = tunnel.client.read({data, space});
    if (got.error != 0 || got.ended) return completion_.close_now(id);
    tunnel.request_buffer.commit(got.bytes);
    if (got.bytes > 0) tunnel.last_input_at = registry_.loop.now();
    for (;;) {
        const auto text = tunnel.request_buffer.view();
        const auto end = text.find('\n');
        if (end == std::string_view::npos) break;
        if (handle_line(id, net::first_line(text)) == LineResult::left_stage) return;
        tunnel.request_buffer.consume(end + 1);
        if (!answer.empty()) return;
    }
    if (tunnel.request_buffer.view().size() > wire::longest_line)
        return completion_.reject_protocol_error(id);
    if (tunnel.request_buffer.empty()) tunnel.request_buffer.release();
}

// Reads once more before the request times out: it may have arrived since the last pass.
void Acceptor::on_tunnel_timer(TunnelId id) {
    if (registry_.loop.now() < registry_.find(id)->state_deadline) return;
    on_tunnel_ready(id, Side::client, POLLIN);
    const Tunnel* tunnel = registry_.find(id);
    if (tunnel != nullptr && tunnel->state == TunnelState::reading_request) completion_.expire_request(id);
}

Acceptor::LineResult Acceptor::handle_line(TunnelId id, std::string_view line) {
    return line == wire::readiness_check ? handle_readiness_check(id) : handle_request(id, line);
}

Acceptor::LineResult Acceptor::handle_readiness_check(TunnelId id) {
    Tunnel& tunnel = *registry_.find(id);
    const std::string_view answer = registry_.ready ? wire::ready_line : wire::rejected_line;
    if (++tunnel.readiness_checks > max_readiness_checks) {
        completion_.reject_protocol_error(id);
        return LineResult::left_stage;
    }
    if (!write_or_buffer(tunnel, answer)) {
        completion_.close_now(id);
        return LineResult::left_stage;
    }
    // Connections kept open after a readiness check slow down each loop pass, so they get a shorter timeout.
    const Ticks deadline = registry_.loop.now() + request_timeout_after_check;
    if (deadline < tunnel.state_deadline) registry_.set_state_deadline(id, tunnel, deadline);
    return LineResult::keep_reading;
}

Acceptor::LineResult Acceptor::reject_request(TunnelId id, std::string_view cause) {
    registry_.log.debug() << "tunnel " << static_cast<std::uint32_t>(id)
                          << ": request line rejected with an error: " << cause;
    completion_.reject_protocol_error(id);
    return LineResult::left_stage;
}

Acceptor::LineResult Acceptor::handle_request(TunnelId id, std::string_view line) {
    Tunnel& tunnel = *registry_.find(id);
    const auto parsed =
        line.size() <= wire::longest_line
            ? parse_request_line(line, registry_.config.traffic_class_names, registry_.loop.now())
            : std::nullopt;
    if (!parsed) return reject_request(id, "it is malformed");
    const auto input = tunnel.request_buffer.view();
    if (begins_command(input.substr(input.find('\n') + 1)))
        return reject_request(id, "another command follows it");
    tunnel.id_hash = hash_text(parsed->id) | 1;
    const request_ids::Claim claim = registry_.ids.check_claim(tunnel.id_hash, parsed->request.mid_flow);
    if (claim == request_ids::Claim::refused)
        return reject_request(id, "its id belongs to another tunnel, or did recently");
    registry_.log.debug() << "tunnel " << static_cast<std::uint32_t>(id) << " accepted: " << line;
    // The client may have disconnected while its request was queued at a process that was suspended or has
    // just started.
    if (TunnelRegistry::is_at_end(tunnel)) {
        completion_.close_now(id);
        return LineResult::left_stage;
    }
    tunnel.traffic_class = parsed->request.traffic_class;
    tunnel.answer_uncounted = true;
    if (tunnel.reject_only && !registry_.try_serve_reject_only(tunnel)) {
        ++registry_.totals.accepted;
        ++registry_.totals.over_capacity;
        completion_.reject(id, 0);
        return LineResult::left_stage;
    }
    if (claim == request_ids::Claim::ask_peer)
        id_claims_.begin(id, *parsed);
    else
        admission_.admit(id, *parsed);
    return LineResult::left_stage;
}

// Buffers what the system does not take at once. Returns false if the connection is broken.
bool Acceptor::write_or_buffer(Tunnel& tunnel, std::string_view text) {
    net::Buffer& answer = tunnel.downstream.buffer;
    if (!answer.is_allocated()) answer = registry_.pool.acquire();
    answer.append(text);
    const auto sent = tunnel.client.write(answer.view());
    if (sent.error != 0) return false;
    answer.consume(sent.bytes);
    tunnel.client.set_events(answer.empty() ? POLLIN : POLLOUT);
    if (answer.empty()) answer.release();
    return true;
}

}  // namespace lemonstair::tunnel
