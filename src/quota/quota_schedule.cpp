#include "quota/quota_schedule.h"

#include <algorithm>

namespace lemonstair::quota {

namespace {

// Calls each(slot) for the spendable slots, oldest first, until it returns true.
template <class Each>
void for_each_spendable_slot(const QuotaSchedule& schedule, Ticks now, Each&& each) {
    for (SlotNumber slot = schedule.slot_at(now - schedule.spendable_for); slot <= schedule.slot_at(now);
         ++slot)
        if (schedule.is_spendable(slot, now) && each(slot)) return;
}

}  // namespace

Quota::Slot* Quota::claim_slot(SlotNumber slot) {
    Slot& entry = slots_[static_cast<std::size_t>(slot % tracked_slots)];
    if (entry.number > slot) return nullptr;
    if (entry.number < slot) entry = {slot};
    return &entry;
}

// The rate is an estimate that changes, so more units may have been spent than the slot has at the present
// rate.
int Quota::unspent_units(const QuotaSchedule& schedule, std::uint32_t id, double rate,
                         SlotNumber slot) const {
    const Slot* entry = find_slot(slot);
    const int own =
        schedule.owner(id, slot) == schedule.own_node ? schedule.units_in_slot(id, slot, rate) : 0;
    if (entry == nullptr) return own;
    return std::max(0, own + entry->leased - entry->spent);
}

int Quota::available(const QuotaSchedule& schedule, std::uint32_t id, double rate, Ticks now) const {
    int sum = 0;
    for_each_spendable_slot(schedule, now, [&](SlotNumber slot) {
        sum += unspent_units(schedule, id, rate, slot);
        return false;
    });
    return sum;
}

bool Quota::spend(const QuotaSchedule& schedule, std::uint32_t id, double rate, Ticks now) {
    bool found = false;
    for_each_spendable_slot(schedule, now, [&](SlotNumber slot) {
        Slot* entry = unspent_units(schedule, id, rate, slot) > 0 ? claim_slot(slot) : nullptr;
        if (entry == nullptr) return false;
        ++entry->spent;
        return found = true;
    });
    return found;
}

std::optional<Quota::LeaseRequest> Quota::request_lease(const QuotaSchedule& schedule, std::uint32_t id,
                                                        double rate, Ticks now) {
    for (SlotNumber slot = schedule.slot_at(now); slot >= schedule.slot_at(now - schedule.spendable_for);
         --slot) {
        if (!schedule.is_spendable(slot, now) || schedule.owner(id, slot) == schedule.own_node ||
            schedule.units_in_slot(id, slot, rate) == 0)
            continue;
        Slot* entry = claim_slot(slot);
        if (entry == nullptr || entry->requested) continue;
        entry->requested = true;
        return LeaseRequest{schedule.owner(id, slot), slot};
    }
    return std::nullopt;
}

bool Quota::grant_lease(const QuotaSchedule& schedule, std::uint32_t id, SlotNumber slot, double rate,
                        Ticks now) {
    if (!schedule.is_spendable(slot, now) || schedule.owner(id, slot) != schedule.own_node) return false;
    Slot* entry = unspent_units(schedule, id, rate, slot) > 0 ? claim_slot(slot) : nullptr;
    if (entry == nullptr) return false;
    ++entry->spent;
    return true;
}

bool Quota::accept_lease(const QuotaSchedule& schedule, std::uint32_t id, SlotNumber slot, std::uint32_t from,
                         Ticks now) {
    if (!schedule.is_spendable(slot, now) || schedule.owner(id, slot) != from || from == schedule.own_node)
        return false;
    Slot* entry = claim_slot(slot);
    if (entry == nullptr || !entry->requested || entry->leased > 0) return false;
    entry->leased = 1;
    return true;
}

std::string Quota::serialize(SlotNumber from) const {
    std::string out;
    const auto put = [&](const auto& x) { out.append(reinterpret_cast<const char*>(&x), sizeof x); };
    for (const Slot& entry : slots_)
        if (entry.number >= from)
            put(entry.number), put(entry.spent), put(entry.leased), put(entry.requested);
    return out;
}

}  // namespace lemonstair::quota
