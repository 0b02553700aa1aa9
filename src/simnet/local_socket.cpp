#include "simnet/local_socket.h"

#include <utility>

namespace lemonstair::simnet {

void LocalSockets::unlisten(const std::string& name, LocalSocketListener& who) {
    const auto it = listeners_.find(name);
    if (it == listeners_.end() || it->second.who != &who) return;
    for (const std::uint32_t line : it->second.calls) close(line, 1);
    listeners_.erase(it);
}

std::uint32_t LocalSockets::connect(const std::string& name, LocalSocketListener& who) {
    const auto it = listeners_.find(name);
    if (it == listeners_.end()) return none;
    const auto line = static_cast<std::uint32_t>(lines_.size());
    lines_.emplace_back();
    lines_.back().who[0] = &who;
    it->second.calls.push_back(line);
    it->second.who->on_local_event();
    return line;
}

bool LocalSockets::called(const std::string& name, LocalSocketListener& who) const {
    const auto it = listeners_.find(name);
    return it != listeners_.end() && it->second.who == &who && !it->second.calls.empty();
}

std::uint32_t LocalSockets::accept(const std::string& name, LocalSocketListener& who) {
    if (!called(name, who)) return none;
    auto& calls = listeners_[name].calls;
    const std::uint32_t line = calls.front();
    calls.pop_front();
    lines_[line].who[1] = &who;
    return line;
}

// What is on its way holds the connections too.
void LocalSockets::send(std::uint32_t line, int side, std::string_view bytes, const std::vector<End>& ends) {
    Line& l = lines_[line];
    if (!l.open[1 - side]) return;
    for (const End end : ends) network_.hold(end, *this);
    l.to[1 - side].push_back({std::string(bytes), ends});
    notify_owner(l, 1 - side);
}

LocalSockets::Packet LocalSockets::receive(std::uint32_t line, int side, StreamListener& owner) {
    auto& packets = lines_[line].to[side];
    Packet packet = std::move(packets.front());
    packets.pop_front();
    for (const End end : packet.ends) {
        network_.hold(end, owner);
        network_.release(end, *this);
    }
    return packet;
}

void LocalSockets::close(std::uint32_t line, int side) {
    Line& l = lines_[line];
    l.open[side] = false;
    drop(l.to[side]);
    notify_owner(l, 1 - side);
}

void LocalSockets::drop(std::deque<Packet>& packets) {
    for (const Packet& packet : std::exchange(packets, {}))
        for (const End end : packet.ends)
            if (!network_.release(end, *this)) network_.close(end);
}

}  // namespace lemonstair::simnet
