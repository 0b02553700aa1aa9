// Faults of datagrams between nodes, by machine. Shared by the simulation and the process harness, so that a
// scenario means the same in both.
#pragma once

#include <cstdint>
#include <unordered_map>

#include "simnet/streams.h"

namespace lemonstair::simnet {

class DatagramFaults {
  public:
    double lost = 0, doubled = 0;  // shares of datagrams
    Ticks jitter = 0;              // added to a datagram's delay, drawn: they overtake

    // Receives nothing from other machines; or reaches none.
    void block_receiving(Machine machine, bool on) { count(receive_blocks_, machine, on); }
    void block_sending(Machine machine, bool on) { count(send_blocks_, machine, on); }
    // The machines from one on are cut off from all others; several such cuts may overlap.
    void isolate(Machine first, std::uint32_t how_many, bool on) {
        for (Machine m = first; m < first + how_many; ++m) {
            const std::uint64_t partition = (std::uint64_t{first} << 32 | how_many) * 0x9e3779b97f4a7c15U | 1;
            partitions_[m] += on ? partition : 0 - partition;
        }
    }
    bool passes(Machine from, Machine to) const {
        return send_blocks_.count(from) == 0 && receive_blocks_.count(to) == 0 &&
               partition_of(from) == partition_of(to);
    }

  private:
    using Counts = std::unordered_map<Machine, int>;
    static void count(Counts& of, Machine machine, bool on) {
        if ((of[machine] += on ? 1 : -1) <= 0) of.erase(machine);
    }
    std::uint64_t partition_of(Machine machine) const {
        const auto it = partitions_.find(machine);
        return it == partitions_.end() ? 0 : it->second;
    }
    Counts receive_blocks_, send_blocks_;
    std::unordered_map<Machine, std::uint64_t> partitions_;  // 0: none
};

}  // namespace lemonstair::simnet
