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
constexpr Ticks scenario_span = 9 * second;
constexpr std::int64_t fewest_nodes = 10, most_nodes = 40;
constexpr std::int64_t hour_ms = 3600000;

// Each collision is two or three of these within a second of each other.
constexpr std::array troubles{
    FaultKind::node_kill,          FaultKind::node_leave,         FaultKind::node_leave,
    FaultKind::node_leave,         FaultKind::node_stall,         FaultKind::node_reload,
    FaultKind::node_reload_broken, FaultKind::node_vanish,        FaultKind::discovery_move,
    FaultKind::discovery_down,     FaultKind::discovery_silent,   FaultKind::discovery_slow,
    FaultKind::discovery_corrupt,  FaultKind::discovery_restart,  FaultKind::server_drain,
    FaultKind::server_drain,       FaultKind::server_hang,        FaultKind::server_kill,
    FaultKind::server_kill,        FaultKind::server_vanish,      FaultKind::server_errors,
    FaultKind::server_full,        FaultKind::server_resets,      FaultKind::server_moves_clients,
    FaultKind::path_cut,           FaultKind::nodes_apart,        FaultKind::nodes_deaf,
    FaultKind::datagrams_lost,     FaultKind::datagrams_doubled,  FaultKind::nodes_cut_from_servers,
    FaultKind::client_surge,       FaultKind::misbehaving_clients};

std::uint32_t whole(RandomSource& random, std::int64_t from, std::int64_t to) {
    return static_cast<std::uint32_t>(random.between(from, to));
}

Fault draw_fault(RandomSource& random, const Scenario& scenario, Ticks at) {
    Fault fault;
    fault.kind = troubles[whole(random, 0, troubles.size() - 1)];
    const simulation::FaultInfo& row = simulation::fault_info(fault.kind);
    using Target = simulation::FaultInfo::Target;
    fault.start = at;
    if (row.has_duration) fault.duration = random.between(200 * ms, 3 * second);
    if (row.target == Target::node) fault.target = whole(random, 0, scenario.nodes - 1);
    if (row.target == Target::server) fault.target = whole(random, 0, scenario.servers - 1);
    if (row.has_magnitude) fault.magnitude = random.between(0.1, 0.9);
    if (row.has_count) fault.count = whole(random, 1, std::max<std::int64_t>(1, scenario.nodes / 3));
    switch (fault.kind) {
        case FaultKind::path_cut:
            fault.second_target = whole(random, 0, scenario.servers - 1);
            break;
        case FaultKind::node_leave:
            fault.count = whole(random, 1, scenario.nodes / 3);
            fault.duration = random.between(100 * ms, second);
            break;
        case FaultKind::node_kill:
            fault.count = whole(random, 1, scenario.nodes / 3);
            break;
        case FaultKind::client_surge:
            fault.count = whole(random, 30, 200);
            fault.duration = second;
            break;
        case FaultKind::misbehaving_clients:
            fault.count = whole(random, 5, 60);
            fault.second_target = whole(random, 0, fakes::MisbehavingClients::drawn_kinds - 1);
            break;
        case FaultKind::discovery_corrupt:
            fault.count = whole(random, 1, 3);
            break;
        default:
            break;
    }
    return fault;
}

// Many small tunnels, and servers that bear few of them for as long as they are cold: the budget of a cold
// server binds.
void make_cold_fleet(RandomSource& random, Scenario& scenario) {
    scenario.servers = 8;
    scenario.cold_servers = 4;
    scenario.uniform = true;
    scenario.groups = false;
    scenario.packet_passthrough = false;
    scenario.sockets = 512;
    scenario.clients = scenario.nodes * whole(random, 30, 45);
    scenario.tunnel_load = 0.02;
    scenario.min_lifetime = 4 * second;
    scenario.mean_extra_lifetime = 0;
    scenario.server.cores = 2.32;
    scenario.server.slow_start_initial_factor = 0.172;
    scenario.faults.push_back(draw_fault(random, scenario, second / 2));
    Fault restart;
    restart.kind = FaultKind::server_kill;
    restart.start = random.between(second / 2, 3 * second);
    restart.duration = second / 2;
    scenario.faults.push_back(restart);
}

}  // namespace

