// Tests of fleet-wide quotas: of a single quota, of all states of a small fleet by a model checker, and of
// how the Balancer uses its quota.
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

constexpr Ticks slot_length = 1000, spendable_for = 8000;
constexpr std::uint32_t quota_id = 77;

std::vector<QuotaSchedule> fleet(std::uint32_t nodes, Ticks started_at) {
    std::vector<QuotaSchedule> schedules;
    for (std::uint32_t node = 0; node < nodes; ++node)
        schedules.push_back({node, nodes, slot_length, spendable_for, started_at});
    return schedules;
}

// The first slot, from `from` on, that the node owns and that has a unit.
SlotNumber owned(const QuotaSchedule& schedule, double rate, SlotNumber from) {
    while (schedule.owner(quota_id, from) != schedule.own_node ||
           schedule.units_in_slot(quota_id, from, rate) == 0)
        ++from;
    return from;
}

}  // namespace

// Nodes that spent more than their share would overload an endpoint in slow start together.
TEST_CASE(
    "nodes that exchange no messages together never exceed a quota in any window and use almost all of it") {
    for (const double rate : {0.7, 3.0, 40.0}) {
        const auto schedules = fleet(60, 0);
        std::vector<Quota> quotas(schedules.size());
        std::vector<Ticks> spent;
        for (Ticks now = 2 * spendable_for; now < 60 * spendable_for; now += 100)
            for (std::size_t node = 0; node < schedules.size(); ++node)
                while (quotas[node].spend(schedules[node], quota_id, rate, now)) spent.push_back(now);
        const Ticks window = 15000;
        const double limit = rate * static_cast<double>(window + spendable_for) / 10000;
        for (std::size_t first = 0, last = 0; last < spent.size(); ++last) {
            while (spent[last] - spent[first] > window) ++first;
            CHECK(static_cast<double>(last - first + 1) <= limit + 2);
        }
        const double total = rate * 58 * static_cast<double>(spendable_for) / 10000;
        CHECK(static_cast<double>(spent.size()) > 0.97 * total - 2);
        CHECK(static_cast<double>(spent.size()) < 1.03 * total + 2);
    }
}

// A new process does not know what the one before it has spent.
TEST_CASE("a restarted node does not spend units that its earlier incarnation may have spent") {
    QuotaSchedule schedule{0, 3, slot_length, spendable_for, 0};
    const SlotNumber slot = owned(schedule, 20, 100);
    Quota before, after;
    CHECK(before.spend(schedule, quota_id, 20, schedule.slot_begin(slot)));
    schedule.incarnation_started_at = schedule.slot_begin(slot) + 10;
    CHECK(after.available(schedule, quota_id, 20, schedule.slot_begin(slot) + 10) == 0);
    const SlotNumber next = owned(schedule, 20, slot + 1);
    CHECK(after.available(schedule, quota_id, 20, schedule.slot_begin(next)) > 0);
}

// Units that were saved up while a process was suspended would be spent in a burst.
TEST_CASE("a process that was suspended has no expired units when it resumes") {
    const QuotaSchedule schedule{1, 3, slot_length, spendable_for, 0};
    const SlotNumber slot = owned(schedule, 20, 100);
    Quota quota;
    CHECK(quota.available(schedule, quota_id, 20, schedule.slot_begin(slot)) >= 1);
    const Ticks resumed_at = schedule.slot_begin(slot) + 50000;
    int expected = 0;
    for (SlotNumber later = schedule.slot_at(resumed_at - spendable_for);
         later <= schedule.slot_at(resumed_at); ++later)
        expected += schedule.is_spendable(later, resumed_at) && schedule.owner(quota_id, later) == 1
                        ? schedule.units_in_slot(quota_id, later, 20)
                        : 0;
    CHECK(quota.available(schedule, quota_id, 20, resumed_at) == expected);
}

