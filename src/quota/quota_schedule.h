// Budgets of the fleet, dealt out by time. The time of each budget is cut into slots; each slot belongs to
// one node, which follows from the budget's id and the slot's number alone, so all nodes agree on it without
// a word. The units of a slot may be spent by its owner until they run out of time, or lent to another node,
// which counts them once. Whatever is lost, doubled, late or overtaken, of each slot no more is spent than it
// has: docs/shared-state.md says why. No I/O; the clock is an argument, in tenths of a ms.
#pragma once

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdint>
#include <optional>
#include <string>

namespace lemonstair::quota {

using Ticks = std::int64_t;
using SlotNumber = std::int64_t;

// What one node knows of the dealing of all budgets.
struct QuotaSchedule {
    std::uint32_t me = 0, nodes = 1;
    Ticks slot = 1000;  // the length of a slot
    Ticks keep = 8000;  // a slot's units may be spent for so long from its begin
    Ticks born = 0;     // when this life of the node began

    SlotNumber slot_at(Ticks now) const { return now / slot; }
    Ticks begin(SlotNumber n) const { return n * slot; }
    std::uint32_t owner(std::uint32_t id, SlotNumber n) const {
        return static_cast<std::uint32_t>(mix(std::uint64_t{id} << 32 ^ static_cast<std::uint64_t>(n)) %
                                          nodes);
    }
    // Evenly spread over the slots, whatever the rate: a slot of 0.3 units has one in three or four.
    int units(std::uint32_t id, SlotNumber n, double a_second) const {
        const double wanted = a_second * static_cast<double>(slot) / 10000;
        const double turn =
            std::fmod(static_cast<double>(n) * golden + static_cast<double>(mix(id) >> 40), 1.0);
        return static_cast<int>(std::min(std::max(wanted, 0.0), most_units) + turn);
    }
    // What began before this life may have been spent by the one before.
    bool of_this_life(SlotNumber n) const { return begin(n) > born; }
    bool live(SlotNumber n, Ticks now) const {
        return of_this_life(n) && begin(n) <= now && now < begin(n) + keep;
    }
    // The slot that these last 32 bits of a number mean at this time.
    SlotNumber whole(std::uint32_t low, Ticks now) const {
        const SlotNumber near = slot_at(now);
        return near + static_cast<std::int32_t>(low - static_cast<std::uint32_t>(near));
    }

    static constexpr double golden = 0.6180339887498949, most_units = 1000;
    static std::uint64_t mix(std::uint64_t x) {  // splitmix64's finalizer
        x += 0x9e3779b97f4a7c15U;
        x = (x ^ x >> 30) * 0xbf58476d1ce4e5b9U;
        x = (x ^ x >> 27) * 0x94d049bb133111ebU;
        return x ^ x >> 31;
    }
};

// One node's share of one budget. All memory is of the slots that live, so it is bounded.
class Quota {
  public:
    // Units that may be spent now.
    int left(const QuotaSchedule& d, std::uint32_t id, double a_second, Ticks now) const;
    // The same of one slot.
    int left_of(const QuotaSchedule& d, std::uint32_t id, double a_second, SlotNumber slot, Ticks now) const {
        return d.live(slot, now) ? free(d, id, a_second, slot) : 0;
    }
    // Takes one, the oldest; false: there is none.
    bool spend(const QuotaSchedule& d, std::uint32_t id, double a_second, Ticks now);

    struct Ask {
        std::uint32_t node;
        SlotNumber slot;
    };
    // Whose unit may be had, of the newest slot that was not asked for yet; nothing: of none.
    std::optional<Ask> ask(const QuotaSchedule& d, std::uint32_t id, double a_second, Ticks now);
    // Another node asks for a unit of a slot of this node's: true, once it is taken from the share.
    bool lend(const QuotaSchedule& d, std::uint32_t id, SlotNumber slot, double a_second, Ticks now);
    // A slot's owner says that it lends a unit of it. False, without effect, where that cannot be so: it is
    // not the owner, this node did not ask, it counts already, or it is too late.
    bool borrow(const QuotaSchedule& d, std::uint32_t id, SlotNumber slot, std::uint32_t from, Ticks now);

    // What it remembers of slots from one on, as bytes: shares that are equal there behave alike from then
    // on.
    std::string told(SlotNumber from) const;

  private:
    struct Slot {
        SlotNumber number = -1;
        std::int16_t taken = 0;
        std::int8_t borrowed = 0;
        bool asked = false;
    };
    static constexpr SlotNumber kept = 16;
    // Its entry, begun anew where it held an older slot; null where a newer one stands there.
    Slot* at(SlotNumber n);
    const Slot* find(SlotNumber n) const {
        const Slot& s = slots_[static_cast<std::size_t>(n % kept)];
        return s.number == n ? &s : nullptr;
    }
    int free(const QuotaSchedule& d, std::uint32_t id, double a_second, SlotNumber n) const;
    std::array<Slot, kept> slots_{};
};

}  // namespace lemonstair::quota
