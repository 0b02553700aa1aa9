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
    void deaf(Machine machine, bool on) { count(deaf_, machine, on); }
    void mute(Machine machine, bool on) { count(mute_, machine, on); }
    // The machines from one on are cut off from all others; several such cuts may overlap.
    void apart(Machine first, std::uint32_t how_many, bool on) {
        for (Machine m = first; m < first + how_many; ++m) {
            const std::uint64_t side = (std::uint64_t{first} << 32 | how_many) * 0x9e3779b97f4a7c15U | 1;
            side_[m] += on ? side : 0 - side;
        }
    }
    bool passes(Machine from, Machine to) const {
        return mute_.count(from) == 0 && deaf_.count(to) == 0 && side_of(from) == side_of(to);
    }

  private:
    using Counts = std::unordered_map<Machine, int>;
    static void count(Counts& of, Machine machine, bool on) {
        if ((of[machine] += on ? 1 : -1) <= 0) of.erase(machine);
    }
    std::uint64_t side_of(Machine machine) const {
        const auto it = side_.find(machine);
        return it == side_.end() ? 0 : it->second;
    }
    Counts deaf_, mute_;
    std::unordered_map<Machine, std::uint64_t> side_;  // 0: none
};

}  // namespace lemonstair::simnet
