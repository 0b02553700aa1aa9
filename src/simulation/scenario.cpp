#include "simulation/scenario.h"

#include <algorithm>

#include "simnet/random_source.h"

namespace lemonstair::simulation {

namespace {

using Target = FaultInfo::Target;
using simnet::RandomSource;

constexpr Ticks ms = 10, second = 10000;

// The order of draws determines what a seed gives: new draws go to the end.
void draw_fleet(RandomSource& random, Scenario& scenario) {
    scenario.packet_passthrough = random.odds(0.5);
    scenario.peers = random.odds(0.85);
    scenario.probing = random.odds(0.85);
    scenario.groups = random.odds(0.6);
    scenario.sockets =
        static_cast<std::uint32_t>(random.odds(0.3) ? random.between(std::int64_t{90}, std::int64_t{130})
                                                    : random.between(std::int64_t{200}, std::int64_t{400}));
    scenario.known_share = random.odds(0.7) ? 1 : random.unit();
    scenario.max_clock_skew = random.odds(0.4) ? random.between(std::int64_t{0}, 2 * second) : 0;
    scenario.detection_delay = random.between(second / 2, 3 * second);
    scenario.discovery_delay = random.between(ms, 2 * second);
    scenario.load = random.between(0.2, 0.7);
    scenario.arrival_window = random.between(second, 12 * second);
}

void draw_network(RandomSource& random, simnet::NetworkConditions& network) {
    network.min_delay = random.between(std::int64_t{1}, ms);
    network.max_delay = network.min_delay + random.between(std::int64_t{1}, 5 * ms);
    network.cut_reads = random.odds(0.5) ? random.between(0.0, 0.5) : 0;
    network.cut_writes = random.odds(0.5) ? random.between(0.0, 0.5) : 0;
    network.window = static_cast<std::size_t>(random.odds(0.3) ? 4096 : 65536);
    network.lost = random.odds(0.4) ? random.between(0.0, 0.3) : 0;
    network.doubled = random.odds(0.3) ? random.between(0.0, 0.2) : 0;
    network.datagram_jitter = random.odds(0.4) ? random.between(std::int64_t{0}, 300 * ms) : 0;
}

void draw_servers(RandomSource& random, fakes::ServerTraits& traits) {
    traits.cores = random.between(1.0, 3.0);
    traits.slow_start_duration = random.between(3 * second, 8 * second);
    traits.slow_start_initial_factor = random.between(0.15, 0.5);
    traits.report_noise = random.between(0.0, 0.15);
    traits.report_interval = random.between(300 * ms, 1200 * ms);
}

void draw_parameters(RandomSource& random, Fault& fault) {
    switch (fault.kind) {
        case FaultKind::server_slow:
            fault.magnitude = random.between(3.0, 100.0);
            break;
        case FaultKind::network_slow:
            fault.magnitude = random.between(2.0, 10.0);
            break;
        case FaultKind::discovery_corrupt:
            fault.count = static_cast<std::uint32_t>(random.between(std::int64_t{1}, std::int64_t{3}));
            break;
        case FaultKind::datagrams_old:
            fault.count = 40;
            break;
        case FaultKind::client_surge:
            fault.count = static_cast<std::uint32_t>(random.between(std::int64_t{20}, std::int64_t{150}));
            break;
        case FaultKind::misbehaving_clients:
            fault.count = static_cast<std::uint32_t>(random.between(std::int64_t{5}, std::int64_t{120}));
            fault.second_target = static_cast<std::uint32_t>(
                random.between(std::int64_t{0}, std::int64_t{fakes::MisbehavingClients::drawn_kinds} - 1));
            break;
        default:
            fault.magnitude = random.between(0.1, 1.0);
            break;
    }
}

// Resets the fields that the kind does not use to their defaults, because scenario files do not contain them:
// a fault must be the same after it has been written and read.
void drop_unused(const FaultInfo& info, Fault& fault) {
    if (!info.has_duration) fault.duration = 0;
    if (!info.has_magnitude) fault.magnitude = 1;
    if (!info.has_count) fault.count = 0;
    if (info.target == Target::none) fault.target = 0;
    if (fault.kind != FaultKind::path_cut && fault.kind != FaultKind::misbehaving_clients)
        fault.second_target = 0;
}

Fault draw_fault(RandomSource& random, const Scenario& scenario, const FaultInfo& info) {
    Fault fault;
    fault.kind = info.kind;
    fault.start = random.between(second, 15 * second);
    fault.duration = random.between(second / 10, 5 * second);
    if (fault.kind == FaultKind::node_stall)
        fault.duration = random.between(std::int64_t{20} * ms, 2 * second);
    fault.target = static_cast<std::uint32_t>(random.between(
        std::int64_t{0}, std::int64_t{info.target == Target::node ? scenario.nodes : scenario.servers} - 1));
    fault.second_target =
        static_cast<std::uint32_t>(random.between(std::int64_t{0}, std::int64_t{scenario.servers} - 1));
    draw_parameters(random, fault);
    drop_unused(info, fault);
    return fault;
}

// The kinds that draw_scenario draws. Actions of operators are added by draw_operated_scenario; faults of
// several nodes at once are only in scenario files, and later kinds of outages in draw_outage_scenario.
std::vector<const FaultInfo*> plain_faults() {
    const auto is_later_kind = [](FaultKind kind) {
        return kind == FaultKind::discovery_unreachable || kind == FaultKind::discovery_mute ||
               kind == FaultKind::discovery_cuts_answers;
    };
    std::vector<const FaultInfo*> plain;
    for (const FaultInfo& info : fault_catalogue())
        if (!is_operator_fault(info.kind) && !is_fleet_fault(info.kind) && !is_later_kind(info.kind))
            plain.push_back(&info);
    return plain;
}

void draw_faults(RandomSource& random, Scenario& scenario) {
    const std::int64_t faults = random.between(std::int64_t{2}, std::int64_t{7});
    const std::vector<const FaultInfo*> plain = plain_faults();
    for (std::int64_t i = 0; i < faults; ++i) {
        const FaultInfo& info = *plain[static_cast<std::size_t>(
            random.between(std::int64_t{0}, static_cast<std::int64_t>(plain.size()) - 1))];
        const Fault fault = draw_fault(random, scenario, info);
        scenario.faults.push_back(fault);
        // Faults often coincide: in 30% of cases a second one of the kind follows within half a second.
        if (!random.odds(0.3) || i + 1 >= faults) continue;
        Fault twin = fault;
        twin.start = std::min(15 * second, fault.start + random.between(std::int64_t{0}, second / 2));
        if (info.target != Target::none)
            twin.target =
                (fault.target + 1) % (info.target == Target::node ? scenario.nodes : scenario.servers);
        scenario.faults.push_back(twin);
    }
}

void sort_faults(Scenario& scenario) {
    std::stable_sort(scenario.faults.begin(), scenario.faults.end(),
                     [](const Fault& a, const Fault& b) { return a.start < b.start; });
}

}  // namespace

Scenario draw_scenario(std::uint64_t seed) {
    RandomSource random(seed * 0x9e3779b97f4a7c15U + 0x1234567);
    Scenario scenario;
    scenario.seed = seed;
    draw_fleet(random, scenario);
    draw_network(random, scenario.network);
    scenario.client_behavior.abandon_share = random.odds(0.3) ? random.between(0.0, 0.3) : 0;
    scenario.client_behavior.slow_reader_share = random.odds(0.3) ? random.between(0.0, 0.2) : 0;
    draw_servers(random, scenario.server);
    draw_faults(random, scenario);
    // Drawn from a generator of its own, so that draws added here do not change the rest of a seed's
    // scenario.
    RandomSource later = random.fork(77);
    scenario.server.push_bytes = static_cast<std::uint32_t>(
        later.odds(0.3) ? later.between(std::int64_t{100}, std::int64_t{1500}) : 1);
    sort_faults(scenario);
    return scenario;
}

Scenario draw_operated_scenario(std::uint64_t seed) {
    Scenario scenario = draw_scenario(seed);
    RandomSource random(seed * 0x9e3779b97f4a7c15U + 0x7654321);
    scenario.operated = true;
    constexpr FaultKind kinds[] = {FaultKind::node_upgrade, FaultKind::node_upgrade,
                                   FaultKind::node_upgrade_fails, FaultKind::node_drain,
                                   FaultKind::node_idle_connections};
    const std::int64_t more = random.between(std::int64_t{1}, std::int64_t{4});
    for (std::int64_t i = 0; i < more; ++i) {
        Fault fault;
        fault.kind = kinds[random.between(std::int64_t{0}, std::int64_t{4})];
        fault.start = random.between(second, 15 * second);
        fault.target =
            static_cast<std::uint32_t>(random.between(std::int64_t{0}, std::int64_t{scenario.nodes} - 1));
        if (fault_info(fault.kind).has_duration) fault.duration = random.between(50 * ms, 2 * second);
        if (fault_info(fault.kind).has_count)
            fault.count = static_cast<std::uint32_t>(random.between(std::int64_t{5}, std::int64_t{200}));
        scenario.faults.push_back(fault);
    }
    sort_faults(scenario);
    return scenario;
}

namespace {

Fault draw_outage(RandomSource& random) {
    constexpr FaultKind kinds[] = {FaultKind::discovery_down, FaultKind::discovery_silent,
                                   FaultKind::discovery_unreachable, FaultKind::discovery_mute,
                                   FaultKind::discovery_cuts_answers};
    Fault outage;
    outage.kind = kinds[random.between(std::int64_t{0}, std::int64_t{4})];
    outage.start = random.between(second, 4 * second);
    outage.duration = random.between(second / 2, 9 * second);
    if (fault_info(outage.kind).has_count)
        outage.count = static_cast<std::uint32_t>(random.between(std::int64_t{1}, std::int64_t{2}));
    return outage;
}

// What may happen to a node around the end of an outage: it is killed and comes again, leaves, reloads its
// configuration or is upgraded.
Fault draw_node_event(RandomSource& random, const Scenario& scenario, Ticks around) {
    constexpr FaultKind kinds[] = {FaultKind::node_kill, FaultKind::node_leave, FaultKind::node_reload,
                                   FaultKind::node_upgrade, FaultKind::node_upgrade_fails};
    Fault event;
    event.kind = kinds[random.between(std::int64_t{0}, std::int64_t{4})];
    event.start = std::max<Ticks>(0, around + random.between(-2 * second, second / 2));
    event.duration = fault_info(event.kind).has_duration ? random.between(20 * ms, second) : 0;
    event.target =
        static_cast<std::uint32_t>(random.between(std::int64_t{0}, std::int64_t{scenario.nodes} - 1));
    return event;
}

}  // namespace

Scenario draw_outage_scenario(std::uint64_t seed) {
    RandomSource random(seed * 0x9e3779b97f4a7c15U + 0x2468ace);
    Scenario scenario;
    scenario.seed = seed;
    scenario.operated = true;
    draw_fleet(random, scenario);
    draw_network(random, scenario.network);
    draw_servers(random, scenario.server);
    // Many short tunnels, so that a draining server that is still used is soon seen.
    scenario.clients = 400;
    scenario.arrival_window = 16 * second;
    scenario.min_lifetime = second / 2;
    scenario.mean_extra_lifetime = second;
    scenario.discovery_delay = random.between(ms, 200 * ms);
    scenario.drain_grace =
        random.odds(0.6) ? random.between(250 * ms, 500 * ms) : random.between(500 * ms, 3 * second);
    scenario.must_poll = random.odds(0.25);
    const Fault outage = draw_outage(random);
    const Ticks end = outage.start + outage.duration;
    scenario.faults.push_back(outage);
    const std::int64_t drains = random.between(std::int64_t{1}, std::int64_t{2});
    for (std::int64_t i = 0; i < drains; ++i) {
        Fault drain;
        drain.kind = FaultKind::server_drain;
        drain.start = std::max<Ticks>(0, end + random.between(-second, second / 2));
        drain.duration = scenario.must_poll ? 10 * second : 4 * second;
        drain.target = static_cast<std::uint32_t>(i);
        scenario.faults.push_back(drain);
    }
    const std::int64_t events = random.between(std::int64_t{0}, std::int64_t{2});
    for (std::int64_t i = 0; i < events; ++i)
        scenario.faults.push_back(draw_node_event(random, scenario, end));
    sort_faults(scenario);
    return scenario;
}

}  // namespace lemonstair::simulation
