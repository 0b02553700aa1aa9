#include "quota/quota_schedule.h"

#include <algorithm>

namespace lemonstair::quota {

namespace {

template <class Each>
void oldest_first(const QuotaSchedule& d, Ticks now, Each&& each) {
    for (SlotNumber n = d.slot_at(now - d.keep); n <= d.slot_at(now); ++n)
        if (d.live(n, now) && each(n)) return;
}

}  // namespace

Quota::Slot* Quota::at(SlotNumber n) {
    Slot& s = slots_[static_cast<std::size_t>(n % kept)];
    if (s.number > n) return nullptr;
    if (s.number < n) s = {n};
    return &s;
}

// Estimates of a rate change: a slot of which more was spent than it has by now has nothing left, no more.
int Quota::free(const QuotaSchedule& d, std::uint32_t id, double a_second, SlotNumber n) const {
    const Slot* s = find(n);
    const int own = d.owner(id, n) == d.me ? d.units(id, n, a_second) : 0;
    if (s == nullptr) return own;
    return std::max(0, own + s->borrowed - s->taken);
}

int Quota::left(const QuotaSchedule& d, std::uint32_t id, double a_second, Ticks now) const {
    int sum = 0;
    oldest_first(d, now, [&](SlotNumber n) {
        sum += free(d, id, a_second, n);
        return false;
    });
    return sum;
}

bool Quota::spend(const QuotaSchedule& d, std::uint32_t id, double a_second, Ticks now) {
    bool done = false;
    oldest_first(d, now, [&](SlotNumber n) {
        Slot* s = free(d, id, a_second, n) > 0 ? at(n) : nullptr;
        if (s == nullptr) return false;
        ++s->taken;
        return done = true;
    });
    return done;
}

std::optional<Quota::Ask> Quota::ask(const QuotaSchedule& d, std::uint32_t id, double a_second, Ticks now) {
    for (SlotNumber n = d.slot_at(now); n >= d.slot_at(now - d.keep); --n) {
        if (!d.live(n, now) || d.owner(id, n) == d.me || d.units(id, n, a_second) == 0) continue;
        Slot* s = at(n);
        if (s == nullptr || s->asked) continue;
        s->asked = true;
        return Ask{d.owner(id, n), n};
    }
    return std::nullopt;
}

bool Quota::lend(const QuotaSchedule& d, std::uint32_t id, SlotNumber n, double a_second, Ticks now) {
    if (!d.live(n, now) || d.owner(id, n) != d.me) return false;
    Slot* s = free(d, id, a_second, n) > 0 ? at(n) : nullptr;
    if (s == nullptr) return false;
    ++s->taken;
    return true;
}

bool Quota::borrow(const QuotaSchedule& d, std::uint32_t id, SlotNumber n, std::uint32_t from, Ticks now) {
    if (!d.live(n, now) || d.owner(id, n) != from || from == d.me) return false;
    Slot* s = at(n);
    if (s == nullptr || !s->asked || s->borrowed > 0) return false;
    s->borrowed = 1;
    return true;
}

std::string Quota::told(SlotNumber from) const {
    std::string out;
    const auto put = [&](const auto& x) { out.append(reinterpret_cast<const char*>(&x), sizeof x); };
    for (const Slot& s : slots_)
        if (s.number >= from) put(s.number), put(s.taken), put(s.borrowed), put(s.asked);
    return out;
}

}  // namespace lemonstair::quota
