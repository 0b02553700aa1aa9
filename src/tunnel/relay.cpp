#include "tunnel/relay.h"

#include <poll.h>

#include <algorithm>

#include "net/lines.h"
#include "net/transfer.h"
#include "tunnel/wire_protocol.h"

namespace lemonstair::tunnel {

namespace {

// After one side has ended, how long the other may take to read the last bytes and end too.
constexpr Ticks close_wait_endpoint_ended = 8000, close_wait_client_ended = 30000;
// How long a migration waits for the current lines to end, and then for the client to read.
constexpr Ticks max_migration_wait = 8000;
constexpr int max_reads_per_pass = 4;
constexpr double load_units_per_core = 1e6;

Direction& direction_to(Tunnel& tunnel, Side side) {
    return side == Side::client ? tunnel.downstream : tunnel.upstream;
}
Direction& direction_from(Tunnel& tunnel, Side side) {
    return side == Side::client ? tunnel.upstream : tunnel.downstream;
}
net::Socket& socket_of(Tunnel& tunnel, Side side) {
    return side == Side::client ? tunnel.client : tunnel.endpoint;
}
Side other(Side side) { return side == Side::client ? Side::endpoint : Side::client; }

void update_partial_line(Direction& direction, std::string_view bytes) {
    const auto end = bytes.rfind('\n');
    const std::size_t size =
        end == std::string_view::npos ? direction.partial_line_bytes + bytes.size() : bytes.size() - end - 1;
    direction.partial_line_bytes = static_cast<std::uint32_t>(size);
}

// A tunnel that the client ends is not a failure of the endpoint. If the endpoint has already sent a reason
// for the end, that reason stays.
void attribute_end_to_client(Tunnel& tunnel) {
    if (tunnel.outcome == Outcome::connection_lost) tunnel.outcome = Outcome::cancelled;
}

}  // namespace

void Relay::begin(TunnelId id) {
    Tunnel& tunnel = *registry_.find(id);
    registry_.transition_to(id, TunnelState::open);
    tunnel.last_input_at = registry_.loop.now();
    const auto answer = tunnel.downstream.buffer.view();
    if (const auto more = answer.substr(answer.find('\n') + 1); !more.empty()) scan_endpoint_bytes(id, more);
    if (tunnel.request_buffer.is_allocated()) {
        scan_client_bytes(tunnel, tunnel.request_buffer.view());
        tunnel.upstream.buffer = std::move(tunnel.request_buffer);
        if (tunnel.upstream.buffer.empty()) tunnel.upstream.buffer.release();
    }
    if (write(id, Side::client) && write(id, Side::endpoint)) update(id);
}

void Relay::resume(TunnelId id) {
    const Tunnel& tunnel = *registry_.find(id);
    registry_.transition_to(id, TunnelState::open);
    monitor_.on_transferred_line(tunnel.endpoint_index, tunnel.last_input_at);
    if (write(id, Side::client) && write(id, Side::endpoint)) update(id);
}

void Relay::on_tunnel_ready(TunnelId id, Side side, short events) {
    Tunnel& tunnel = *registry_.find(id);
    const Direction& direction = direction_from(tunnel, side);
    const auto readable = POLLIN | POLLHUP | POLLERR;
    if ((events & POLLOUT) != 0 && !write(id, side)) return;
    if ((events & readable) != 0 && !direction.source_ended && !read(id, side)) return;
    // The connection is broken, and its remaining bytes cannot all be read while the other side does not
    // read.
    if ((events & POLLERR) != 0 && (direction.source_ended || !direction.writable().empty())) {
        on_broken(id, side);
        return;
    }
    update(id);
}

// Returns false if the tunnel no longer exists.
bool Relay::read(TunnelId id, Side from) {
    Tunnel& tunnel = *registry_.find(id);
    Direction& direction = direction_from(tunnel, from);
    for (int i = 0; i < max_reads_per_pass && direction.writable().empty(); ++i) {
        if (!direction.buffer.is_allocated()) direction.buffer = registry_.pool.acquire();
        const auto [data, space] = direction.buffer.free_space();
        const auto got = socket_of(tunnel, from).read({data, space});
        if (got.error != 0) return on_broken(id, from);
        if (got.ended) {
            direction.source_ended = true;
            const Ticks wait = from == Side::endpoint ? close_wait_endpoint_ended : close_wait_client_ended;
            registry_.set_state_deadline(id, tunnel, registry_.loop.now() + wait);
            return write(id, other(from));
        }
        if (got.bytes == 0) break;
        direction.buffer.commit(got.bytes);
        if (from == Side::client)
            scan_client_bytes(tunnel, {data, got.bytes});
        else
            scan_endpoint_bytes(id, {data, got.bytes});
        // The beginning of the next line is dropped: the migration would cut that line off.
        if (tunnel.state == TunnelState::migrating && direction.partial_line_bytes < got.bytes) {
            direction.buffer.remove_suffix(direction.partial_line_bytes);
            direction.partial_line_bytes = 0;
        }
        if (direction.partial_line_bytes > wire::longest_line) return on_broken(id, from);
        if (!write(id, other(from))) return false;
        if (tunnel.state == TunnelState::migrating && direction.partial_line_bytes == 0) break;
    }
    if (direction.buffer.empty()) direction.buffer.release();
    return true;
}

// Returns false if the tunnel no longer exists.
bool Relay::write(TunnelId id, Side to) {
    Tunnel& tunnel = *registry_.find(id);
    Direction& direction = direction_to(tunnel, to);
    if (const auto bytes = direction.writable(); !bytes.empty()) {
        const auto sent = socket_of(tunnel, to).write(bytes);
        if (sent.error != 0) return on_broken(id, to);
        direction.buffer.consume(sent.bytes);
    }
    if (direction.buffer.empty()) direction.buffer.release();
    return true;
}

void Relay::scan_client_bytes(Tunnel& tunnel, std::string_view bytes) {
    if (bytes.empty()) return;
    update_partial_line(tunnel.upstream, bytes);
    const auto lines = static_cast<std::uint32_t>(std::count(bytes.begin(), bytes.end(), '\n'));
    if (tunnel.unanswered_lines == 0 && lines > 0) tunnel.unanswered_since = registry_.loop.now();
    tunnel.unanswered_lines += lines;
}

// Keeps only the start of each line: no line that this node interprets is longer.
void Relay::scan_endpoint_bytes(TunnelId id, std::string_view bytes) {
    Tunnel& tunnel = *registry_.find(id);
    update_partial_line(tunnel.downstream, bytes);
    while (!bytes.empty()) {
        const auto end = bytes.find('\n');
        const auto part = bytes.substr(0, end);
        const auto kept = std::min(part.size(), tunnel.line_prefix.size() - tunnel.line_prefix_size);
        std::copy_n(part.begin(), kept, tunnel.line_prefix.begin() + tunnel.line_prefix_size);
        tunnel.line_prefix_size = static_cast<std::uint8_t>(tunnel.line_prefix_size + kept);
        if (end == std::string_view::npos) return;
        const auto line = net::first_line({tunnel.line_prefix.data(), tunnel.line_prefix_size});
        tunnel.line_prefix_size = 0;
        handle_endpoint_line(id, line);
        bytes.remove_prefix(end + 1);
    }
}

void Relay::handle_endpoint_line(TunnelId id, std::string_view line) {
    Tunnel& tunnel = *registry_.find(id);
    const wire::Message message = wire::read_message(line);
    // An endpoint that no longer answers may still report its load, so a report does not count as an answer.
    if (message == wire::Message::load) {
        const auto load = wire::read_load(line);
        if (load && tunnel.tracked) registry_.balancer_now().on_load_changed(id, *load / load_units_per_core);
        return;
    }
    tunnel.last_input_at = registry_.loop.now();
    monitor_.on_line(tunnel.endpoint_index);
    if (message == wire::Message::finished) tunnel.outcome = Outcome::ok;
    if (message == wire::Message::migrate) tunnel.outcome = Outcome::cancelled;
    count_answer(id, tunnel);
}

void Relay::count_answer(TunnelId id, Tunnel& tunnel) {
    if (tunnel.unanswered_lines == 0) return;
    const Ticks now = registry_.loop.now();
    monitor_.on_answer(id, tunnel.endpoint_index, now - tunnel.unanswered_since);
    --tunnel.unanswered_lines;
    tunnel.unanswered_since = now;
}

// To be called after bytes were read or written, or the state has changed: ends or migrates the tunnel if it
// is time to, otherwise updates the events that each socket is polled for.
void Relay::update(TunnelId id) {
    Tunnel& tunnel = *registry_.find(id);
    forward_ends(tunnel);
    if (finish_ended(id) || finish_migration(id)) return;
    update_events(tunnel);
}

// The end of one side is forwarded after its last byte.
void Relay::forward_ends(Tunnel& tunnel) {
    for (const Side side : {Side::client, Side::endpoint}) {
        Direction& direction = direction_from(tunnel, side);
        if (!direction.source_ended || !direction.buffer.empty() || direction.end_forwarded) continue;
        direction.end_forwarded = true;
        socket_of(tunnel, other(side)).shutdown_write();
    }
}

// Returns true if the tunnel has left this stage.
bool Relay::finish_ended(TunnelId id) {
    Tunnel& tunnel = *registry_.find(id);
    if (!tunnel.downstream.source_ended) return false;
    if (tunnel.upstream.source_ended) attribute_end_to_client(tunnel);
    completion_.report_end(id, tunnel.outcome);
    if (!tunnel.downstream.end_forwarded) return false;
    // The endpoint has ended, so what the client still sends has no receiver.
    completion_.close_gracefully(id);
    return true;
}

// Returns true if the tunnel has left this stage. A forced migration drops the lines that are not complete.
bool Relay::finish_migration(TunnelId id) {
    const Tunnel& tunnel = *registry_.find(id);
    if (tunnel.state != TunnelState::migrating) return false;
    const Direction& up = tunnel.upstream;
    const Direction& down = tunnel.downstream;
    const bool lines_complete = down.partial_line_bytes == 0 && up.target_between_lines();
    if (!down.target_between_lines() || (!lines_complete && !tunnel.migration_forced)) return false;
    completion_.report_end(id, tunnel.outcome);
    ++registry_.totals.migrated;
    completion_.send_final_line(id, wire::migrate_line);
    return true;
}

// A side is read while the other takes its bytes. A migrating tunnel is read only to the end of the current
// line.
void Relay::update_events(Tunnel& tunnel) {
    const bool migrating = tunnel.state == TunnelState::migrating;
    const auto is_read = [&](const Direction& direction) {
        return !direction.source_ended && direction.writable().empty() &&
               (!migrating || direction.partial_line_bytes > 0);
    };
    const auto events = [&](const Direction& from, const Direction& to) {
        return static_cast<short>((is_read(from) ? POLLIN : 0) | (to.writable().empty() ? 0 : POLLOUT));
    };
    tunnel.client.set_events(events(tunnel.upstream, tunnel.downstream));
    tunnel.endpoint.set_events(events(tunnel.downstream, tunnel.upstream));
}

// Ends the tunnel with a reset of the other side. Always returns false: the tunnel no longer exists.
bool Relay::on_broken(TunnelId id, Side side) {
    Tunnel& tunnel = *registry_.find(id);
    if (side == Side::client) attribute_end_to_client(tunnel);
    completion_.report_end(id, tunnel.outcome);
    socket_of(tunnel, other(side)).reset();
    completion_.close_now(id);
    return false;
}

void Relay::on_tunnel_timer(TunnelId id) {
    Tunnel& tunnel = *registry_.find(id);
    if (registry_.loop.now() < tunnel.state_deadline) return;
    if (tunnel.state == TunnelState::migrating && !tunnel.migration_forced) {
        // From now on the migration waits only until the client has the lines that are complete.
        tunnel.migration_forced = true;
        registry_.set_state_deadline(id, tunnel, registry_.loop.now() + migration_wait());
        return update(id);
    }
    const bool ending = tunnel.downstream.source_ended || tunnel.upstream.source_ended;
    if (tunnel.state == TunnelState::open && !ending) return;
    if (tunnel.upstream.source_ended) attribute_end_to_client(tunnel);
    completion_.report_end(id, tunnel.outcome);
    if (tunnel.downstream.writable().empty()) return completion_.close_gracefully(id);
    tunnel.client.reset();  // it does not read what the endpoint has sent
    completion_.close_now(id);
}

// A migration has up to two such waits, and both must end before the deadline of a node that shuts down.
Ticks Relay::migration_wait() const {
    const Ticks left = registry_.close_deadline - registry_.loop.now();
    return std::clamp<Ticks>(left / 2, 0, max_migration_wait);
}

void Relay::migrate(TunnelId id) {
    Tunnel& tunnel = *registry_.find(id);
    const bool ending = tunnel.downstream.source_ended || tunnel.upstream.source_ended;
    if (tunnel.state != TunnelState::open || ending) return;
    // A forced migration is not attributed to the client: its cause is an endpoint that does not respond.
    if (!tunnel.migration_forced) attribute_end_to_client(tunnel);
    registry_.transition_to(id, TunnelState::migrating);
    registry_.set_state_deadline(id, tunnel, registry_.loop.now() + migration_wait());
    update(id);
}

void Relay::check_endpoints() {
    for (const TunnelId id : monitor_.check()) {
        Tunnel* tunnel = registry_.find(id);
        if (tunnel == nullptr || tunnel->state != TunnelState::open) continue;
        ++registry_.totals.stalled;
        tunnel->migration_forced = true;
        migrate(id);
    }
}

}  // namespace lemonstair::tunnel
