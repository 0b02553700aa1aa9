// Address plan of the process harness: blocks of 127.0.0.0/8 for the nodes' own addresses, for the servers as
// each node sees them, and for the datagram proxy. Each node connects to addresses of its own, so that the
// proxy knows who connects, and a fault can meet one pair.
#pragma once

#include <arpa/inet.h>

#include <cstdint>

#include "net/fd.h"
#include "net/transfer.h"
#include "simnet/streams.h"

namespace lemonstair::process_harness {

using net::Address;
using simnet::Machine;

class AddressPlan {
  public:
    // Takes blocks that no other harness on this machine holds; throws std::system_error where none is free.
    explicit AddressPlan(std::uint32_t nodes);

    std::uint32_t nodes() const { return nodes_; }
    // The machine's own address.
    Address own(Machine machine, std::uint16_t port) const { return make(block_, machine, port); }
    Machine machine_at(const Address& at) const { return ntohl(at.socket_address.sin_addr.s_addr) & 0xffffU; }
    // A place of a machine that is no node, as one node sees it.
    Address seen(Machine node, const Address& own) const {
        const auto slot = machine_at(own) - nodes_;
        return make(block_ + 1, node,
                    static_cast<std::uint16_t>(first_port + slot * ports_each + port_of(own) % ports_each));
    }
    // Under which a node is known to the other nodes.
    Address datagram_address(Machine node) const { return make(block_ + 2, node, datagram_port); }
    Address broadcast_address() const { return make(block_ + 2, 0xff01, datagram_port); }

  private:
    static constexpr std::uint16_t first_port = 10000, datagram_port = 7946, ports_each = 16;
    static std::uint16_t port_of(const Address& at) { return ntohs(at.socket_address.sin_port); }
    static Address make(std::uint32_t block, Machine machine, std::uint16_t port) {
        Address a;
        a.socket_address.sin_family = AF_INET;
        a.socket_address.sin_addr.s_addr = htonl(127U << 24 | block << 16 | machine);
        a.socket_address.sin_port = htons(port);
        return a;
    }
    std::uint32_t nodes_, block_ = 0;
    net::Fd held_;
};

}  // namespace lemonstair::process_harness
