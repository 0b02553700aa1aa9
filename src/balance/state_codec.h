// What a node remembers, as bytes for the process that takes its place: one description serves writing and
// reading. Eps go by their ids, since the other process numbers them by itself; what the other learns anew at
// once (the watch, timers, the ring) is not told. Nothing is decided here.
#pragma once
#include <cmath>
#include <cstdlib>
#include <string>
#include <string_view>

#include "balance/state.h"
#include "serialization/binary.h"

namespace lemonstair::state_codec {

constexpr std::uint32_t most = 1U << 20;  // of anything: a count past it is torn

// The count of what follows, at most `most`.
inline std::uint32_t count(serialization::Reader& source) {
    const auto n = source.next<std::uint32_t>();
    if (n > most) source.fail();
    return n <= most ? n : 0;
}

template <class Io, class... Values>
void all(Io& io, Values&... values) {
    (io.value(values), ...);
}

template <class Io, class E>
void endpoint_fields(Io& io, E& endpoint) {
    all(io, endpoint.failure_likelihood.log_likelihood_ratio, endpoint.failure_likelihood.recent.tried,
        endpoint.failure_likelihood.recent.failed, endpoint.learned_capacity, endpoint.last_reported_load,
        endpoint.published_load, endpoint.pending_load, endpoint.backlog_estimate, endpoint.utilization,
        endpoint.published_utilization);
    all(io, endpoint.drain_notified_at, endpoint.started_at, endpoint.listed_start,
        endpoint.health_checked_at, endpoint.ejected_at, endpoint.probation_at,
        endpoint.health_check_passed_at, endpoint.succeeded_at, endpoint.slow_message_at,
        endpoint.slow_messages_since, endpoint.slow_message_delay, endpoint.migrated_at,
        endpoint.utilization_at, endpoint.published_at, endpoint.failure_likelihood.counted_at,
        endpoint.affinity_target_at, endpoint.gossip_ejection_until);
    all(io, endpoint.failed_health_checks, endpoint.ejected, endpoint.unresponsive, endpoint.contact_lost,
        endpoint.failure_published);
}

// A point in time as this process's clock tells it; 0 and what is far off (never, long ago) are no points.
inline void shift(Ticks clock_shift, Ticks& time) {
    if (time != 0 && std::abs(time) < never / 4) time += clock_shift;
}
template <class... Times>
void shift_all(Ticks clock_shift, Times&... times) {
    (shift(clock_shift, times), ...);
}

inline void shift_times(Endpoint& endpoint, Ticks by) {
    shift_all(by, endpoint.drain_notified_at, endpoint.started_at, endpoint.listed_start,
              endpoint.health_checked_at, endpoint.ejected_at, endpoint.probation_at,
              endpoint.health_check_passed_at, endpoint.succeeded_at, endpoint.slow_message_at,
              endpoint.slow_messages_since, endpoint.migrated_at, endpoint.utilization_at,
              endpoint.published_at, endpoint.failure_likelihood.counted_at, endpoint.affinity_target_at,
              endpoint.gossip_ejection_until);
}

// A memory's figures that are no tables.
template <class Io, class M>
void figures(Io& io, M& m) {
    all(io, m.started_at, m.last_published_at, m.hello_sent_at, m.load_totals_interval, m.report_interval);
    all(io, m.recent_opened, m.recent_ended, m.recent_outcomes.tried, m.recent_outcomes.failed,
        m.placement_rate, m.migration_tokens, m.capacity_per_size, m.fleet_utilization, m.tunnel_end_rate,
        m.total_open_seconds, m.ended_tunnels, m.overall_load.value, m.overall_load.count);
    all(io, m.hello_sent, m.admission_was_open, m.load_totals_known);
}

inline void write(std::string& into, const Memory& m) {
    serialization::Writer out(into);
    figures(out, m);
    out.value(static_cast<std::uint32_t>(m.traffic_class_load.size()));
    for (const RunningMean& mean : m.traffic_class_load) all(out, mean.value, mean.count);
    out.value(static_cast<std::uint32_t>(m.peers.size()));
    for (const Peer& p : m.peers) all(out, p.heard_at, p.load_totals_at, p.alive);
    out.value(static_cast<std::uint32_t>(m.endpoints.size()));
    for (const Endpoint& endpoint : m.endpoints) {
        out.value(endpoint.id);
        endpoint_fields(out, endpoint);
        for (const double load : endpoint.load_by_node) out.value(load);
    }
    out.value(static_cast<std::uint32_t>(m.recent_placements.size()));
    for (const RecentPlacement& p : m.recent_placements)
        all(out, m.endpoints[p.endpoint_index].id, p.placed_at, p.load);
    out.value(static_cast<std::uint32_t>(m.records.size()));
    m.records.each([&](const Record& record) {
        all(out, record.key, record.stamp, record.heard_at, record.endpoint_id, record.group, record.load,
            record.sampled);
    });
    m.records.groups().each_affinity_target([&](std::uint32_t group, std::uint32_t index, std::int64_t told) {
        out.value(true);
        all(out, group, index, told);
    });
    out.value(false);
}

// False where the bytes are torn or of another fleet; then what was read is not to be used.
// Times are told on the clock of who wrote them; stamps of records belong to no clock.
inline bool read(std::string_view told, Memory& m, Ticks clock_shift) {
    serialization::Reader in(told);
    figures(in, m);
    shift_all(clock_shift, m.started_at, m.last_published_at, m.hello_sent_at);
    if (count(in) != m.traffic_class_load.size()) in.fail();
    for (RunningMean& mean : m.traffic_class_load) all(in, mean.value, mean.count);
    if (count(in) != m.peers.size()) in.fail();
    for (Peer& p : m.peers) {
        all(in, p.heard_at, p.load_totals_at, p.alive);
        shift_all(clock_shift, p.heard_at, p.load_totals_at);
    }
    for (std::uint32_t n = count(in); n > 0 && in.good(); --n) {
        Endpoint* known = m.find_endpoint(in.next<std::uint32_t>());
        Endpoint unknown;  // read, and forgotten
        Endpoint& endpoint = known != nullptr ? *known : unknown;
        endpoint_fields(in, endpoint);
        shift_times(endpoint, clock_shift);
        endpoint.load_by_node.assign(m.peers.size(), 0);
        endpoint.load_on_other_nodes = 0;
        for (double& load : endpoint.load_by_node) {
            in.value(load);
            endpoint.load_on_other_nodes += load;
        }
    }
    m.recent_placements.clear();
    for (std::uint32_t n = count(in); n > 0 && in.good(); --n) {
        RecentPlacement p;
        p.endpoint_index = m.endpoint_by_id.find(in.next<std::uint32_t>());
        all(in, p.placed_at, p.load);
        shift(clock_shift, p.placed_at);
        if (p.endpoint_index != none) m.recent_placements.push_back(p);
    }
    for (std::uint32_t n = count(in); n > 0 && in.good(); --n) {
        Record record;
        all(in, record.key, record.stamp, record.heard_at, record.endpoint_id, record.group, record.load,
            record.sampled);
        shift(clock_shift, record.heard_at);
        if (in.good()) m.records.put(record);
    }
    while (in.next<bool>()) {
        std::uint32_t group = 0, index = 0;
        std::int64_t home_at = 0;
        all(in, group, index, home_at);
        shift(clock_shift, home_at);
        if (in.good() && group != 0) m.records.groups().set_affinity_target(group, index, home_at);
    }
    m.ring_changed = true;
    return in.good() && in.at_end();
}

// A standing tunnel.
inline void write(std::string& into, const TrackedTunnel& tunnel, std::uint32_t endpoint_id) {
    serialization::Writer out(into);
    all(out, endpoint_id, tunnel.key, tunnel.deadline, tunnel.arrived_at, tunnel.attempt_started_at,
        tunnel.stamp, tunnel.refresh_records_at, tunnel.load, tunnel.traffic_class, tunnel.group,
        tunnel.has_key, tunnel.mid_flow);
}
// Gives the id of its endpoint_id; `none` where the bytes are torn.
inline std::uint32_t read(std::string_view told, TrackedTunnel& tunnel, Ticks clock_shift) {
    serialization::Reader in(told);
    std::uint32_t endpoint_id = none;
    all(in, endpoint_id, tunnel.key, tunnel.deadline, tunnel.arrived_at, tunnel.attempt_started_at,
        tunnel.stamp, tunnel.refresh_records_at, tunnel.load, tunnel.traffic_class, tunnel.group,
        tunnel.has_key, tunnel.mid_flow);
    shift_all(clock_shift, tunnel.deadline, tunnel.arrived_at, tunnel.attempt_started_at,
              tunnel.refresh_records_at);
    return in.good() && in.at_end() ? endpoint_id : none;
}

}  // namespace lemonstair::state_codec
