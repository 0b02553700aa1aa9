#include "tunnel/transfer.h"

#include <utility>

#include "serialization/binary.h"

namespace lemonstair::tunnel {

namespace {

// The order and width of these fields are the serialized format: another version of the program reads them.
template <class Io, class AnyTunnel>
void transfer_fields(Io& io, AnyTunnel& tunnel) {
    io.value(tunnel.id_hash);
    io.value(tunnel.traffic_class);
    io.value(tunnel.attempt_started);
    io.value(tunnel.last_input_at);
    io.value(tunnel.unanswered_since);
    io.value(tunnel.unanswered_lines);
    io.value(tunnel.upstream.partial_line_bytes);
    io.value(tunnel.downstream.partial_line_bytes);
    io.value(tunnel.attempts);
    io.value(tunnel.resuming);
}

// The parsed state of a transferred tunnel. The views refer to the bytes that were read.
struct Received {
    Tunnel tunnel;
    std::string_view line_prefix, upstream, downstream, balancer_state;
};

// Returns false if the state is invalid.
bool read(serialization::Reader& in, std::size_t traffic_classes, Ticks clock_shift, Received& into) {
    transfer_fields(in, into.tunnel);
    for (Ticks* time :
         {&into.tunnel.attempt_started, &into.tunnel.last_input_at, &into.tunnel.unanswered_since})
        if (*time != 0) *time += clock_shift;
    into.line_prefix = in.text();
    into.upstream = in.text();
    into.downstream = in.text();
    into.balancer_state = in.text();
    return in.good() && in.at_end() && into.line_prefix.size() <= into.tunnel.line_prefix.size() &&
           into.upstream.size() <= net::buffer_bytes && into.downstream.size() <= net::buffer_bytes &&
           into.tunnel.traffic_class < traffic_classes && into.tunnel.attempts >= 1;
}

}  // namespace

// Closing and migrating tunnels stay in this process: they end within seconds.
bool Transfer::is_transferable(const Tunnel& tunnel) {
    return tunnel.state == TunnelState::open && !tunnel.not_transferable && !tunnel.upstream.source_ended &&
           !tunnel.downstream.source_ended && tunnel.outcome == Outcome::connection_lost;
}

bool Transfer::next_transferable(TunnelId& id, std::string& bytes) {
    for (std::uint32_t searched = 0; searched < registry_.tunnels.slot_count(); ++searched) {
        if (next_index_ >= registry_.tunnels.slot_count()) next_index_ = 0;
        const std::uint32_t index = next_index_++;
        if (!registry_.tunnels.in_use(index) || !is_transferable(registry_.tunnels[index])) continue;
        id = registry_.id_of(index);
        Tunnel& tunnel = registry_.tunnels[index];
        serialize(id, tunnel, bytes);
        registry_.transition_to(id, TunnelState::transferring);
        tunnel.client.set_events(0);
        tunnel.endpoint.set_events(0);
        return true;
    }
    return false;
}

void Transfer::serialize(TunnelId id, const Tunnel& tunnel, std::string& into) const {
    serialization::Writer out(into);
    out.text(registry_.endpoints[tunnel.endpoint_index].id);
    transfer_fields(out, tunnel);
    out.text({tunnel.line_prefix.data(), tunnel.line_prefix_size});
    out.text(tunnel.upstream.buffer.view());
    out.text(tunnel.downstream.buffer.view());
    std::string balancer_state;
    if (tunnel.tracked && !registry_.balancer_now().serialize_tunnel(id, balancer_state))
        balancer_state.clear();
    out.text(balancer_state);
}

void Transfer::complete(TunnelId id) {
    if (registry_.find(id) == nullptr) return;
    completion_.report_end(id, Outcome::cancelled);
    completion_.close_now(id);
}

void Transfer::cancel(TunnelId id, bool may_retry) {
    Tunnel* tunnel = registry_.find(id);
    if (tunnel == nullptr || tunnel->state != TunnelState::transferring) return;
    tunnel->not_transferable = !may_retry;
    relay_.resume(id);
}

bool Transfer::adopt(std::string_view bytes, net::Fd client, net::Fd endpoint) {
    serialization::Reader in(bytes);
    const std::uint32_t endpoint_index = registry_.endpoints.index_of(in.text());
    Received received;
    if (!read(in, registry_.config.traffic_class_names.size(), clock_shift_, received) ||
        endpoint_index == discovery::EndpointDirectory::none)
        return false;
    const TunnelId id = registry_.add(std::move(client), AcceptedFor::service);
    Tunnel& tunnel = *registry_.find(id);
    received.tunnel.client = std::move(tunnel.client);
    tunnel = std::move(received.tunnel);
    tunnel.endpoint_index = endpoint_index;
    tunnel.endpoint = registry_.make_socket(id, Side::endpoint, std::move(endpoint), 0);
    received.line_prefix.copy(tunnel.line_prefix.data(), received.line_prefix.size());
    tunnel.line_prefix_size = static_cast<std::uint8_t>(received.line_prefix.size());
    for (const auto& [direction, buffered] : {std::pair{&tunnel.upstream, received.upstream},
                                              std::pair{&tunnel.downstream, received.downstream}}) {
        if (buffered.empty()) continue;
        direction->buffer = registry_.pool.acquire();
        direction->buffer.append(buffered);
    }
    if (tunnel.id_hash != 0) registry_.ids.claim(tunnel.id_hash, static_cast<std::uint32_t>(id));
    registry_.transition_to(id, TunnelState::transferring);
    tunnel.tracked = !received.balancer_state.empty() &&
                     registry_.balancer_now().restore_tunnel(id, received.balancer_state, clock_shift_);
    relay_.resume(id);
    return true;
}

}  // namespace lemonstair::tunnel
