#include "tunnel/early_input.h"

#include <poll.h>

#include <array>

#include "tunnel/request_line.h"

namespace lemonstair::tunnel {

bool EarlyInput::client_left(TunnelId id) {
    if (!receive(id)) return true;
    return registry_.client_disconnected(*registry_.find(id)) && !disconnected(id);
}

bool EarlyInput::receive(TunnelId id) {
    bool full = false;
    if (!read(id, full)) return false;
    const auto input = registry_.find(id)->request_buffer.view();
    if (begins_command(input.substr(input.find('\n') + 1))) return protocol_error(id);
    return !full || accept_full_buffer(id);
}

// Sets `full` if the buffer has no space left. Returns false if the tunnel has ended.
bool EarlyInput::read(TunnelId id, bool& full) {
    Tunnel& tunnel = *registry_.find(id);
    for (;;) {
        const auto [data, space] = tunnel.request_buffer.free_space();
        full = space == 0;
        if (full) return true;
        const auto got = tunnel.client.read({data, space});
        if (got.ended || got.error != 0) return disconnected(id);
        if (got.bytes == 0) return true;
        tunnel.request_buffer.commit(got.bytes);
    }
}

// The client may have disconnected behind bytes for which there is no space. A new client has to wait for its
// answer, so that sending them is its error. One whose tunnel is open at an endpoint already may send on
// meanwhile; what it sends stays unread. Returns false if the tunnel has ended.
bool EarlyInput::accept_full_buffer(TunnelId id) {
    Tunnel& tunnel = *registry_.find(id);
    std::array<char, 1> next{};
    const auto peeked = tunnel.client.peek(next);
    if (peeked.ended || peeked.error != 0) return disconnected(id);
    if (peeked.bytes == 0) return true;
    const RequestLine request = registry_.request_of(tunnel, registry_.loop.now());
    const bool is_open_already = request.request.mid_flow || !request.current_endpoint.empty();
    if (!is_open_already) return protocol_error(id);
    tunnel.client.set_events(POLLRDHUP);
    return true;
}

bool EarlyInput::disconnected(TunnelId id) {
    completion_.on_client_disconnected(id);
    return false;
}

bool EarlyInput::protocol_error(TunnelId id) {
    completion_.reject_protocol_error(id);
    return false;
}

}  // namespace lemonstair::tunnel
