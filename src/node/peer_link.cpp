#include "node/peer_link.h"

#include <poll.h>

#include <array>

#include "net/transfer.h"

namespace lemonstair::node {

namespace {

constexpr std::size_t longest = 256;
constexpr int reads_a_pass = 64;

}  // namespace

PeerLink::PeerLink(net::EventLoop& loop, const config::NodeConfig& launch, metrics::ResourceCounters& costs,
                   Heard heard)
    : loop_(loop), launch_(launch), costs_(costs), heard_(std::move(heard)) {}

void PeerLink::open() {
    if (launch_.balancer.limits.gossip_enabled && launch_.peer_listen)
        socket_ = net::Socket(loop_, loop_.system().bind_datagrams(*launch_.peer_listen), POLLIN, *this, 0);
}

// One that cannot go now is lost: the module counts on no datagram.
void PeerLink::send(const net::Address& to, std::span<const std::uint8_t> bytes, std::size_t hearers) {
    if (!socket_.open() || bytes.size() > longest) return;
    costs_.count_gossip(bytes, hearers);
    static_cast<void>(loop_.system().send_to(socket_.fd(), to, bytes));
}

void PeerLink::tell(std::uint32_t node, std::span<const std::uint8_t> bytes) {
    if (node < launch_.peer_addresses.size() && node != launch_.balancer.own_node)
        send(launch_.peer_addresses[node], bytes, 1);
}

void PeerLink::tell_all(std::span<const std::uint8_t> bytes) {
    if (launch_.all_peers) return send(*launch_.all_peers, bytes, launch_.peer_addresses.size() - 1);
    for (std::uint32_t n = 0; n < launch_.peer_addresses.size(); ++n) tell(n, bytes);
}

void PeerLink::on_ready(std::uint64_t, short) {
    std::array<std::uint8_t, longest + 1> bytes{};
    for (int i = 0; i < reads_a_pass; ++i) {
        net::Address from;
        const auto n = loop_.system().receive(socket_.fd(), from, bytes);
        if (n < 0) return;
        if (static_cast<std::size_t>(n) > longest) continue;
        // Only the listed addresses are peers: what comes from others is nobody's word.
        for (std::uint32_t node = 0; node < launch_.peer_addresses.size(); ++node)
            if (node != launch_.balancer.own_node && launch_.peer_addresses[node] == from)
                heard_(node, {bytes.data(), static_cast<std::size_t>(n)});
    }
}

}  // namespace lemonstair::node
