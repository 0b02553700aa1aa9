#include "quota/quota_schedule.h"

#include <algorithm>

namespace lemonstair::quota {

namespace {

template <class Each>
void oldest_first(const QuotaSchedule& d, Ticks now, Each&& each) {
    for (SlotNumber n = d.slot_at(now - d.spendable_for); n <= d.slot_at(now); ++n)
        if (d.is_spendable(n, now) && each(n)) return;
}

}  // namespace

Quota::Slot* Quota::at(SlotNumber n) {
    Slot& s = slots_[static_cast<std::size_t>(n % tracked_slots)];
    if (s.number > n) return nullptr;
    if (s.number < n) s = {n};
    return &s;
}

// The rate is an estimate that changes: a slot of which more was spent than it has by now is empty.
int Quota::free(const QuotaSchedule& d, std::uint32_t id, double rate, SlotNumber n) const {
    const Slot* s = find(n);
    const int own = d.owner(id, n) == d.own_node ? d.units_in_slot(id, n, rate) : 0;
    if (s == nullptr) return own;
    return std::max(0, own + s->leased - s->spent);
}

int Quota::available(const QuotaSchedule& d, std::uint32_t id, double rate, Ticks now) const {
    int sum = 0;
    oldest_first(d, now, [&](SlotNumber n) {
        sum += free(d, id, rate, n);
        return false;
    });
    return sum;
}

bool Quota::spend(const QuotaSchedule& d, std::uint32_t id, double rate, Ticks now) {
    bool done = false;
    oldest_first(d, now, [&](SlotNumber n) {
        Slot* s = free(d, id, rate, n) > 0 ? at(n) : nullptr;
        if (s == nullptr) return false;
        ++s->spent;
        return done = true;
    });
    return done;
}

std::optional<Quota::LeaseRequest> Quota::request_lease(const QuotaSchedule& d, std::uint32_t id, double rate,
                                                        Ticks now) {
    for (SlotNumber n = d.slot_at(now); n >= d.slot_at(now - d.spendable_for); --n) {
        if (!d.is_spendable(n, now) || d.owner(id, n) == d.own_node || d.units_in_slot(id, n, rate) == 0)
            continue;
        Slot* s = at(n);
        if (s == nullptr || s->requested) continue;
        s->requested = true;
        return LeaseRequest{d.owner(id, n), n};
    }
    return std::nullopt;
}

bool Quota::grant_lease(const QuotaSchedule& d, std::uint32_t id, SlotNumber n, double rate, Ticks now) {
    if (!d.is_spendable(n, now) || d.owner(id, n) != d.own_node) return false;
    Slot* s = free(d, id, rate, n) > 0 ? at(n) : nullptr;
    if (s == nullptr) return false;
    ++s->spent;
    return true;
}

bool Quota::accept_lease(const QuotaSchedule& d, std::uint32_t id, SlotNumber n, std::uint32_t from,
                         Ticks now) {
    if (!d.is_spendable(n, now) || d.owner(id, n) != from || from == d.own_node) return false;
    Slot* s = at(n);
    if (s == nullptr || !s->requested || s->leased > 0) return false;
    s->leased = 1;
    return true;
}

std::string Quota::serialize(SlotNumber from) const {
    std::string out;
    const auto put = [&](const auto& x) { out.append(reinterpret_cast<const char*>(&x), sizeof x); };
    for (const Slot& s : slots_)
        if (s.number >= from) put(s.number), put(s.spent), put(s.leased), put(s.requested);
    return out;
}

}  // namespace lemonstair::quota