Scenario draw_soak_scenario(std::uint64_t seed, std::uint32_t nodes) {
    RandomSource random(seed * 0x9e3779b97f4a7c15U + 0x50a4);
    Scenario scenario;
    scenario.seed = seed;
    scenario.duration = scenario_span;
    scenario.nodes = nodes > 0 ? nodes : whole(random, fewest_nodes, most_nodes);
    scenario.servers = whole(random, 4, 12);
    scenario.cold_servers = random.odds(0.5) ? whole(random, 1, 3) : 0;
    scenario.clients = whole(random, 200, 700);
    scenario.packet_passthrough = random.odds(0.4);
    scenario.peers = random.odds(0.7);
    scenario.probing = random.odds(0.7);
    scenario.groups = random.odds(0.4);
    scenario.must_poll = random.odds(0.4);
    scenario.sockets = whole(random, 96, 384);
    scenario.max_attempts = static_cast<int>(random.between(std::int64_t{1}, std::int64_t{4}));
    scenario.peer_price = random.odds(0.5) ? 0.0001 : 0.05;
    scenario.load = random.between(0.3, 0.6);
    scenario.arrival_window = 8 * second;
    scenario.min_lifetime = second / 2;
    scenario.mean_extra_lifetime = random.between(2 * second, 8 * second);
    scenario.client_behavior.abandon_share = random.odds(0.5) ? 0.1 : 0.0;
    scenario.client_behavior.slow_reader_share = random.odds(0.3) ? 0.05 : 0.0;
    scenario.network.lost = random.odds(0.3) ? 0.05 : 0;
    scenario.max_process_pause = 1500;
    scenario.answer_slack = second / 2;
    scenario.judge_slow_start = true;
    if (random.odds(0.3)) make_cold_fleet(random, scenario);
    const std::int64_t collisions = random.between(std::int64_t{1}, std::int64_t{2});
    for (std::int64_t c = 0; c < collisions; ++c) {
        const Ticks at = random.between(second, 5 * second);
        const std::int64_t overlapping = random.between(std::int64_t{2}, std::int64_t{3});
        for (std::int64_t i = 0; i < overlapping; ++i)
            scenario.faults.push_back(draw_fault(random, scenario, at + random.between(Ticks{0}, second)));
    }
    std::stable_sort(scenario.faults.begin(), scenario.faults.end(),
                     [](const Fault& a, const Fault& b) { return a.start < b.start; });
    return scenario;
}

FaultPlan draw_plan(std::uint64_t seed, std::uint32_t node, std::uint32_t incarnation) {
    RandomSource scenario(seed * 0x2545f4914f6cdd1dU + 0xc10c);
    // What meets the whole fleet, or a half of it.
    constexpr std::array<std::int64_t, 4> steps{hour_ms, -hour_ms, 5000, -5000};
    const bool clocks = scenario.odds(0.4), calls = scenario.odds(0.4), shorts = scenario.odds(0.3),
               holds = scenario.odds(0.3);
    const std::int64_t step =
        steps[static_cast<std::size_t>(scenario.between(std::int64_t{0}, std::int64_t{3}))];
    const double share = scenario.odds(0.5) ? 0.5 : 1;
    const bool only_restarted = scenario.odds(0.5);
    const bool at_start = scenario.odds(0.2);

    RandomSource own = RandomSource(seed ^ (std::uint64_t{node} << 32 | incarnation)).fork(3);
    FaultPlan plan;
    plan.seed = own.bits();
    if (clocks && own.odds(share) && (!only_restarted || incarnation > 1)) plan.wall_offset_ms = step;
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
