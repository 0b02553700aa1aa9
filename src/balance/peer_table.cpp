#include "balance/peer_table.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "balance/constants.h"
#include "balance/node_context.h"

namespace lemonstair {

PeerTable::PeerTable(NodeContext& node) : node_(node), peers_(node.node_slots()) {
    for (auto& peer : peers_) peer.heard_at = node.now();
    ring_.build(static_cast<std::uint32_t>(peers_.size()));
}

NodePair PeerTable::next_alive(std::size_t step) const {
    NodePair out{none, none};
    std::size_t node = node_.config().own_node;
    for (std::size_t i = 1, found = 0; i < peers_.size() && found < out.size(); ++i) {
        node = (node + step) % peers_.size();
        if (peers_[node].alive) out[found++] = static_cast<std::uint32_t>(node);
    }
    return out;
}

bool PeerTable::is_alive(std::uint32_t node) const {
    return node == node_.config().own_node || peers_[node].alive;
}

std::size_t PeerTable::chain(std::uint64_t key, Ring::Chain& out) const {
    return ring_.chain(
        key, chain_length, [this](std::uint32_t node) { return is_alive(node); }, out);
}

bool PeerTable::on_chain(std::uint64_t key, std::uint32_t node) const {
    Ring::Chain nodes{};
    const std::size_t length = chain(key, nodes);
    return std::find(nodes.begin(), nodes.begin() + length, node) != nodes.begin() + length;
}

std::uint32_t PeerTable::first_alive(std::uint64_t key) const {
    return ring_.first(key, [this](std::uint32_t node) { return is_alive(node); });
}

}  // namespace lemonstair
