#include "tunnel/tunnel_registry.h"

#include <array>

#include "balance/attempt_policy.h"
#include "net/lines.h"

namespace lemonstair::tunnel {

namespace {

constexpr bool is_admitted(TunnelState state) {
    return state != TunnelState::free && state != TunnelState::reading_request &&
           state != TunnelState::closing;
}

}  // namespace

std::string_view name_of(TunnelState state) {
    switch (state) {
        case TunnelState::free:
            return "free";
        case TunnelState::reading_request:
            return "reading request";
        case TunnelState::awaiting_id:
            return "awaiting id";
        case TunnelState::awaiting_placement:
            return "awaiting placement";
        case TunnelState::connecting:
            return "connecting";
        case TunnelState::sending_request:
            return "sending request";
        case TunnelState::awaiting_answer:
            return "awaiting answer";
        case TunnelState::open:
            return "open";
        case TunnelState::migrating:
            return "migrating";
        case TunnelState::transferring:
            return "transferring";
        case TunnelState::closing:
            return "closing";
    }
    return "";
}

TunnelId TunnelRegistry::add(net::Fd client, AcceptedFor purpose) {
    const bool reject_only = purpose == AcceptedFor::rejection;
    const std::uint32_t index = tunnels.allocate();
    tunnels[index].reject_only = reject_only;
    reject_only_count_ += reject_only ? 1 : 0;
    tunnels[index].client = make_socket(id_of(index), Side::client, std::move(client), POLLIN);
    ++tunnel_count_;
    return id_of(index);
}

// Clients use a new id for each connection. The ids of requests that an endpoint may have executed are
// remembered, so that a copy of one is not executed again.
void TunnelRegistry::release_id(const Tunnel& tunnel, std::uint32_t slot) {
    const bool was_open = tunnel.state == TunnelState::open || tunnel.state == TunnelState::migrating ||
                          tunnel.state == TunnelState::transferring;
    const bool attempt_under_way = tunnel.state == TunnelState::awaiting_answer;
    ids.release(tunnel.id_hash, slot, was_open || attempt_under_way || tunnel.may_have_run);
}

// Each tunnel is counted once, when its client gets its final answer. A request without a valid traffic class
// is not counted.
void TunnelRegistry::count_final_answer(Tunnel& tunnel, TunnelState to) {
    if (!tunnel.answer_uncounted) return;
    if (to == TunnelState::open) tunnel.final_answer = metrics::FinalAnswer::opened;
    if (tunnel.final_answer == metrics::FinalAnswer::none) return;
    tunnel_counters.count(tunnel.traffic_class, tunnel.final_answer);
    tunnel.answer_uncounted = false;
}

void TunnelRegistry::report_violation(metrics::Invariant rule, TunnelId id, std::string_view detail) {
    ++resource_counters.violations[static_cast<std::size_t>(rule)];
    log.error() << metrics::violation_prefix << name_of(rule) << ", tunnel " << static_cast<std::uint32_t>(id)
                << ": " << detail;
}

bool TunnelRegistry::client_disconnected(const Tunnel& tunnel) const {
    return !tunnel.client.open() || tunnel.client.peer_closed();
}

bool TunnelRegistry::is_at_end(const Tunnel& tunnel) {
    std::array<char, 1> next{};
    const auto peeked = tunnel.client.peek(next);
    return peeked.ended || peeked.error != 0;
}

RequestLine TunnelRegistry::request_of(const Tunnel& tunnel, Ticks received_at) const {
    const std::string_view line = net::first_line(tunnel.request_buffer.view());
    return parse_request_line(line, config.traffic_class_names, received_at).value_or(RequestLine{});
}

// Checks the invariant that a connection is closed without a final line only if its client has disconnected
// or has sent nothing.
void TunnelRegistry::check_close(TunnelId id, const Tunnel& tunnel, TunnelState to) {
    if (to != TunnelState::free || !tunnel.client.open()) return;
    if (awaits_answer(tunnel.state) && !client_disconnected(tunnel))
        report_violation(metrics::Invariant::closed_without_answer, id, name_of(tunnel.state));
    if (tunnel.state != TunnelState::reading_request) return;
    std::array<char, 1> next{};
    const bool whole_line = tunnel.request_buffer.is_allocated() &&
                            tunnel.request_buffer.view().find('\n') != std::string_view::npos;
    const attempt_policy::PendingInput input{tunnel.client.peek(next).bytes, whole_line};
    const Reason reason = attempt_policy::may_close_unanswered(input);
    if (reason != Reason::allowed && !client_disconnected(tunnel))
        report_violation(metrics::Invariant::closed_without_answer, id, name_of(reason));
}

void TunnelRegistry::transition_to(TunnelId id, TunnelState to) {
    Tunnel& tunnel = *find(id);
    check_close(id, tunnel, to);
    if (!is_admitted(tunnel.state) && is_admitted(to)) ++admitted_count_;
    if (is_admitted(tunnel.state) && !is_admitted(to)) {
        --admitted_count_;
        release_id(tunnel, static_cast<std::uint32_t>(id));
    }
    count_final_answer(tunnel, to);
    if (tunnel.state == TunnelState::closing) --closing_count_;
    if (to == TunnelState::closing) ++closing_count_;
    log.debug() << "tunnel " << static_cast<std::uint32_t>(id) << ": " << name_of(tunnel.state) << " -> "
                << name_of(to);
    tunnel.state = to;
    tunnel.state_since = loop.now();
    if (to != TunnelState::free) return;
    --tunnel_count_;
    const bool was_reject_only = tunnel.reject_only;
    reject_only_count_ -= was_reject_only ? 1 : 0;
    tunnels.release(static_cast<std::uint32_t>(id));
    // The descriptor that this tunnel has freed was one of the spares.
    if (was_reject_only) descriptors.refill_spares();
}

bool TunnelRegistry::try_serve_reject_only(Tunnel& tunnel) {
    descriptors.refill_spares();
    if (!descriptors.has_all_spares() || descriptors.is_low(DescriptorBudget::reserved)) return false;
    tunnel.reject_only = false;
    --reject_only_count_;
    return true;
}

}  // namespace lemonstair::tunnel
