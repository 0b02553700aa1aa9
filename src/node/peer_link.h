// The datagrams between the nodes of a tier. A node is known by the address that it sends from.
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
    // Hears the number of the node that a datagram came from, and its bytes.
    using Heard = std::function<void(std::uint32_t node, std::span<const std::uint8_t> bytes)>;
    PeerLink(net::EventLoop& loop, const config::NodeConfig& launch, metrics::ResourceCounters& costs,
             Heard heard);
    // Only one process of a node hears and speaks.
    void open();
    void close() { socket_.close(); }
    // True also where the settings have no words between nodes.
    bool is_open() const {
        return socket_.open() || !launch_.balancer.limits.gossip_enabled || !launch_.peer_listen;
    }
    void tell(std::uint32_t node, std::span<const std::uint8_t> bytes);
    void tell_all(std::span<const std::uint8_t> bytes);
    void on_ready(std::uint64_t token, short events) override;
    void on_timer(std::uint64_t) override {}

  private:
    void send(const net::Address& to, std::span<const std::uint8_t> bytes, std::size_t hearers);
    net::EventLoop& loop_;
    const config::NodeConfig& launch_;
    metrics::ResourceCounters& costs_;
    Heard heard_;
    net::Socket socket_;
};

}  // namespace lemonstair::node
