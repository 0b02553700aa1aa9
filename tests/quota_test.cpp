// Quotas: tests of one quota, and a checker that explores the whole schedule.
#include "quota/quota_schedule.h"

#define XXH_INLINE_ALL
#include <doctest/doctest.h>
#include <xxhash.h>

#include <cstring>
#include <string>
#include <unordered_set>
#include <vector>

#include "balancer_fixture.h"

using lemonstair::quota::Quota;
using lemonstair::quota::QuotaSchedule;
using lemonstair::quota::SlotNumber;
using lemonstair::quota::Ticks;

namespace {

constexpr Ticks slot = 1000, keep = 8000;
constexpr std::uint32_t budget = 77;

std::vector<QuotaSchedule> fleet(std::uint32_t nodes, Ticks born) {
    std::vector<QuotaSchedule> all;
    for (std::uint32_t n = 0; n < nodes; ++n) all.push_back({n, nodes, slot, keep, born});
    return all;
}

// The first slot from one on that a node owns and that has a unit.
SlotNumber owned(const QuotaSchedule& d, double rate, SlotNumber from) {
    while (d.owner(budget, from) != d.own_node || d.units_in_slot(budget, from, rate) == 0) ++from;
    return from;
}

}  // namespace

TEST_CASE("nodes that hear nothing of each other together never exceed a budget in any window") {
    for (const double rate : {0.7, 3.0, 40.0}) {
        const auto all = fleet(60, 0);
        std::vector<Quota> shares(all.size());
        std::vector<Ticks> spent;
        for (Ticks now = 2 * keep; now < 60 * keep; now += 100)
            for (std::size_t n = 0; n < all.size(); ++n)
                while (shares[n].spend(all[n], budget, rate, now)) spent.push_back(now);
        const Ticks window = 15000;
        const double bears = rate * static_cast<double>(window + keep) / 10000;
        for (std::size_t first = 0, last = 0; last < spent.size(); ++last) {
            while (spent[last] - spent[first] > window) ++first;
            CHECK(static_cast<double>(last - first + 1) <= bears + 2);
        }
        const double all_of_it = rate * 58 * static_cast<double>(keep) / 10000;
        CHECK(static_cast<double>(spent.size()) > 0.97 * all_of_it - 2);
        CHECK(static_cast<double>(spent.size()) < 1.03 * all_of_it + 2);
    }
}

TEST_CASE("a restarted node has no quota that its earlier incarnation may have spent") {
    QuotaSchedule d{0, 3, slot, keep, 0};
    const SlotNumber n = owned(d, 20, 100);
    Quota before, after;
    CHECK(before.spend(d, budget, 20, d.slot_begin(n)));
    d.incarnation_started_at = d.slot_begin(n) + 10;
    CHECK(after.available(d, budget, 20, d.slot_begin(n) + 10) == 0);
    const SlotNumber next = owned(d, 20, n + 1);
    CHECK(after.available(d, budget, 20, d.slot_begin(next)) > 0);
}

TEST_CASE("a process that was suspended resumes without expired quota") {
    const QuotaSchedule d{1, 3, slot, keep, 0};
    const SlotNumber n = owned(d, 20, 100);
    Quota share;
    CHECK(share.available(d, budget, 20, d.slot_begin(n)) >= 1);
    const Ticks wakes = d.slot_begin(n) + 50000;
    int live = 0;
    for (SlotNumber s = d.slot_at(wakes - keep); s <= d.slot_at(wakes); ++s)
        live += d.is_spendable(s, wakes) && d.owner(budget, s) == 1 ? d.units_in_slot(budget, s, 20) : 0;
    CHECK(share.available(d, budget, 20, wakes) == live);
}

