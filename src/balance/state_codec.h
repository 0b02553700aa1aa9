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
inline std::uint32_t count(serialization::Reader& from) {
    const auto n = from.next<std::uint32_t>();
    if (n > most) from.fail();
    return n <= most ? n : 0;
}

template <class Io, class... Values>
void all(Io& io, Values&... values) {
    (io.value(values), ...);
}

template <class Io, class E>
void ep(Io& io, E& e) {
    all(io, e.outcomes.log_likelihood_ratio, e.outcomes.recent.tried, e.outcomes.recent.failed, e.room,
        e.last_report, e.told, e.pending, e.piled, e.x, e.x_told);
    all(io, e.told_at, e.started, e.listed_start, e.probed_at, e.aside_at, e.trial_at, e.probe_good_at,
        e.good_at, e.slow_at, e.slow_since, e.slow_by, e.moved_at, e.x_at, e.x_told_at, e.outcomes.counted_at,
        e.home_at, e.hearsay_until);
    all(io, e.unanswered, e.aside, e.silent, e.lost, e.bad_told);
}

// A point in time as this process's clock tells it; 0 and what is far off (never, long ago) are no points.
inline void shift(Ticks clock_shift, Ticks& time) {
    if (time != 0 && std::abs(time) < never / 4) time += clock_shift;
}
template <class... Times>
void shift_all(Ticks clock_shift, Times&... times) {
    (shift(clock_shift, times), ...);
}

inline void shift_times(Endpoint& e, Ticks by) {
    shift_all(by, e.told_at, e.started, e.listed_start, e.probed_at, e.aside_at, e.trial_at, e.probe_good_at,
              e.good_at, e.slow_at, e.slow_since, e.moved_at, e.x_at, e.x_told_at, e.outcomes.counted_at,
              e.home_at, e.hearsay_until);
}

// A memory's figures that are no tables.
template <class Io, class M>
void figures(Io& io, M& m) {
    all(io, m.born, m.last_report, m.hello_at, m.report_pause, m.tell_pause);
    all(io, m.opened_lately, m.ended_lately, m.lately.tried, m.lately.failed, m.placed_lately, m.moves_left,
        m.room_a_size, m.fleet_load, m.ends_a_second, m.carried_time, m.ends_in_all, m.any_load.value,
        m.any_load.count);
    all(io, m.greeted, m.gate_was_open, m.sums_known);
}

inline void write(std::string& into, const Memory& m) {
    serialization::Writer out(into);
    figures(out, m);
    out.value(static_cast<std::uint32_t>(m.profile_load.size()));
    for (const RunningMean& mean : m.profile_load) all(out, mean.value, mean.count);
    out.value(static_cast<std::uint32_t>(m.peers.size()));
    for (const Peer& p : m.peers) all(out, p.heard, p.summed, p.lives);
    out.value(static_cast<std::uint32_t>(m.eps.size()));
    for (const Endpoint& e : m.eps) {
        out.value(e.id);
        ep(out, e);
        for (const double load : e.others) out.value(load);
    }
    out.value(static_cast<std::uint32_t>(m.placed.size()));
    for (const RecentPlacement& p : m.placed) all(out, m.eps[p.ep].id, p.at, p.load);
    out.value(static_cast<std::uint32_t>(m.records.size()));
    m.records.each(
        [&](const Record& r) { all(out, r.key, r.stamp, r.heard, r.ep, r.group, r.load, r.sampled); });
    m.records.groups().each_home([&](std::uint32_t group, std::uint32_t at, std::int64_t told) {
        out.value(true);
        all(out, group, at, told);
    });
    out.value(false);
}

// False where the bytes are torn or of another fleet; then what was read is not to be used.
// Times are told on the clock of who wrote them; stamps of records belong to no clock.
inline bool read(std::string_view told, Memory& m, Ticks clock_shift) {
    serialization::Reader in(told);
    figures(in, m);
    shift_all(clock_shift, m.born, m.last_report, m.hello_at);
    if (count(in) != m.profile_load.size()) in.fail();
    for (RunningMean& mean : m.profile_load) all(in, mean.value, mean.count);
    if (count(in) != m.peers.size()) in.fail();
    for (Peer& p : m.peers) {
        all(in, p.heard, p.summed, p.lives);
        shift_all(clock_shift, p.heard, p.summed);
    }
    for (std::uint32_t n = count(in); n > 0 && in.good(); --n) {
        Endpoint* known = m.ep_of(in.next<std::uint32_t>());
        Endpoint unknown;  // read, and forgotten
        Endpoint& e = known != nullptr ? *known : unknown;
        ep(in, e);
        shift_times(e, clock_shift);
        e.others.assign(m.peers.size(), 0);
        e.elsewhere = 0;
        for (double& load : e.others) {
            in.value(load);
            e.elsewhere += load;
        }
    }
    m.placed.clear();
    for (std::uint32_t n = count(in); n > 0 && in.good(); --n) {
        RecentPlacement p;
        p.ep = m.ep_index.find(in.next<std::uint32_t>());
        all(in, p.at, p.load);
        shift(clock_shift, p.at);
        if (p.ep != none) m.placed.push_back(p);
    }
    for (std::uint32_t n = count(in); n > 0 && in.good(); --n) {
        Record r;
        all(in, r.key, r.stamp, r.heard, r.ep, r.group, r.load, r.sampled);
        shift(clock_shift, r.heard);
        if (in.good()) m.records.put(r);
    }
    while (in.next<bool>()) {
        std::uint32_t group = 0, at = 0;
        std::int64_t home_at = 0;
        all(in, group, at, home_at);
        shift(clock_shift, home_at);
        if (in.good() && group != 0) m.records.groups().set_home(group, at, home_at);
    }
    m.ring_changed = true;
    return in.good() && in.at_end();
}

// A standing tunnel.
inline void write(std::string& into, const TrackedTunnel& t, std::uint32_t ep) {
    serialization::Writer out(into);
    all(out, ep, t.key, t.give_up_at, t.arrived, t.sent, t.stamp, t.refresh_at, t.load, t.profile, t.group,
        t.keyed, t.mid_flow);
}
// Gives the id of its ep; `none` where the bytes are torn.
inline std::uint32_t read(std::string_view told, TrackedTunnel& t, Ticks clock_shift) {
    serialization::Reader in(told);
    std::uint32_t ep = none;
    all(in, ep, t.key, t.give_up_at, t.arrived, t.sent, t.stamp, t.refresh_at, t.load, t.profile, t.group,
        t.keyed, t.mid_flow);
    shift_all(clock_shift, t.give_up_at, t.arrived, t.sent, t.refresh_at);
    return in.good() && in.at_end() ? ep : none;
}

}  // namespace lemonstair::state_codec