// Messages may be lost, duplicated, delayed or sent by a node that does not own the slot. No unit may be
// spent twice.
TEST_CASE(
    "a leased unit is deducted from the lender's quota, counts once and is refused if it is not valid") {
    const auto schedules = fleet(3, 0);
    constexpr double rate = 10;  // one unit per slot
    Quota lender, borrower;
    SlotNumber slot = owned(schedules[0], rate, 100);
    while (schedules[0].owner(quota_id, slot - 1) == 0) slot = owned(schedules[0], rate, slot + 1);
    const Ticks now = schedules[0].slot_begin(slot);
    const int available_before = lender.available(schedules[0], quota_id, rate, now);
    CHECK(!borrower.accept_lease(schedules[1], quota_id, slot, 0, now));  // not requested
    for (;;) {
        const auto request = borrower.request_lease(schedules[1], quota_id, rate, now);
        REQUIRE(request.has_value());
        if (request->slot == slot) break;
    }
    CHECK(!borrower.accept_lease(schedules[1], quota_id, slot, 2, now));  // not the owner
    CHECK(lender.grant_lease(schedules[0], quota_id, slot, rate, now));
    CHECK(lender.available(schedules[0], quota_id, rate, now) == available_before - 1);
    CHECK(!lender.grant_lease(schedules[0], quota_id, slot, rate, now));
    CHECK(!lender.grant_lease(schedules[0], quota_id, slot - 1, rate, now));  // a slot of another node
    // Requested again an hour later.
    CHECK(!lender.grant_lease(schedules[0], quota_id, slot, rate, now + Ticks{3600} * 10000));
    const int own = borrower.available(schedules[1], quota_id, rate, now);
    CHECK(borrower.accept_lease(schedules[1], quota_id, slot, 0, now));
    CHECK(borrower.available(schedules[1], quota_id, rate, now) == own + 1);
    CHECK(!borrower.accept_lease(schedules[1], quota_id, slot, 0, now));  // duplicated on its way
    Quota late;
    while (const auto request = late.request_lease(schedules[1], quota_id, rate, now))
        static_cast<void>(request);
    CHECK(!late.accept_lease(schedules[1], quota_id, slot, 0, now + spendable_for));  // too late
    QuotaSchedule restarted = schedules[1];
    restarted.incarnation_started_at = now + 1;
    Quota after_restart;
    CHECK(!after_restart.accept_lease(restarted, quota_id, slot, 0,
                                      now + 2));  // leased to the earlier incarnation
    CHECK(!borrower.accept_lease(schedules[1], quota_id, slot + 1000000, 0, now));
}

TEST_CASE("a slot number is restored from its low 32 bits, and a distant one is not valid") {
    const QuotaSchedule schedule{0, 3, slot_length, spendable_for, 0};
    const Ticks now = 17'000'000'000'000;
    for (const SlotNumber offset : {-8, 0, 3})
        CHECK(schedule.expand_slot(static_cast<std::uint32_t>(schedule.slot_at(now) + offset), now) ==
              schedule.slot_at(now) + offset);
    CHECK(!schedule.is_spendable(
        schedule.expand_slot(static_cast<std::uint32_t>(schedule.slot_at(now)) + 0x7fffffffU, now), now));
    CHECK(!schedule.is_spendable(
        schedule.expand_slot(static_cast<std::uint32_t>(schedule.slot_at(now)) + 0x80000001U, now), now));
}

// ---- The model checker.