TEST_CASE("a leased unit leaves the lender's quota, counts once, and is refused where it is not valid") {
    const auto all = fleet(3, 0);
    constexpr double rate = 10;  // a unit a slot
    Quota lender, taker;
    SlotNumber n = owned(all[0], rate, 100);
    while (all[0].owner(budget, n - 1) == 0) n = owned(all[0], rate, n + 1);
    const Ticks now = all[0].slot_begin(n);
    const int had = lender.available(all[0], budget, rate, now);
    CHECK(!taker.accept_lease(all[1], budget, n, 0, now));  // nobody asked
    for (;;) {
        const auto ask = taker.request_lease(all[1], budget, rate, now);
        REQUIRE(ask.has_value());
        if (ask->slot == n) break;
    }
    CHECK(!taker.accept_lease(all[1], budget, n, 2, now));  // not the owner
    CHECK(lender.grant_lease(all[0], budget, n, rate, now));
    CHECK(lender.available(all[0], budget, rate, now) == had - 1);
    CHECK(!lender.grant_lease(all[0], budget, n, rate, now));
    CHECK(!lender.grant_lease(all[0], budget, n - 1, rate, now));  // of another's slot
    CHECK(!lender.grant_lease(all[0], budget, n, rate,
                              now + Ticks{3600} * 10000));  // asked again an hour later
    const int own = taker.available(all[1], budget, rate, now);
    CHECK(taker.accept_lease(all[1], budget, n, 0, now));
    CHECK(taker.available(all[1], budget, rate, now) == own + 1);
    CHECK(!taker.accept_lease(all[1], budget, n, 0, now));  // doubled on its way
    Quota late;
    while (const auto ask = late.request_lease(all[1], budget, rate, now)) static_cast<void>(ask);
    CHECK(!late.accept_lease(all[1], budget, n, 0, now + keep));  // too late
    QuotaSchedule restarted = all[1];
    restarted.incarnation_started_at = now + 1;
    Quota again;
    CHECK(!again.accept_lease(restarted, budget, n, 0, now + 2));  // lent to the life before
    CHECK(!taker.accept_lease(all[1], budget, n + 1000000, 0, now));
}

TEST_CASE("a slot number is recovered from its low bits, and one from far away is not valid") {
    const QuotaSchedule d{0, 3, slot, keep, 0};
    const Ticks now = 17'000'000'000'000;
    for (const SlotNumber off : {-8, 0, 3})
        CHECK(d.expand_slot(static_cast<std::uint32_t>(d.slot_at(now) + off), now) == d.slot_at(now) + off);
    CHECK(!d.is_spendable(d.expand_slot(static_cast<std::uint32_t>(d.slot_at(now)) + 0x7fffffffU, now), now));
    CHECK(!d.is_spendable(d.expand_slot(static_cast<std::uint32_t>(d.slot_at(now)) + 0x80000001U, now), now));
}

// ---- the checker

namespace {

enum class Mistake { none, lends_without_debit, restart_keeps_share, replay_counts };

// Three nodes, two budgets, a unit a slot of each. In any state a node may spend,
// ask, restart; a message may come (and stay on its way: doubled, or come later: overtaken) or never come;
// time may go on by a slot.
constexpr std::uint32_t nodes = 3, budgets = 2;
constexpr SlotNumber first = 8, slots = 3;
constexpr SlotNumber lives = 1;  // so many slots at a time
constexpr Ticks short_keep = lives * slot;
constexpr double unit_a_slot = 10;
constexpr std::size_t most_messages = 2, most_restarts = 1;

struct Datagram {
    std::uint8_t from, to, what, n;  // what: budget, and 128 where it lends
    bool operator==(const Datagram&) const = default;
};

struct World {
    std::uint8_t now = first, restarts = 0, letters = 0;
    std::array<std::uint8_t, nodes> born{};  // in half slots
    std::array<std::array<Quota, budgets>, nodes> share{};
    std::array<std::array<Quota, budgets>, nodes> replayed{};  // of a wilful mistake only
    std::array<std::array<std::uint8_t, slots>, budgets> spent{};
    std::array<Datagram, most_messages> letter{};
    QuotaSchedule dealing(std::uint32_t n) const { return {n, nodes, slot, short_keep, born[n] * slot / 2}; }
    Ticks time() const { return now * slot; }
};

struct Found {
    std::size_t states = 0;
    bool passed = false, never_back = false;
};

std::string key_of(const World& w) {
    std::string key;
    const auto put = [&](const auto& x) { key.append(reinterpret_cast<const char*>(&x), sizeof x); };
    put(w.now), put(w.restarts), put(w.letters), put(w.born), put(w.letter);
    for (const auto& of : w.spent)
        for (SlotNumber s = std::max<SlotNumber>(w.now - lives + 1 - first, 0); s < slots; ++s)
            put(of[static_cast<std::size_t>(s)]);
    for (std::uint32_t n = 0; n < nodes; ++n)
        for (std::uint32_t b = 0; b < budgets; ++b) {
            key += w.share[n][b].serialize(w.now - lives + 1) + '|';
            key += w.replayed[n][b].serialize(w.now - lives + 1) + '|';
        }
    return key;
}

class Checker {
  public:
    explicit Checker(Mistake m) : mistake_(m) {}
    Found run() {
        seen({});
        while (!open_.empty() && !found_.passed) {
            const World w = open_.back();
            open_.pop_back();
            look(w);
        }
        return found_;
    }

