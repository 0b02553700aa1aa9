#include "node/status_log.h"

#include <sstream>

namespace lemonstair::node {

namespace {

constexpr Ticks totals_interval = 100000, resources_interval = 10000;
enum Timer : std::uint64_t { totals_timer, resources_timer };

}  // namespace

void StatusLog::start() {
    registry_.loop.schedule(registry_.loop.now() + totals_interval, *this, totals_timer);
    registry_.loop.schedule(registry_.loop.now() + resources_interval, *this, resources_timer);
}

void StatusLog::on_timer(std::uint64_t token) {
    if (token == totals_timer) return log_totals();
    log_resources();
}

void StatusLog::log_totals() {
    registry_.loop.schedule(registry_.loop.now() + totals_interval, *this, totals_timer);
    const tunnel::TunnelTotals& totals = registry_.totals;
    registry_.log.info() << "tunnels " << registry_.tunnel_count() << ", buffers in use "
                         << registry_.pool.in_use() << ", descriptors " << registry_.loop.descriptors()
                         << "; since the start: accepted " << totals.accepted << ", opened " << totals.opened
                         << ", rejected " << totals.rejected << " (" << totals.over_capacity
                         << " over capacity), closed with error " << totals.failed << " ("
                         << totals.protocol_errors << " for protocol errors), migrated " << totals.migrated
                         << " (" << totals.stalled << " stalled), idle connections closed " << totals.evicted;
}

// tools/fleet_costs.py parses this line.
void StatusLog::log_resources() {
    registry_.loop.schedule(registry_.loop.now() + resources_interval, *this, resources_timer);
    metrics::ResourceCounters& counters = registry_.resource_counters;
    if (counters == logged_) return;  // only processor time has changed, which is not worth a line
    counters.processor_us = registry_.loop.system().processor_us();
    std::ostringstream added;
    metrics::write_difference(added, counters, logged_);
    registry_.log.info() << "second:" << added.str() << " tunnels_held=" << registry_.admitted_count()
                         << " probe_lines_held=" << health_checker_.open_connections();
    logged_ = counters;
}

}  // namespace lemonstair::node