namespace {

enum class Fault { none, grant_without_deduction, restart_keeps_units, replayed_grant_counts };

// The model: three nodes and two quotas with one unit per slot. In each state a node may spend a unit,
// request a lease or restart; a message may be delivered (and stay in transit, so that it may be duplicated
// or overtaken) or lost; and time may advance by one slot.
constexpr std::uint32_t node_count = 3, quota_count = 2;
constexpr SlotNumber first_slot = 8, slot_count = 3;
constexpr SlotNumber spendable_slots = 1;  // at a time
constexpr Ticks short_spendable_for = spendable_slots * slot_length;
constexpr double one_unit_per_slot = 10;
constexpr std::size_t max_messages = 2, max_restarts = 1;

struct Datagram {
    std::uint8_t from, to, quota_and_grant, slot;  // quota_and_grant: the quota, plus 128 for a grant
    bool operator==(const Datagram&) const = default;
};

struct State {
    std::uint8_t now = first_slot, restarts = 0, message_count = 0;
    std::array<std::uint8_t, node_count> started_at{};  // in half slots
    std::array<std::array<Quota, quota_count>, node_count> quotas{};
    std::array<std::array<Quota, quota_count>, node_count> replayed_quotas{};  // used with a fault only
    std::array<std::array<std::uint8_t, slot_count>, quota_count> spent{};
    std::array<Datagram, max_messages> messages{};
    QuotaSchedule schedule(std::uint32_t node) const {
        return {node, node_count, slot_length, short_spendable_for, started_at[node] * slot_length / 2};
    }
    Ticks time() const { return now * slot_length; }
};

struct Result {
    std::size_t states = 0;
    bool overspent = false, not_returned = false;
};

std::string serialize_state(const State& state) {
    std::string key;
    const auto put = [&](const auto& x) { key.append(reinterpret_cast<const char*>(&x), sizeof x); };
    put(state.now), put(state.restarts), put(state.message_count), put(state.started_at), put(state.messages);
    for (const auto& units_of_quota : state.spent)
        for (SlotNumber slot = std::max<SlotNumber>(state.now - spendable_slots + 1 - first_slot, 0);
             slot < slot_count; ++slot)
            put(units_of_quota[static_cast<std::size_t>(slot)]);
    for (std::uint32_t node = 0; node < node_count; ++node)
        for (std::uint32_t quota_index = 0; quota_index < quota_count; ++quota_index) {
            key += state.quotas[node][quota_index].serialize(state.now - spendable_slots + 1) + '|';
            key += state.replayed_quotas[node][quota_index].serialize(state.now - spendable_slots + 1) + '|';
        }
    return key;
}

class Checker {
  public:
    explicit Checker(Fault fault) : fault_(fault) {}
    Result run() {
        add_state({});
        while (!unexplored_.empty() && !result_.overspent) {
            const State state = unexplored_.back();
            unexplored_.pop_back();
            explore(state);
        }
        return result_;
    }

