/// Fleet-wide rate quotas that nodes share without coordination. For each quota, time is divided into slots.
/// The node that owns a slot follows from the id of the quota and the number of the slot alone. The owner
/// spends the units of a slot until they expire, or leases them to other nodes, which count each unit once.
/// No slot is overspent, whichever messages are lost, duplicated, delayed or reordered
/// (docs/shared-state.md). This module does no I/O; the clock is an argument, in tenths of a millisecond.
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

/// The division of time into slots and the owners of the slots, for all quotas, as seen by one node.
struct QuotaSchedule {
    std::uint32_t own_node = 0, node_count = 1;
    Ticks slot_length = 1000;
    Ticks spendable_for = 8000;        // from the beginning of the slot
    Ticks incarnation_started_at = 0;  // of this node

    SlotNumber slot_at(Ticks now) const { return now / slot_length; }
    Ticks slot_begin(SlotNumber slot) const { return slot * slot_length; }
    std::uint32_t owner(std::uint32_t id, SlotNumber slot) const {
        return static_cast<std::uint32_t>(mix(std::uint64_t{id} << 32 ^ static_cast<std::uint64_t>(slot)) %
                                          node_count);
    }
    /// The number of units in a slot, at `rate` units per second. Units are spread evenly: at 0.3 units per
    /// slot, one slot in three or four has a unit.
    int units_in_slot(std::uint32_t id, SlotNumber slot, double rate) const {
        const double units = rate * static_cast<double>(slot_length) / 10000;
        const double offset =
            std::fmod(static_cast<double>(slot) * golden_ratio + static_cast<double>(mix(id) >> 40), 1.0);
        return static_cast<int>(std::min(std::max(units, 0.0), max_units) + offset);
    }
    /// Whether the slot began after this incarnation of the node. An earlier incarnation may have spent the
    /// units of earlier slots.
    bool in_this_incarnation(SlotNumber slot) const { return slot_begin(slot) > incarnation_started_at; }
    bool is_spendable(SlotNumber slot, Ticks now) const {
        return in_this_incarnation(slot) && slot_begin(slot) <= now && now < slot_begin(slot) + spendable_for;
    }
    /// Restores a slot number from its low 32 bits: of the slots with these bits, the one nearest to `now`.
    SlotNumber expand_slot(std::uint32_t low, Ticks now) const {
        const SlotNumber near = slot_at(now);
        return near + static_cast<std::int32_t>(low - static_cast<std::uint32_t>(near));
    }

    static constexpr double golden_ratio = 0.6180339887498949, max_units = 1000;  // max_units: of a slot
    static std::uint64_t mix(std::uint64_t x) {  // the finalizer of splitmix64
        x += 0x9e3779b97f4a7c15U;
        x = (x ^ x >> 30) * 0xbf58476d1ce4e5b9U;
        x = (x ^ x >> 27) * 0x94d049bb133111ebU;
        return x ^ x >> 31;
    }
};

/// One node's share of one quota. Its size is fixed, since it tracks only the slots that can still be spent.
/// In all calls `id` is the id of the quota and `rate` its rate in units per second.
class Quota {
  public:
    /// The units that this node may spend now.
    int available(const QuotaSchedule& schedule, std::uint32_t id, double rate, Ticks now) const;
    /// The units of one slot that this node may spend now.
    int available_in_slot(const QuotaSchedule& schedule, std::uint32_t id, double rate, SlotNumber slot,
                          Ticks now) const {
        return schedule.is_spendable(slot, now) ? unspent_units(schedule, id, rate, slot) : 0;
    }
    /// Spends the oldest unit; false if there is none.
    bool spend(const QuotaSchedule& schedule, std::uint32_t id, double rate, Ticks now);

    struct LeaseRequest {
        std::uint32_t node;  // the owner of the slot
        SlotNumber slot;
    };
    /// Chooses the newest slot of another node that has units and has not been requested yet, marks it as
    /// requested and returns it; nothing if there is none.
    std::optional<LeaseRequest> request_lease(const QuotaSchedule& schedule, std::uint32_t id, double rate,
                                              Ticks now);
    /// Grants another node a unit of a slot that this node owns. True if the unit was available; it is
    /// deducted from this node's share.
    bool grant_lease(const QuotaSchedule& schedule, std::uint32_t id, SlotNumber slot, double rate,
                     Ticks now);
    /// Node `from` granted this node a unit of a slot. False, without effect, if the grant is not valid:
    /// `from` is not the owner, this node did not request it, it has been accepted before, or the slot cannot
    /// be spent now.
    bool accept_lease(const QuotaSchedule& schedule, std::uint32_t id, SlotNumber slot, std::uint32_t from,
                      Ticks now);

    /// The state of the slots with a number of at least `from`, as bytes. Quotas with equal bytes behave
    /// alike for these slots.
    std::string serialize(SlotNumber from) const;

  private:
    struct Slot {
        SlotNumber number = -1;
        std::int16_t spent = 0;
        std::int8_t leased = 0;
        bool requested = false;
    };
    // More slots than can be spendable at a time.
    static constexpr SlotNumber tracked_slots = 16;
    // Returns the entry of the slot, after a reset if it held an older slot; null if it holds a newer one.
    Slot* claim_slot(SlotNumber slot);
    // The entry of the slot; null if it holds another slot.
    const Slot* find_slot(SlotNumber slot) const {
        const Slot& entry = slots_[static_cast<std::size_t>(slot % tracked_slots)];
        return entry.number == slot ? &entry : nullptr;
    }
    // The units of a slot that this node owns or has leased, minus those spent or granted to others.
    int unspent_units(const QuotaSchedule& schedule, std::uint32_t id, double rate, SlotNumber slot) const;
    std::array<Slot, tracked_slots> slots_{};
};

}  // namespace lemonstair::quota
