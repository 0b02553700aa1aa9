#include "tunnel/acceptor.h"

#include <poll.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <utility>

#include "net/lines.h"
#include "net/transfer.h"
#include "tunnel/request_line.h"
#include "tunnel/wire_protocol.h"

namespace lemonstair::tunnel {

namespace {

constexpr Ticks accept_pause = 200, pause_logged_every = 50 * accept_pause;
// How long a client may take to send its request.
constexpr Ticks request_timeout = 25000, request_timeout_after_check = 10000;
constexpr Ticks request_timeout_reject_only = 5000;
// How long a tunnel that is open at its endpoint already may take to be resumed there.
constexpr Ticks resume_timeout = 400000;
// Some clients are accepted without a descriptor to serve them, only to be told that the node is full: in the
// listener's queue they would have no answer in their time.
constexpr std::size_t max_reject_only = 6;
constexpr int max_readiness_checks = 16;
constexpr int max_accepts_per_pass = 64;

// Asks the system, since the client may have left while its request waited in the queue of a process that was
// stopped, or that is new. An end behind further bytes shows in the next pass, before any endpoint is sent
// the request.
bool has_disconnected(const Tunnel& tunnel) {
    std::array<char, 1> next{};
    const auto peeked = tunnel.client.peek(next);
    return peeked.ended || peeked.error != 0;
}

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

// True where the system said that no client waits; false where some may, whatever kept them from being
// accepted.
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
    if (exhausted && registry_.reject_only_count() >= max_reject_only) return AcceptResult::blocked;
    // The system does not know what two processes of a node are granted together.
    if (descriptors.sibling_held() > 0 && descriptors.is_low(DescriptorBudget::outside_loop))
        return AcceptResult::blocked;
    net::Fd client = listener_.accept();
    if (!client.open()) return on_accept_error(errno);
    add_client(std::move(client), exhausted ? AcceptedFor::rejection : AcceptedFor::service);
    return AcceptResult::more;
}

// False where a further client cannot be served for want of descriptors, even with one idle connection less.
bool Acceptor::make_descriptors_available() {
    const DescriptorBudget& descriptors = registry_.descriptors;
    // Each pass of the loop costs as much as there are connections: idle ones may be a part of them only.
    const bool crowded = registry_.reading_request_count() > registry_.config.max_descriptors / 4;
    if (!crowded && !descriptors.is_low(DescriptorBudget::reserved)) return true;
    return completion_.evict_idle_connection() || !descriptors.is_low(DescriptorBudget::reserved);
}

Acceptor::AcceptResult Acceptor::on_accept_error(int error) {
    if (error == EAGAIN || error == EWOULDBLOCK) return AcceptResult::queue_empty;
    if (net::is_per_call_accept_error(error)) return AcceptResult::more;
    if (!net::is_resource_exhausted(error)) return AcceptResult::blocked;
    if (completion_.evict_idle_connection()) return AcceptResult::more;
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
    // Mostly the request has arrived with the connection: read now, it never counts as idle.
    on_tunnel_ready(id, Side::client, POLLIN);
}

attempt_policy::Obligations Acceptor::outstanding_work() {
    attempt_policy::Obligations work;
    work.listener_empty = accept_pending();
    work.tunnels = registry_.admitted_count() + registry_.closing_count();
    work.clients_mid_line = any_request_begun();
    return work;
}

// Also where the first bytes are still with the system.
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

// A client that cannot be accepted keeps the listener readable: without a pause the loop would spin.
void Acceptor::pause_accepting() {
    if (paused_) return;
    paused_ = true;
    const Ticks now = registry_.loop.now();
    if (now - paused_at_ > pause_logged_every)
        registry_.log.error() << "no descriptor for another client, " << registry_.loop.descriptors()
                              << " in use";
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
    if (!answer.empty()) return;  // nothing is read until the client has taken its answer
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

// Reads once more before it gives up: the request may have arrived since the last pass.
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
    // Connections that are kept open after a check slow down each pass of the loop: they get less time.
    const Ticks deadline = registry_.loop.now() + request_timeout_after_check;
    if (deadline < tunnel.state_deadline) registry_.set_state_deadline(id, tunnel, deadline);
    return LineResult::keep_reading;
}

Acceptor::LineResult Acceptor::handle_request(TunnelId id, std::string_view line) {
    Tunnel& tunnel = *registry_.find(id);
    const auto parsed =
        line.size() <= wire::longest_line
            ? parse_request_line(line, registry_.config.traffic_class_names, registry_.loop.now())
            : std::nullopt;
    const auto input = tunnel.request_buffer.view();
    if (!parsed || begins_command(input.substr(input.find('\n') + 1)) ||
        !claim_id(tunnel, parsed->id, parsed->request.mid_flow)) {
        registry_.log.debug() << "a client's request line is rejected";
        completion_.reject_protocol_error(id);
        return LineResult::left_stage;
    }
    registry_.log.debug() << "tunnel " << static_cast<std::uint32_t>(id) << " accepted: " << line;
    if (has_disconnected(tunnel)) {
        completion_.close_now(id);
        return LineResult::left_stage;
    }
    TunnelRequest request = parsed->request;
    tunnel.traffic_class = request.traffic_class;
    tunnel.answer_uncounted = true;
    if (tunnel.reject_only && !registry_.try_serve_reject_only(tunnel)) {
        ++registry_.totals.accepted;
        ++registry_.totals.over_capacity;
        completion_.reject(id, 0);
        return LineResult::left_stage;
    }
    if (!parsed->current_endpoint.empty())
        request.deadline = std::max(request.deadline, registry_.loop.now() + resume_timeout);
    admission_.admit(id, request, parsed->current_endpoint);
    return LineResult::left_stage;
}

// What the system does not take at once is buffered. False where the connection is broken.
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

// False where the id is that of a tunnel that is open or was lately: its endpoint would take both for one.
// Allowed are packets that come back mid-flow, and the id of a tunnel whose client is gone though this pass
// has yet to see it.
bool Acceptor::claim_id(Tunnel& tunnel, std::string_view id, bool mid_flow) {
    tunnel.id_hash = hash_text(id) | 1;
    const std::uint32_t index = registry_.by_id_hash.find(tunnel.id_hash);
    if (index == IdIndex::none) return true;
    if (!mid_flow || index == TunnelRegistry::recently_closed) return mid_flow;
    return has_disconnected(registry_.tunnels[index]);
}

}  // namespace lemonstair::tunnel