  private:
    void add_state(const State& state) {
        const std::string key = serialize_state(state);
        if (!known_states_.insert(XXH3_64bits(key.data(), key.size())).second) return;
        ++result_.states;
        unexplored_.push_back(state);
    }
    void post(State& state, const Datagram& message) {
        for (std::size_t i = 0; i < state.message_count; ++i)
            if (state.messages[i] == message) return;
        if (state.message_count < max_messages) state.messages[state.message_count++] = message;
    }
    void spend(State state, std::uint32_t node, std::uint32_t quota_index, bool from_replayed) {
        Quota& quota =
            from_replayed ? state.replayed_quotas[node][quota_index] : state.quotas[node][quota_index];
        const QuotaSchedule schedule = state.schedule(node);
        std::array<int, slot_count> before{};
        const auto available = [&](SlotNumber slot) {
            return quota.available_in_slot(schedule, quota_index, one_unit_per_slot, first_slot + slot,
                                           state.time());
        };
        for (SlotNumber slot = 0; slot < slot_count; ++slot)
            before[static_cast<std::size_t>(slot)] = available(slot);
        if (!quota.spend(schedule, quota_index, one_unit_per_slot, state.time())) return;
        for (SlotNumber slot = 0; slot < slot_count; ++slot)
            if (available(slot) < before[static_cast<std::size_t>(slot)]) {
                auto& spent = state.spent[quota_index][static_cast<std::size_t>(slot)];
                if (++spent > schedule.units_in_slot(quota_index, first_slot + slot, one_unit_per_slot))
                    result_.overspent = true;
            }
        add_state(state);
    }
    void explore(const State& state) {
        for (std::uint32_t node = 0; node < node_count; ++node) {
            const QuotaSchedule schedule = state.schedule(node);
            for (std::uint32_t quota_index = 0; quota_index < quota_count; ++quota_index) {
                spend(state, node, quota_index, false);
                if (fault_ == Fault::replayed_grant_counts) spend(state, node, quota_index, true);
                State requested = state;
                if (const auto request = requested.quotas[node][quota_index].request_lease(
                        schedule, quota_index, one_unit_per_slot, state.time())) {
                    post(requested,
                         {static_cast<std::uint8_t>(node), static_cast<std::uint8_t>(request->node),
                          static_cast<std::uint8_t>(quota_index), static_cast<std::uint8_t>(request->slot)});
                    add_state(requested);
                }
            }
            if (state.restarts < max_restarts) {
                State restarted = state;
                ++restarted.restarts;
                for (std::uint32_t quota_index = 0; quota_index < quota_count; ++quota_index)
                    restarted.quotas[node][quota_index] = restarted.replayed_quotas[node][quota_index] = {};
                if (fault_ != Fault::restart_keeps_units)
                    restarted.started_at[node] =
                        static_cast<std::uint8_t>(2 * state.now + 1);  // within the slot
                add_state(restarted);
            }
        }
        for (std::size_t i = 0; i < state.message_count; ++i) {
            State delivered = state;
            deliver(delivered, state.messages[i]);
            add_state(delivered);  // it may be delivered again
            State lost = state;
            lost.messages[i] = lost.messages[--lost.message_count];
            lost.messages[lost.message_count] = {};
            add_state(lost);
        }
        if (state.now + 1 < first_slot + slot_count) {
            State later = state;
            ++later.now;
            check_new_slot(later);
            add_state(later);
        }
    }
    void deliver(State& state, const Datagram& message) {
        const QuotaSchedule schedule = state.schedule(message.to);
        const std::uint32_t quota_index = message.quota_and_grant & 127U;
        if ((message.quota_and_grant & 128U) != 0) {
            if (state.quotas[message.to][quota_index].accept_lease(schedule, quota_index, message.slot,
                                                                   message.from, state.time()) ||
                fault_ != Fault::replayed_grant_counts)
                return;
            Quota& extra = state.replayed_quotas[message.to][quota_index];
            while (extra.request_lease(schedule, quota_index, one_unit_per_slot, state.time())) continue;
            static_cast<void>(
                extra.accept_lease(schedule, quota_index, message.slot, message.from, state.time()));
            return;
        }
        Quota unchanged = state.quotas[message.to][quota_index];
        Quota& quota =
            fault_ == Fault::grant_without_deduction ? unchanged : state.quotas[message.to][quota_index];
        if (quota.grant_lease(schedule, quota_index, message.slot, one_unit_per_slot, state.time()))
            post(state, {message.to, message.from, static_cast<std::uint8_t>(message.quota_and_grant | 128U),
                         message.slot});
    }
    // Whichever messages were lost, the owner of a new slot has all of its units.
    void check_new_slot(const State& state) {
        for (std::uint32_t node = 0; node < node_count; ++node)
            for (std::uint32_t quota_index = 0; quota_index < quota_count; ++quota_index) {
                const QuotaSchedule schedule = state.schedule(node);
                if (schedule.owner(quota_index, state.now) == node &&
                    state.quotas[node][quota_index].available_in_slot(
                        schedule, quota_index, one_unit_per_slot, state.now, state.time()) !=
                        schedule.units_in_slot(quota_index, state.now, one_unit_per_slot))
                    result_.not_returned = true;
            }
    }
    Fault fault_;
    Result result_;
    // By hash: a collision among a few million states is very unlikely.
    std::unordered_set<std::uint64_t> known_states_;
    std::vector<State> unexplored_;
};

}  // namespace

TEST_CASE("in every state of three nodes and two quotas no slot is overspent and no unit is lost for good") {
    const Result result = Checker(Fault::none).run();
    MESSAGE("states: ", result.states);
    CHECK(result.states > 10000);
    CHECK(!result.overspent);
    CHECK(!result.not_returned);
}

