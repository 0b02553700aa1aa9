#include "simulation/scenario.h"

#include <algorithm>

#include "simnet/random_source.h"

namespace lemonstair::simulation {

namespace {

using Who = FaultRow::Who;
using simnet::RandomSource;

constexpr Ticks ms = 10, second = 10000;

}  // namespace

namespace {

// The order of draws is part of a seed's meaning: a draw that is added goes to the end.
void draw_fleet(RandomSource& c, Scenario& d) {
    d.packet_passthrough = c.odds(0.5);
    d.peers = c.odds(0.85);
    d.probing = c.odds(0.85);
    d.groups = c.odds(0.6);
    d.sockets = static_cast<std::uint32_t>(c.odds(0.3) ? c.between(std::int64_t{90}, std::int64_t{130})
                                                       : c.between(std::int64_t{200}, std::int64_t{400}));
    d.known = c.odds(0.7) ? 1 : c.unit();
    d.clocks_apart = c.odds(0.4) ? c.between(std::int64_t{0}, 2 * second) : 0;
    d.notices_after = c.between(second / 2, 3 * second);
    d.told_after = c.between(ms, 2 * second);
    d.load = c.between(0.2, 0.7);
    d.arrive_within = c.between(second, 12 * second);
}

void draw_network(RandomSource& c, simnet::NetworkConditions& weather) {
    weather.least_delay = c.between(std::int64_t{1}, ms);
    weather.most_delay = weather.least_delay + c.between(std::int64_t{1}, 5 * ms);
    weather.cut_reads = c.odds(0.5) ? c.between(0.0, 0.5) : 0;
    weather.cut_writes = c.odds(0.5) ? c.between(0.0, 0.5) : 0;
    weather.window = static_cast<std::size_t>(c.odds(0.3) ? 4096 : 65536);
    weather.lost = c.odds(0.4) ? c.between(0.0, 0.3) : 0;
    weather.doubled = c.odds(0.3) ? c.between(0.0, 0.2) : 0;
    weather.datagram_jitter = c.odds(0.4) ? c.between(std::int64_t{0}, 300 * ms) : 0;
}

void draw_servers(RandomSource& c, fakes::ServerTraits& host) {
    host.cores = c.between(1.0, 3.0);
    host.cold = c.between(3 * second, 8 * second);
    host.slow_start_initial_factor = c.between(0.15, 0.5);
    host.report_noise = c.between(0.0, 0.15);
    host.report_every = c.between(300 * ms, 1200 * ms);
}

void draw_parameters(RandomSource& c, Fault& f) {
    switch (f.kind) {
        case FaultKind::host_slow:
            f.much = c.between(3.0, 100.0);
            break;
        case FaultKind::network_slow:
            f.much = c.between(2.0, 10.0);
            break;
        case FaultKind::discovery_spoilt:
            f.count = static_cast<std::uint32_t>(c.between(std::int64_t{1}, std::int64_t{3}));
            break;
        case FaultKind::datagrams_old:
            f.count = 40;
            break;
        case FaultKind::crowd:
            f.count = static_cast<std::uint32_t>(c.between(std::int64_t{20}, std::int64_t{150}));
            break;
        case FaultKind::rude:
            f.count = static_cast<std::uint32_t>(c.between(std::int64_t{5}, std::int64_t{120}));
            f.other =
                static_cast<std::uint32_t>(c.between(std::int64_t{0}, std::int64_t{fakes::Rude::kinds} - 1));
            break;
        default:
            f.much = c.between(0.1, 1.0);
            break;
    }
}

// What the kind does not take is left as it was before: a fault that is written and read again is the same.
void drop_unused(const FaultRow& row, Fault& f) {
    if (!row.spans) f.span = 0;
    if (!row.measured) f.much = 1;
    if (!row.counted) f.count = 0;
    if (row.who == Who::nobody) f.who = 0;
    if (f.kind != FaultKind::path_cut && f.kind != FaultKind::rude) f.other = 0;
}

Fault draw_fault(RandomSource& c, const Scenario& d, const FaultRow& row) {
    Fault f;
    f.kind = row.kind;
    f.at = c.between(second, 15 * second);
    f.span = c.between(second / 10, 5 * second);
    if (f.kind == FaultKind::node_stall) f.span = c.between(std::int64_t{20} * ms, 2 * second);
    f.who = static_cast<std::uint32_t>(
        c.between(std::int64_t{0}, std::int64_t{row.who == Who::node ? d.nodes : d.hosts} - 1));
    f.other = static_cast<std::uint32_t>(c.between(std::int64_t{0}, std::int64_t{d.hosts} - 1));
    draw_parameters(c, f);
    drop_unused(row, f);
    return f;
}

// Faults of operators and those among nodes are drawn by scenarios of their own.
std::vector<const FaultRow*> plain_faults() {
    std::vector<const FaultRow*> plain;
    for (const FaultRow& row : fault_rows())
        if (!by_operators(row.kind) && !among_nodes(row.kind)) plain.push_back(&row);
    return plain;
}

void draw_faults(RandomSource& c, Scenario& d) {
    const std::int64_t faults = c.between(std::int64_t{2}, std::int64_t{7});
    const std::vector<const FaultRow*> plain = plain_faults();
    for (std::int64_t i = 0; i < faults; ++i) {
        const FaultRow& row = *plain[static_cast<std::size_t>(
            c.between(std::int64_t{0}, static_cast<std::int64_t>(plain.size()) - 1))];
        const Fault f = draw_fault(c, d, row);
        d.faults.push_back(f);
        // Faults come together: some have a second one of their kind within a moment.
        if (!c.odds(0.3) || i + 1 >= faults) continue;
        Fault twin = f;
        twin.at = std::min(15 * second, f.at + c.between(std::int64_t{0}, second / 2));
        if (row.who != Who::nobody) twin.who = (f.who + 1) % (row.who == Who::node ? d.nodes : d.hosts);
        d.faults.push_back(twin);
    }
}

void sort_faults(Scenario& d) {
    std::stable_sort(d.faults.begin(), d.faults.end(),
                     [](const Fault& a, const Fault& b) { return a.at < b.at; });
}

}  // namespace

Scenario draw_day(std::uint64_t seed) {
    RandomSource c(seed * 0x9e3779b97f4a7c15U + 0x1234567);
    Scenario d;
    d.seed = seed;
    draw_fleet(c, d);
    draw_network(c, d.weather);
    d.manners.impatient = c.odds(0.3) ? c.between(0.0, 0.3) : 0;
    d.manners.slow_readers = c.odds(0.3) ? c.between(0.0, 0.2) : 0;
    draw_servers(c, d.host);
    draw_faults(c, d);
    // Drawn last, apart from the rest: what is added here leaves the scenarios of all seeds as they were.
    RandomSource later = c.part(77);
    d.host.push_bytes = static_cast<std::uint32_t>(
        later.odds(0.3) ? later.between(std::int64_t{100}, std::int64_t{1500}) : 1);
    sort_faults(d);
    return d;
}

Scenario draw_operated_day(std::uint64_t seed) {
    Scenario d = draw_day(seed);
    RandomSource c(seed * 0x9e3779b97f4a7c15U + 0x7654321);
    d.operated = true;
    constexpr FaultKind kinds[] = {FaultKind::node_upgrade, FaultKind::node_upgrade,
                                   FaultKind::node_upgrade_fails, FaultKind::node_drain,
                                   FaultKind::node_callers};
    const std::int64_t more = c.between(std::int64_t{1}, std::int64_t{4});
    for (std::int64_t i = 0; i < more; ++i) {
        Fault f;
        f.kind = kinds[c.between(std::int64_t{0}, std::int64_t{4})];
        f.at = c.between(second, 15 * second);
        f.who = static_cast<std::uint32_t>(c.between(std::int64_t{0}, std::int64_t{d.nodes} - 1));
        if (row_of(f.kind).spans) f.span = c.between(50 * ms, 2 * second);
        if (row_of(f.kind).counted)
            f.count = static_cast<std::uint32_t>(c.between(std::int64_t{5}, std::int64_t{200}));
        d.faults.push_back(f);
    }
    sort_faults(d);
    return d;
}

}  // namespace lemonstair::simulation
