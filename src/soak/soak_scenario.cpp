#include "soak/soak_scenario.h"

#include <algorithm>
#include <array>

#include "simnet/random_source.h"

namespace lemonstair::soak {

namespace {

using simnet::RandomSource;
using simnet::Ticks;
using simulation::Fault;
using simulation::FaultKind;
using simulation::Scenario;

constexpr Ticks second = 10000, ms = 10;
constexpr Ticks day_span = 9 * second;
constexpr std::int64_t fewest_nodes = 10, most_nodes = 40;
constexpr std::int64_t hour_ms = 3600000;

// Each collision is two or three of these within a second of each other.
constexpr std::array troubles{FaultKind::node_kill,
                              FaultKind::node_leave,
                              FaultKind::node_leave,
                              FaultKind::node_leave,
                              FaultKind::node_stall,
                              FaultKind::node_reload,
                              FaultKind::node_reload_broken,
                              FaultKind::node_vanish,
                              FaultKind::discovery_move,
                              FaultKind::discovery_down,
                              FaultKind::discovery_silent,
                              FaultKind::discovery_slow,
                              FaultKind::discovery_spoilt,
                              FaultKind::discovery_anew,
                              FaultKind::host_drain,
                              FaultKind::host_drain,
                              FaultKind::host_hang,
                              FaultKind::host_kill,
                              FaultKind::host_kill,
                              FaultKind::host_vanish,
                              FaultKind::host_errors,
                              FaultKind::host_full,
                              FaultKind::host_resets,
                              FaultKind::host_sends_away,
                              FaultKind::path_cut,
                              FaultKind::nodes_apart,
                              FaultKind::nodes_deaf,
                              FaultKind::datagrams_lost,
                              FaultKind::datagrams_doubled,
                              FaultKind::nodes_cut_from_hosts,
                              FaultKind::crowd,
                              FaultKind::rude};

std::uint32_t whole(RandomSource& chance, std::int64_t from, std::int64_t to) {
    return static_cast<std::uint32_t>(chance.between(from, to));
}

Fault draw_fault(RandomSource& chance, const Scenario& day, Ticks at) {
    Fault fault;
    fault.kind = troubles[whole(chance, 0, troubles.size() - 1)];
    const simulation::FaultRow& row = simulation::row_of(fault.kind);
    using Who = simulation::FaultRow::Who;
    fault.at = at;
    if (row.spans) fault.span = chance.between(200 * ms, 3 * second);
    if (row.who == Who::node) fault.who = whole(chance, 0, day.nodes - 1);
    if (row.who == Who::host) fault.who = whole(chance, 0, day.hosts - 1);
    if (row.measured) fault.much = chance.between(0.1, 0.9);
    if (row.counted) fault.count = whole(chance, 1, std::max<std::int64_t>(1, day.nodes / 3));
    switch (fault.kind) {
        case FaultKind::path_cut:
            fault.other = whole(chance, 0, day.hosts - 1);
            break;
        case FaultKind::node_leave:
            fault.count = whole(chance, 1, day.nodes / 3);
            fault.span = chance.between(100 * ms, second);
            break;
        case FaultKind::node_kill:
            fault.count = whole(chance, 1, day.nodes / 3);
            break;
        case FaultKind::crowd:
            fault.count = whole(chance, 30, 200);
            fault.span = second;
            break;
        case FaultKind::rude:
            fault.count = whole(chance, 5, 60);
            fault.other = whole(chance, 0, fakes::Rude::kinds - 1);
            break;
        case FaultKind::discovery_spoilt:
            fault.count = whole(chance, 1, 3);
            break;
        default:
            break;
    }
    return fault;
}

// Many small tunnels, and hosts that bear few of them for as long as they are cold: the budget of a cold host
// binds.
void make_cold_fleet(RandomSource& chance, Scenario& day) {
    day.hosts = 8;
    day.cold_hosts = 4;
    day.alike = true;
    day.groups = false;
    day.packet_passthrough = false;
    day.sockets = 512;
    day.members = day.nodes * whole(chance, 30, 45);
    day.tunnel_load = 0.02;
    day.least_life = 4 * second;
    day.more_life = 0;
    day.host.cores = 2.32;
    day.host.slow_start_initial_factor = 0.172;
    day.faults.push_back(draw_fault(chance, day, second / 2));
    Fault restart;
    restart.kind = FaultKind::host_kill;
    restart.at = chance.between(second / 2, 3 * second);
    restart.span = second / 2;
    day.faults.push_back(restart);
}

}  // namespace

Scenario draw_soak_day(std::uint64_t seed, std::uint32_t nodes) {
    RandomSource chance(seed * 0x9e3779b97f4a7c15U + 0x50a4);
    Scenario day;
    day.seed = seed;
    day.span = day_span;
    day.nodes = nodes > 0 ? nodes : whole(chance, fewest_nodes, most_nodes);
    day.hosts = whole(chance, 4, 12);
    day.cold_hosts = chance.odds(0.5) ? whole(chance, 1, 3) : 0;
    day.members = whole(chance, 200, 700);
    day.packet_passthrough = chance.odds(0.4);
    day.peers = chance.odds(0.7);
    day.probing = chance.odds(0.7);
    day.groups = chance.odds(0.4);
    day.must_poll = chance.odds(0.4);
    day.sockets = whole(chance, 96, 384);
    day.max_attempts = static_cast<int>(chance.between(std::int64_t{1}, std::int64_t{4}));
    day.peer_price = chance.odds(0.5) ? 0.0001 : 0.05;
    day.load = chance.between(0.3, 0.6);
    day.arrive_within = 8 * second;
    day.least_life = second / 2;
    day.more_life = chance.between(2 * second, 8 * second);
    day.manners.impatient = chance.odds(0.5) ? 0.1 : 0.0;
    day.manners.slow_readers = chance.odds(0.3) ? 0.05 : 0.0;
    day.weather.lost = chance.odds(0.3) ? 0.05 : 0;
    day.held_up = 1500;
    day.answer_slack = second / 2;
    day.slow_start_judged = true;
    if (chance.odds(0.3)) make_cold_fleet(chance, day);
    const std::int64_t collisions = chance.between(std::int64_t{1}, std::int64_t{2});
    for (std::int64_t c = 0; c < collisions; ++c) {
        const Ticks at = chance.between(second, 5 * second);
        const std::int64_t overlapping = chance.between(std::int64_t{2}, std::int64_t{3});
        for (std::int64_t i = 0; i < overlapping; ++i)
            day.faults.push_back(draw_fault(chance, day, at + chance.between(Ticks{0}, second)));
    }
    std::stable_sort(day.faults.begin(), day.faults.end(),
                     [](const Fault& a, const Fault& b) { return a.at < b.at; });
    return day;
}

FaultPlan draw_plan(std::uint64_t seed, std::uint32_t node, std::uint32_t life) {
    RandomSource day(seed * 0x2545f4914f6cdd1dU + 0xc10c);
    // What meets the whole fleet, or a half of it, on this day.
    constexpr std::array<std::int64_t, 4> steps{hour_ms, -hour_ms, 5000, -5000};
    const bool clocks = day.odds(0.4), calls = day.odds(0.4), shorts = day.odds(0.3), holds = day.odds(0.3);
    const std::int64_t step = steps[static_cast<std::size_t>(day.between(std::int64_t{0}, std::int64_t{3}))];
    const double share = day.odds(0.5) ? 0.5 : 1;
    const bool only_restarted = day.odds(0.5);
    const bool at_start = day.odds(0.2);

    RandomSource own = RandomSource(seed ^ (std::uint64_t{node} << 32 | life)).part(3);
    FaultPlan plan;
    plan.seed = own.bits();
    if (clocks && own.odds(share) && (!only_restarted || life > 1)) plan.wall_offset_ms = step;
    if (clocks && only_restarted) {
        plan.wall_step_after_ms = own.between(std::int64_t{1000}, std::int64_t{6000});
        plan.wall_step_ms = step;
    }
    if (calls) {
        plan.calls_from_ms = at_start ? 0 : own.between(std::int64_t{1500}, std::int64_t{6000});
        plan.calls_until_ms = plan.calls_from_ms + (at_start ? 300 : 1500);
        for (double* odds : {&plan.accept, &plan.socket, &plan.connect, &plan.poll, &plan.send, &plan.recv})
            *odds = own.odds(0.5) ? own.between(0.01, 0.2) : 0;
        plan.file = own.odds(0.5) ? 0.5 : 0;
    }
    if (shorts) plan.short_io = own.between(0.05, 0.5);
    if (holds) {
        plan.hold_every_ms = 700;
        plan.hold_ms = 150;
    }
    return plan;
}

}  // namespace lemonstair::soak
