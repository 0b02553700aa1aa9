// Datagrams between the nodes of a tier. A node is known by the address that it sends from; none is delivered
// for sure, and none is repeated.
#pragma once

#include <cstdint>
#include <functional>
#include <span>

#include "config/node_config.h"
#include "metrics/resource_counters.h"
#include "net/loop.h"

namespace lemonstair::node {

class PeerLink final : public net::EventHandler {
  public:
    // Is called with the number of the node that a datagram came from, and its bytes.
    using OnDatagram = std::function<void(std::uint32_t node, std::span<const std::uint8_t> bytes)>;
    PeerLink(net::EventLoop& loop, const config::NodeConfig& config, metrics::ResourceCounters& counters,
             OnDatagram on_datagram);
    // Only one process of a node sends and receives. Throws std::system_error where the address cannot be
    // had; nothing happens where the settings know no gossip.
    void open();
    void close() { socket_.close(); }
    // True also where the settings know no gossip.
    bool is_open() const {
        return socket_.open() || !config_.balancer.limits.gossip_enabled || !config_.peer_listen;
    }
    void send_to(std::uint32_t node, std::span<const std::uint8_t> bytes);
    // To all other nodes; one datagram where the network can multicast.
    void broadcast(std::span<const std::uint8_t> bytes);
    void on_ready(std::uint64_t token, short events) override;
    void on_timer(std::uint64_t) override {}

  private:
    void send(const net::Address& address, std::span<const std::uint8_t> bytes, std::size_t receivers);
    net::EventLoop& loop_;
    const config::NodeConfig& config_;
    metrics::ResourceCounters& counters_;
    OnDatagram on_datagram_;
    net::Socket socket_;
};

}  // namespace lemonstair::node
