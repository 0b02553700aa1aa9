#include "simnet/local_socket.h"

#include <utility>

namespace lemonstair::simnet {

void LocalSockets::unlisten(const std::string& name, LocalSocketListener& who) {
    const auto it = listeners_.find(name);
    if (it == listeners_.end() || it->second.who != &who) return;
    for (const std::uint32_t connection : it->second.pending) close(connection, 1);
    listeners_.erase(it);
}

std::uint32_t LocalSockets::connect(const std::string& name, LocalSocketListener& who) {
    const auto it = listeners_.find(name);
    if (it == listeners_.end()) return none;
    const auto connection = static_cast<std::uint32_t>(connections_.size());
    connections_.emplace_back();
    connections_.back().who[0] = &who;
    it->second.pending.push_back(connection);
    it->second.who->on_local_event();
    return connection;
}

bool LocalSockets::has_pending(const std::string& name, LocalSocketListener& who) const {
    const auto it = listeners_.find(name);
    return it != listeners_.end() && it->second.who == &who && !it->second.pending.empty();
}

std::uint32_t LocalSockets::accept(const std::string& name, LocalSocketListener& who) {
    if (!has_pending(name, who)) return none;
    auto& pending = listeners_[name].pending;
    const std::uint32_t connection = pending.front();
    pending.pop_front();
    connections_[connection].who[1] = &who;
    return connection;
}

// A packet that is not received yet holds the connections in it, so that they stay open if the sender closes
// them.
void LocalSockets::send(std::uint32_t connection, int side, std::string_view bytes,
                        const std::vector<End>& ends) {
    Connection& entry = connections_[connection];
    if (!entry.open[1 - side]) return;
    for (const End end : ends) network_.hold(end, *this);
    entry.inbox[1 - side].push_back({std::string(bytes), ends});
    notify_owner(entry, 1 - side);
}

LocalSockets::Packet LocalSockets::receive(std::uint32_t connection, int side, StreamListener& owner) {
    auto& packets = connections_[connection].inbox[side];
    Packet packet = std::move(packets.front());
    packets.pop_front();
    for (const End end : packet.ends) {
        network_.hold(end, owner);
        network_.release(end, *this);
    }
    return packet;
}

void LocalSockets::close(std::uint32_t connection, int side) {
    Connection& entry = connections_[connection];
    entry.open[side] = false;
    drop(entry.inbox[side]);
    notify_owner(entry, 1 - side);
}

void LocalSockets::drop(std::deque<Packet>& packets) {
    for (const Packet& packet : std::exchange(packets, {}))
        for (const End end : packet.ends)
            if (!network_.release(end, *this)) network_.close(end);
}

}  // namespace lemonstair::simnet
