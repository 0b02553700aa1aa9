#include "node/peer_link.h"

#include <poll.h>

#include <array>

#include "net/transfer.h"

namespace lemonstair::node {

namespace {

constexpr std::size_t max_datagram_bytes = 256;
constexpr int max_reads_per_pass = 64;

}  // namespace

PeerLink::PeerLink(net::EventLoop& loop, const config::NodeConfig& config,
                   metrics::ResourceCounters& counters, OnDatagram on_datagram)
    : loop_(loop), config_(config), counters_(counters), on_datagram_(std::move(on_datagram)) {}

void PeerLink::open() {
    if (config_.balancer.limits.gossip_enabled && config_.peer_listen)
        socket_ = net::Socket(loop_, loop_.system().bind_datagrams(*config_.peer_listen), POLLIN, *this, 0);
}

// A datagram that cannot be sent now is dropped: the balancer does not rely on delivery.
void PeerLink::send(const net::Address& address, std::span<const std::uint8_t> bytes, std::size_t receivers) {
    if (!socket_.open() || bytes.size() > max_datagram_bytes) return;
    counters_.count_gossip(bytes, receivers);
    static_cast<void>(loop_.system().send_to(socket_.fd(), address, bytes));
}

void PeerLink::send_to(std::uint32_t node, std::span<const std::uint8_t> bytes) {
    if (node < config_.peer_addresses.size() && node != config_.balancer.own_node)
        send(config_.peer_addresses[node], bytes, 1);
}

void PeerLink::broadcast(std::span<const std::uint8_t> bytes) {
    if (config_.peer_broadcast)
        return send(*config_.peer_broadcast, bytes, config_.peer_addresses.size() - 1);
    for (std::uint32_t node = 0; node < config_.peer_addresses.size(); ++node) send_to(node, bytes);
}

void PeerLink::on_ready(std::uint64_t, short) {
    // One byte more than allowed, to detect datagrams that are too long.
    std::array<std::uint8_t, max_datagram_bytes + 1> bytes{};
    for (int i = 0; i < max_reads_per_pass; ++i) {
        net::Address sender;
        const auto received = loop_.system().receive(socket_.fd(), sender, bytes);
        if (received < 0) return;
        const auto size = static_cast<std::size_t>(received);
        if (size > max_datagram_bytes) continue;
        // Datagrams from addresses that are not configured are ignored.
        for (std::uint32_t node = 0; node < config_.peer_addresses.size(); ++node)
            if (node != config_.balancer.own_node && config_.peer_addresses[node] == sender)
                on_datagram_(node, {bytes.data(), size});
    }
}

}  // namespace lemonstair::node
