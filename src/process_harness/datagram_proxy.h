// Datagram proxy: all datagrams between nodes pass through it. It has one socket for each node, whose address
// is the node's for the others; a datagram is forwarded from the socket of its sender.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <vector>

#include "process_harness/stream_proxy.h"
#include "simnet/datagram_faults.h"
#include "simnet/random_source.h"

namespace lemonstair::process_harness {

// Loses, delays, doubles and replays datagrams as the scenario says. Times are tenths of a ms.
class DatagramProxy final : public Ready, public EventTarget {
  public:
    struct Counts {
        std::uint64_t sent = 0, bytes = 0;  // by one node, each counted for every node it goes to
    };
    // Whether anything passes from one machine to another now.
    using Passes = std::function<bool(Machine from, Machine to)>;
    DatagramProxy(EventQueue& events, Poller& poller, const AddressPlan& addresses, std::uint16_t peer_port,
                  simnet::RandomSource random, Passes passes);
    simnet::DatagramFaults& faults() { return faults_; }
    void slow_by(double times) { slow_ = times; }
    void send_again(Machine from, std::size_t most);
    const Counts& counts(Machine node) const { return counts_[node]; }
    std::uint64_t too_long() const { return too_long_; }

    void on_ready(std::uint64_t token, std::uint32_t events) override;
    void on_event(std::uint64_t token) override;

  private:
    struct Datagram {
        Machine from = 0, to = 0;
        std::vector<std::uint8_t> bytes;
    };
    void forward(Machine from, Machine to, std::span<const std::uint8_t> bytes);
    void deliver(const Datagram& datagram);

    EventQueue& events_;
    const AddressPlan& addresses_;
    std::uint16_t peer_port_;
    simnet::RandomSource random_;
    Passes passes_;
    simnet::DatagramFaults faults_;
    double slow_ = 1;
    std::vector<net::Fd> sockets_;
    net::Fd broadcast_socket_;
    std::vector<Counts> counts_;
    std::uint64_t too_long_ = 0;
    std::vector<Datagram> under_way_;  // places are used again
    std::vector<std::uint32_t> free_;
    std::vector<std::deque<Datagram>> kept_;  // the last of each node
};

}  // namespace lemonstair::process_harness
