/// Gossip datagrams between nodes. A sender is identified by its address. Delivery is not guaranteed, and
/// lost datagrams are not repeated.
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
    /// Called with the number of the sending node and the bytes of the datagram.
    using OnDatagram = std::function<void(std::uint32_t node, std::span<const std::uint8_t> bytes)>;
    PeerLink(net::EventLoop& loop, const config::NodeConfig& config, metrics::ResourceCounters& counters,
             OnDatagram on_datagram);
    /// Binds the socket; only one process of a node may have it open. Throws std::system_error if the address
    /// cannot be bound. Does nothing if gossip is not configured.
    void open();
    void close() { socket_.close(); }
    /// Also true if gossip is not configured.
    bool is_open() const {
        return socket_.open() || !config_.balancer.limits.gossip_enabled || !config_.peer_listen;
    }
    void send_to(std::uint32_t node, std::span<const std::uint8_t> bytes);
    /// Sends to all other nodes; a single datagram if an address that reaches all of them is configured.
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