  private:
    void seen(const World& w) {
        const std::string key = key_of(w);
        if (!known_.insert(XXH3_64bits(key.data(), key.size())).second) return;
        ++found_.states;
        open_.push_back(w);
    }
    void post(World& w, const Datagram& l) {
        for (std::size_t i = 0; i < w.letters; ++i)
            if (w.letter[i] == l) return;
        if (w.letters < most_messages) w.letter[w.letters++] = l;
    }
    void spend(World w, std::uint32_t n, std::uint32_t b, bool of_replayed) {
        Quota& share = of_replayed ? w.replayed[n][b] : w.share[n][b];
        const QuotaSchedule d = w.dealing(n);
        std::array<int, slots> before{};
        const auto left = [&](SlotNumber s) {
            return share.available_in_slot(d, b, unit_a_slot, first + s, w.time());
        };
        for (SlotNumber s = 0; s < slots; ++s) before[static_cast<std::size_t>(s)] = left(s);
        if (!share.spend(d, b, unit_a_slot, w.time())) return;
        for (SlotNumber s = 0; s < slots; ++s)
            if (left(s) < before[static_cast<std::size_t>(s)]) {
                auto& spent = w.spent[b][static_cast<std::size_t>(s)];
                if (++spent > d.units_in_slot(b, first + s, unit_a_slot)) found_.passed = true;
            }
        seen(w);
    }
    void look(const World& w) {
        for (std::uint32_t n = 0; n < nodes; ++n) {
            const QuotaSchedule d = w.dealing(n);
            for (std::uint32_t b = 0; b < budgets; ++b) {
                spend(w, n, b, false);
                if (mistake_ == Mistake::replay_counts) spend(w, n, b, true);
                World asks = w;
                if (const auto a = asks.share[n][b].request_lease(d, b, unit_a_slot, w.time())) {
                    post(asks, {static_cast<std::uint8_t>(n), static_cast<std::uint8_t>(a->node),
                                static_cast<std::uint8_t>(b), static_cast<std::uint8_t>(a->slot)});
                    seen(asks);
                }
            }
            if (w.restarts < most_restarts) {
                World again = w;
                ++again.restarts;
                for (std::uint32_t b = 0; b < budgets; ++b) again.share[n][b] = again.replayed[n][b] = {};
                if (mistake_ != Mistake::restart_keeps_share)
                    again.born[n] = static_cast<std::uint8_t>(2 * w.now + 1);  // within the slot
                seen(again);
            }
        }
        for (std::size_t i = 0; i < w.letters; ++i) {
            World comes = w;
            deliver_gossip(comes, w.letter[i]);
            seen(comes);  // it may come once more
            World lost = w;
            lost.letter[i] = lost.letter[--lost.letters];
            lost.letter[lost.letters] = {};
            seen(lost);
        }
        if (w.now + 1 < first + slots) {
            World later = w;
            ++later.now;
            restart(later);
            seen(later);
        }
    }
    void deliver_gossip(World& w, const Datagram& l) {
        const QuotaSchedule d = w.dealing(l.to);
        const std::uint32_t b = l.what & 127U;
        if ((l.what & 128U) != 0) {
            if (w.share[l.to][b].accept_lease(d, b, l.n, l.from, w.time()) ||
                mistake_ != Mistake::replay_counts)
                return;
            Quota& more = w.replayed[l.to][b];
            while (more.request_lease(d, b, unit_a_slot, w.time())) continue;
            static_cast<void>(more.accept_lease(d, b, l.n, l.from, w.time()));
            return;
        }
        Quota forgetful = w.share[l.to][b];
        Quota& share = mistake_ == Mistake::lends_without_debit ? forgetful : w.share[l.to][b];
        if (share.grant_lease(d, b, l.n, unit_a_slot, w.time()))
            post(w, {l.to, l.from, static_cast<std::uint8_t>(l.what | 128U), l.n});
    }
    // Whatever was lost: what a new slot has is there for its owner.
    void restart(const World& w) {
        for (std::uint32_t n = 0; n < nodes; ++n)
            for (std::uint32_t b = 0; b < budgets; ++b) {
                const QuotaSchedule d = w.dealing(n);
                if (d.owner(b, w.now) == n &&
                    w.share[n][b].available_in_slot(d, b, unit_a_slot, w.now, w.time()) !=
                        d.units_in_slot(b, w.now, unit_a_slot))
                    found_.never_back = true;
            }
    }
    Mistake mistake_;
    Found found_;
    std::unordered_set<std::uint64_t> known_;  // by hash: of some millions two alike are next to impossible
    std::vector<World> open_;
};

}  // namespace

