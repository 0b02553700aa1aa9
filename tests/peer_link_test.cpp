// Datagrams between nodes. A node must ignore those of unknown senders and those that are too long, but
// accept an empty one and one of the maximum length.
#include "node/peer_link.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "node_fixture.h"

using namespace fake;

TEST_CASE("datagrams are accepted only from configured addresses and only up to the maximum length") {
    net::Kernel kernel;
    net::EventLoop loop(kernel);
    TestListener own, other;
    config::NodeConfig config;
    config.balancer.limits.gossip_enabled = true;
    config.balancer.own_node = 0;
    config.peer_listen = own.address;
    config.peer_addresses = {own.address, other.address};
    std::vector<std::size_t> sizes;
    metrics::ResourceCounters counters;
    node::PeerLink link(loop, config, counters, [&](std::uint32_t node, std::span<const std::uint8_t> bytes) {
        CHECK(node == 1);
        sizes.push_back(bytes.size());
    });
    link.open();
    const auto send = [&](const net::Fd& sender, std::size_t size) {
        const std::string text(size, 'x');
        ::sendto(sender.get(), text.data(), size, 0,
                 reinterpret_cast<const sockaddr*>(&own.address.socket_address),
                 sizeof own.address.socket_address);
    };
    const net::Fd peer = net::bind_datagrams(other.address),
                  stranger = net::bind_datagrams(TestListener().address);
    send(stranger, 5), send(peer, 300), send(peer, 256), send(peer, 0);
    for (int i = 0; i < 4; ++i) {
        loop.schedule(loop.now() + 100, link, 0);
        loop.run_once([] {});
    }
    CHECK(sizes == std::vector<std::size_t>{256, 0});
}
