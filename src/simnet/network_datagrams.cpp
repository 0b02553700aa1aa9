// Datagrams of the simulated network: loss, duplication, delay and replay of old ones.
#include <algorithm>

#include "simnet/network.h"

namespace lemonstair::simnet {

void Network::send(const Address& from, const Address& to, std::span<const std::uint8_t> bytes) {
    const Machine there = machine_at(to);
    if (there >= machines_.size()) return;
    if (keeps_datagrams_) {
        auto& kept = kept_[machine_at(from)];
        kept.push_back({from, to, {bytes.begin(), bytes.end()}});
        if (kept.size() > 64) kept.pop_front();
    }
    const int copies = random_.odds(datagram_faults_.lost)      ? 0
                       : random_.odds(datagram_faults_.doubled) ? 2
                                                                : 1;
    for (int i = 0; i < copies; ++i) {
        if (free_datagram_slots_.empty()) {
            free_datagram_slots_.push_back(static_cast<std::uint32_t>(datagrams_.size()));
            datagrams_.emplace_back();
        }
        const std::uint32_t index = free_datagram_slots_.back();
        free_datagram_slots_.pop_back();
        datagrams_[index].from = from;
        datagrams_[index].to = to;
        datagrams_[index].bytes.assign(bytes.begin(), bytes.end());
        const Ticks jitter =
            datagram_faults_.jitter > 0 ? random_.between(std::int64_t{0}, datagram_faults_.jitter) : 0;
        events_.schedule(events_.now() + delay(machine_at(from), there) + jitter, *this,
                         static_cast<std::uint64_t>(datagram) << 56 | index);
    }
}

void Network::send_again(Machine from, std::size_t max_count) {
    const auto kept = kept_[from];
    for (std::size_t i = 0; i < std::min(max_count, kept.size()); ++i)
        send(kept[i].from, kept[i].to, kept[i].bytes);
}

}  // namespace lemonstair::simnet