TEST_CASE("in every state of three nodes and two budgets no slot is overspent, and lost quota returns") {
    const Found f = Checker(Mistake::none).run();
    MESSAGE("states: ", f.states);
    CHECK(f.states > 10000);
    CHECK(!f.passed);
    CHECK(!f.never_back);
}

TEST_CASE("the model checker finds injected faults of the quota schedule") {
    CHECK(Checker(Mistake::lends_without_debit).run().passed);
    CHECK(Checker(Mistake::restart_keeps_share).run().passed);
    CHECK(Checker(Mistake::replay_counts).run().passed);
}

// ---- what the node does with its share

namespace {
// How many of a hundred new tunnels go to a host that has just started, beside none other.
int sent_cold(fake::BalancerFixture& n, std::uint64_t first) {
    const auto before = n.attempts.size();
    for (std::uint64_t t = first; t < first + 100; ++t) n.on_request(t);
    return static_cast<int>(n.attempts.size() - before);
}
fake::BalancerConfig alone() {
    auto config = fake::BalancerFixture::default_config(0, 1);
    config.rules.slow_start_initial_factor = 0.9;
    return config;
}
}  // namespace

TEST_CASE("a node that resumes after a failed hot restart has no quota of the slots before") {
    using namespace fake;
    for (const bool again : {false, true}) {
        BalancerFixture n(alone());
        n.set_endpoints({7}, EndpointListKind::complete, EndpointState::active, 100 * s);
        n.advance(3 * s);
        if (again) n.balancer->resume_ownership();
        const int sent = sent_cold(n, 1);
        CHECK((again ? sent == 0 : sent >= 1));
        n.advance(1 * s);
        CHECK(sent_cold(n, 200) >= 1);
    }
}

TEST_CASE("a node whose budget window is reconfigured has no quota of the slots before") {
    using namespace fake;
    for (const Ticks fall : {15 * s / 10, 3 * s}) {
        BalancerFixture n(alone());
        n.set_endpoints({7}, EndpointListKind::complete, EndpointState::active, 100 * s);
        n.advance(3 * s);
        auto config = alone();
        config.rules.overload_window = fall;
        n.balancer->update_config(config);
        const int sent = sent_cold(n, 1);
        CHECK((fall > 2 * s ? sent == 0 : sent >= 1));
        n.advance(2 * s);
        CHECK(sent_cold(n, 200) >= 1);
    }
}

TEST_CASE("a mid-flow tunnel stays at its endpoint in slow start and spends no budget") {
    using namespace fake;
    BalancerFixture n(alone());
    n.set_endpoints({7}, EndpointListKind::complete, EndpointState::active, 100 * s);
    n.advance(3 * s);
    n.on_request(1, "k1");
    n.open(1);
    while (sent_cold(n, 1000 + n.attempts.size() * 100) > 0) n.advance(0);
    const auto before = n.attempts.size();
    n.on_request(2, "k1", true);
    CHECK(n.attempts.size() == before + 1);
    CHECK(n.last_attempt().endpoint == 7);
}

TEST_CASE("a mid-flow tunnel at an endpoint that has restarted since is new and spends budget") {
    using namespace fake;
    for (const bool restarted : {false, true}) {
        BalancerFixture n(alone());
        n.set_endpoints({7, 8}, EndpointListKind::complete, EndpointState::active, 10 * s);
        n.on_request(1, "k1");
        n.open(1);
        const auto ep = n.last_attempt().endpoint;
        n.advance(2 * s);
        if (restarted) n.set_endpoints({ep}, EndpointListKind::changes, EndpointState::active, n.now);
        n.on_request(2, "k1", true);
        CHECK((n.last_attempt().endpoint == ep) == !restarted);
    }
}
