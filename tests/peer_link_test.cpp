// Datagrams between nodes.
#include "node/peer_link.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "node_fixture.h"

using namespace fake;

TEST_CASE("datagrams count from the listed addresses only, and none longer than the limit") {
    net::Kernel kernel;
    net::EventLoop loop(kernel);
    TestListener a, b;
    config::NodeConfig launch;
    launch.balancer.limits.gossip_enabled = true;
    launch.balancer.own_node = 0;
    launch.peer_listen = a.address;
    launch.peer_addresses = {a.address, b.address};
    std::vector<std::size_t> sizes;
    metrics::ResourceCounters costs;
    node::PeerLink link(loop, launch, costs, [&](std::uint32_t node, std::span<const std::uint8_t> bytes) {
        CHECK(node == 1);
        sizes.push_back(bytes.size());
    });
    link.open();
    const auto send = [&](const net::Fd& from, std::size_t n) {
        const std::string text(n, 'x');
        ::sendto(from.get(), text.data(), n, 0, reinterpret_cast<const sockaddr*>(&a.address.socket_address),
                 sizeof a.address.socket_address);
    };
    const net::Fd peer = net::bind_datagrams(b.address),
                  stranger = net::bind_datagrams(TestListener().address);
    send(stranger, 5), send(peer, 300), send(peer, 256), send(peer, 0);
    for (int i = 0; i < 4; ++i) {
        loop.schedule(loop.now() + 100, link, 0);
        loop.run_once([] {});
    }
    CHECK(sizes == std::vector<std::size_t>{256, 0});
}