TEST_CASE("the model checker finds injected faults of the quota schedule") {
    CHECK(Checker(Fault::grant_without_deduction).run().overspent);
    CHECK(Checker(Fault::restart_keeps_units).run().overspent);
    CHECK(Checker(Fault::replayed_grant_counts).run().overspent);
}

// ---- How the Balancer uses its quota.

namespace {
// Requests a hundred new tunnels and returns how many were placed. The only endpoint is in slow start.
int place_tunnels(fake::BalancerFixture& node, std::uint64_t first) {
    const auto before = node.attempts.size();
    for (std::uint64_t tunnel = first; tunnel < first + 100; ++tunnel) node.on_request(tunnel);
    return static_cast<int>(node.attempts.size() - before);
}
fake::BalancerConfig single_node_config() {
    auto config = fake::BalancerFixture::default_config(0, 1);
    config.rules.slow_start_initial_factor = 0.9;
    return config;
}
}  // namespace

// The process that had taken over may have spent the units of these slots.
TEST_CASE("a node that resumes after a failed hot restart does not spend units of earlier slots") {
    using namespace fake;
    for (const bool resumed : {false, true}) {
        BalancerFixture node(single_node_config());
        node.set_endpoints({7}, EndpointListKind::complete, EndpointState::active, 100 * s);
        node.advance(3 * s);
        if (resumed) node.balancer->resume_ownership();
        const int placed = place_tunnels(node, 1);
        CHECK((resumed ? placed == 0 : placed >= 1));
        node.advance(1 * s);
        CHECK(place_tunnels(node, 200) >= 1);
    }
}

// The overload window sets the length of slots, so units of old slots could be spent again in new ones.
TEST_CASE("a node whose overload window is reconfigured does not spend units of earlier slots") {
    using namespace fake;
    for (const Ticks overload_window : {15 * s / 10, 3 * s}) {
        BalancerFixture node(single_node_config());
        node.set_endpoints({7}, EndpointListKind::complete, EndpointState::active, 100 * s);
        node.advance(3 * s);
        auto config = single_node_config();
        config.rules.overload_window = overload_window;
        node.balancer->update_config(config);
        const int placed = place_tunnels(node, 1);
        CHECK((overload_window > 2 * s ? placed == 0 : placed >= 1));
        node.advance(2 * s);
        CHECK(place_tunnels(node, 200) >= 1);
    }
}

// The endpoint already carries this tunnel. Placing it elsewhere would break it.
TEST_CASE("a mid-flow tunnel stays on its endpoint in slow start and spends no quota") {
    using namespace fake;
    BalancerFixture node(single_node_config());
    node.set_endpoints({7}, EndpointListKind::complete, EndpointState::active, 100 * s);
    node.advance(3 * s);
    node.on_request(1, "k1");
    node.open(1);
    while (place_tunnels(node, 1000 + node.attempts.size() * 100) > 0) node.advance(0);
    const auto before = node.attempts.size();
    node.on_request(2, "k1", true);
    CHECK(node.attempts.size() == before + 1);
    CHECK(node.last_attempt().endpoint == 7);
}

// The restarted endpoint no longer knows the tunnel.
TEST_CASE("a mid-flow tunnel whose endpoint has restarted since is placed like a new one") {
    using namespace fake;
    for (const bool restarted : {false, true}) {
        BalancerFixture node(single_node_config());
        node.set_endpoints({7, 8}, EndpointListKind::complete, EndpointState::active, 10 * s);
        node.on_request(1, "k1");
        node.open(1);
        const auto endpoint = node.last_attempt().endpoint;
        node.advance(2 * s);
        if (restarted)
            node.set_endpoints({endpoint}, EndpointListKind::changes, EndpointState::active, node.now);
        node.on_request(2, "k1", true);
        CHECK((node.last_attempt().endpoint == endpoint) == !restarted);
    }
}
