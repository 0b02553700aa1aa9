// Faults of the datagrams between nodes, per machine. The simulation and the process harness share them, so
// that a scenario means the same in both.
#pragma once

#include <cstdint>
#include <unordered_map>

#include "simnet/streams.h"

namespace lemonstair::simnet {

// The current faults: shares of loss and duplication, which the sending code draws, and blocked machines and
// partitions, which passes() checks.
class DatagramFaults {
  public:
    double lost = 0, doubled = 0;  // shares of all datagrams, from 0 to 1
    Ticks jitter = 0;  // upper limit of the random addition to each delay; datagrams may overtake each other

    // Block the datagrams that a machine receives, or those that it sends. Calls are counted: a machine stays
    // blocked until each call with `on` has been undone.
    void block_receiving(Machine machine, bool on) { count(receive_blocks_, machine, on); }
    void block_sending(Machine machine, bool on) { count(send_blocks_, machine, on); }
    // Separates `how_many` machines, from `first` on, from all others. Several partitions may overlap: each
    // has an odd number of its own, and two machines reach each other only if the sums of the numbers of
    // their partitions are equal.
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
    // By machine: the sum of the numbers of its partitions. 0 or no entry: the machine is in none.
    std::unordered_map<Machine, std::uint64_t> partitions_;
};

}  // namespace lemonstair::simnet
