/// Fleet-wide rate quotas, shared out by time without coordination. The time line of each quota is cut into
/// slots; the owner of a slot follows from the quota's id and the slot number alone. A slot's units are spent
/// by its owner until they expire, or leased to another node, which counts them once. Whatever messages are
/// lost, duplicated, late or reordered, no slot is overspent (docs/shared-state.md). No I/O; the clock is an
/// argument, in tenths of a millisecond.
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

/// One node's view of the schedule of all quotas.
struct QuotaSchedule {
    std::uint32_t own_node = 0, node_count = 1;
    Ticks slot_length = 1000;
    Ticks spendable_for = 8000;  // from the slot's begin
    Ticks incarnation_started_at = 0;

    SlotNumber slot_at(Ticks now) const { return now / slot_length; }
    Ticks slot_begin(SlotNumber n) const { return n * slot_length; }
    std::uint32_t owner(std::uint32_t id, SlotNumber n) const {
        return static_cast<std::uint32_t>(mix(std::uint64_t{id} << 32 ^ static_cast<std::uint64_t>(n)) %
                                          node_count);
    }
    /// Units of a slot at `rate` per second, spread evenly: at 0.3 a slot, one slot in three or four has one.
    int units_in_slot(std::uint32_t id, SlotNumber n, double rate) const {
        const double wanted = rate * static_cast<double>(slot_length) / 10000;
        const double turn =
            std::fmod(static_cast<double>(n) * golden_ratio + static_cast<double>(mix(id) >> 40), 1.0);
        return static_cast<int>(std::min(std::max(wanted, 0.0), max_units) + turn);
    }
    /// Earlier slots may have been spent by the node's previous incarnation.
    bool in_this_incarnation(SlotNumber n) const { return slot_begin(n) > incarnation_started_at; }
    bool is_spendable(SlotNumber n, Ticks now) const {
        return in_this_incarnation(n) && slot_begin(n) <= now && now < slot_begin(n) + spendable_for;
    }
    /// Restores a slot number from its low 32 bits: the one nearest to `now`.
    SlotNumber expand_slot(std::uint32_t low, Ticks now) const {
        const SlotNumber near = slot_at(now);
        return near + static_cast<std::int32_t>(low - static_cast<std::uint32_t>(near));
    }

    static constexpr double golden_ratio = 0.6180339887498949, max_units = 1000;
    static std::uint64_t mix(std::uint64_t x) {  // splitmix64's finalizer
        x += 0x9e3779b97f4a7c15U;
        x = (x ^ x >> 30) * 0xbf58476d1ce4e5b9U;
        x = (x ^ x >> 27) * 0x94d049bb133111ebU;
        return x ^ x >> 31;
    }
};

/// One node's part of one quota. It remembers only the slots that can still be spent, so it is bounded.
/// `id` is the quota's, `rate` its units per second.
class Quota {
  public:
    /// Units that may be spent now.
    int available(const QuotaSchedule& d, std::uint32_t id, double rate, Ticks now) const;
    /// Units of one slot that may be spent now.
    int available_in_slot(const QuotaSchedule& d, std::uint32_t id, double rate, SlotNumber slot,
                          Ticks now) const {
        return d.is_spendable(slot, now) ? free(d, id, rate, slot) : 0;
    }
    /// Spends the oldest unit; false where there is none.
    bool spend(const QuotaSchedule& d, std::uint32_t id, double rate, Ticks now);

    struct LeaseRequest {
        std::uint32_t node;
        SlotNumber slot;
    };
    /// Chooses the newest slot of another node not requested yet, marks it requested and returns it.
    std::optional<LeaseRequest> request_lease(const QuotaSchedule& d, std::uint32_t id, double rate,
                                              Ticks now);
    /// Grants another node a unit of a slot of this node's: true once it is deducted here.
    bool grant_lease(const QuotaSchedule& d, std::uint32_t id, SlotNumber slot, double rate, Ticks now);
    /// A slot's owner granted a unit of it. False, without effect, where the grant is not valid: `from` is
    /// not the owner, this node did not request it, it is counted already, or the slot has expired.
    bool accept_lease(const QuotaSchedule& d, std::uint32_t id, SlotNumber slot, std::uint32_t from,
                      Ticks now);

    /// The state of the slots from `from` on, as bytes: quotas of equal bytes behave alike from then on.
    std::string serialize(SlotNumber from) const;

  private:
    struct Slot {
        SlotNumber number = -1;
        std::int16_t spent = 0;
        std::int8_t leased = 0;
        bool requested = false;
    };
    static constexpr SlotNumber tracked_slots = 16;
    // The slot's entry, reset where it held an older slot; null where it holds a newer one.
    Slot* at(SlotNumber n);
    const Slot* find(SlotNumber n) const {
        const Slot& s = slots_[static_cast<std::size_t>(n % tracked_slots)];
        return s.number == n ? &s : nullptr;
    }
    int free(const QuotaSchedule& d, std::uint32_t id, double rate, SlotNumber n) const;
    std::array<Slot, tracked_slots> slots_{};
};

}  // namespace lemonstair::quota
