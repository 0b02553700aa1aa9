// What eps can do and what is asked of them, as far as this node knows. Nothing is decided here.
#pragma once
#include <algorithm>
#include <cmath>

#include "balance/state.h"

namespace lemonstair {

constexpr Ticks report_every = second;
constexpr Ticks refresh_every = 10 * second;  // of records
constexpr double group_copy = 3;              // of a group, in mean connections: not told, a guess
constexpr double first_load = 0.05;           // a connection's load before any is known, in cores
constexpr Ticks report_old = 10 * second;
constexpr double blind_load = 0.5, shed_load = 1.1, shed_lasts = 15;  // loads; s
constexpr double most_piled = 2;                                      // seconds of work

struct Loads : Memory {
    using Memory::Memory;

    double mean_load() const { return any_load.count > 0 ? any_load.value : first_load; }
    // What an ep can do: learned, else its size as the others of known size do.
    double room(const Endpoint& e) const {
        return std::max(0.01, (sums_known && e.room > 0 ? e.room : e.size * room_a_size) * warmth(e));
    }
    // Nothing tells what an ep carries: neither other nodes nor a report to this one. It is then taken to be
    // half full, the fuller the more of the node's tunnels are cut off soon after they opened, wherever that
    // was; and past what it can do if it has cut one off lately. Guards against a fleet too small for its
    // tunnels: each node would find each full ep alone, by tunnels that are cut off and come again.
    bool blind(const Endpoint& e) const {
        return !sums_known && !talks() && (std::isnan(e.x) || now - e.x_at > report_old);
    }
    // The ep's report is known, and nothing of what other nodes have placed there since. Guards against all
    // nodes crowding the ep that its report shows as the lightest: it counts as half full, as the others do
    // that nothing tells of, and the part that is free only makes it the likelier.
    bool unheard_of(const Endpoint& e) const { return !sums_known && !talks() && !blind(e); }
    double guessed(const Endpoint& e) const {
        const double usual = blind_load + (shed_load - blind_load) * std::min(1.0, 2 * soon_cut_part());
        return std::max(usual * filled(e), shed(e));
    }
    double shed(const Endpoint& e) const {
        return shed_load * (1 - static_cast<double>(now - e.cut_at) / second / shed_lasts);
    }
    // Of the tunnels that opened in the last 3 s or so, those that were cut off soon after.
    double soon_cut_part() const { return cut_lately / std::max(stood_lately, 4.0); }
    // One that has just started is empty, and may take so little that it fills over its warm-up.
    double filled(const Endpoint& e) const {
        return cold(e) ? static_cast<double>(now - e.started) /
                             static_cast<double>(terms.rules.slow_start_duration)
                       : 1;
    }
    double asked(const Endpoint& e) const {         // of an ep, by all nodes
        if (blind(e)) return guessed(e) * room(e);  // with its own few tunnels a node would be apart
        if (!sums_known) return e.pending + std::max(0.0, e.drift + reported_or_usual(e) * room(e));
        const double copies = terms.groups_enabled ? group_copy * records.groups().groups_on(e.id) : 0;
        return e.mine + e.pending + e.elsewhere + copies * mean_load();
    }
    // One of which no report has come yet is taken to carry what the others do. Guards against all nodes at
    // those that were not reported first, as if they stood empty. Cold ones do, and their budget guards them.
    double reported_or_usual(const Endpoint& e) const {
        return !std::isnan(e.x) ? std::max(e.x, 0.0) : cold(e) ? 0 : fleet_load;
    }
    bool unreported_cold(const Endpoint& e) const { return std::isnan(e.x) && cold(e); }
    double load_of(const Endpoint& e, double load) const {
        const double x = load / room(e);
        return slow(e) ? std::max(x, 1.1) : x;
    }
    double load_now(const Endpoint& e) const { return load_of(e, asked(e)); }
    bool has_room(const Endpoint& e, double limit) const {
        return e.life == EndpointState::active && !e.aside && load_now(e) < limit;
    }
    // Messages take long for longer than a pause: then the reports are behind what the ep can do now.
    bool slow(const Endpoint& e) const {
        return now - e.slow_at < 3 * second / 2 && e.slow_by > quickest_message &&
               e.slow_at - e.slow_since > second / 2;
    }
    void weigh_fleet() {
        const auto silent = [&](const Peer& p) {
            return &p != &peers[terms.own_node] && p.lives && now - p.summed >= 4 * report_every;
        };
        const auto unknown = std::count_if(peers.begin(), peers.end(), silent);
        if (sums_known != (unknown == 0))
            say("loads by %s, %d sums unknown", sums_known ? "reports" : "sums", int(unknown));
        sums_known = unknown == 0;
        double sum = 0, size = 0, listed = 0, load = 0, all = 0;
        for (const auto& e : eps) {
            listed += e.life != EndpointState::active || unreported_cold(e) ? 0 : e.size;
            if (e.life != EndpointState::active || (!sums_known && std::isnan(e.x) && !blind(e))) continue;
            load += asked(e);
            all += room(e);
            if (sums_known ? e.room <= 0 : std::isnan(e.x)) continue;
            sum += sums_known ? e.room : e.x * e.size;
            size += e.size;
        }
        fleet_load = all > 0 ? load / all : 0;
        // Without sums, what all carry is reckoned from the records held here: each is held at three nodes.
        if (sums_known && size > 0) room_a_size = sum / size;
        if (!sums_known && sum > 0.05 * size) learn_room(sum * listed / size);
    }
    // A report grows old: the other nodes have read it too, and choose by it as this one would, whose chances
    // `weights` are. What it favours fills meanwhile and what it shuns empties, up to what all carry on
    // average. Guards against a herd: all nodes at the few eps that were light when they were last reported.
    void expect_others(double load, const std::vector<double>& weights) {
        double all = 0, rooms = 0;
        for (std::size_t i = 0; i < eps.size(); ++i) {
            all += weights[i];
            rooms += weights[i] > 0 ? room(eps[i]) : 0;
        }
        for (std::size_t i = 0; i < eps.size(); ++i) {
            Endpoint& e = eps[i];
            if (weights[i] <= 0 || std::isnan(e.x)) continue;
            const double more = load * (weights[i] / all - room(e) / rooms);
            const double left = fleet_load * room(e) - asked(e);
            if (more * left <= 0) continue;
            const double step = std::abs(more) < std::abs(left) ? more : left;
            e.drift += step;
            e.fresh_drift += step;
        }
    }
    // What a unit of size can do, of which all reported together use `used` units. The records of tunnels
    // that stood before this node started come as they are refreshed; of these it has at least that part.
    void learn_room(double used) {
        const Ticks age = now - born;
        if (age < second || sampled.load <= 0) return;
        const double part = std::min(1.0, static_cast<double>(age) / refresh_every);
        const double known = sampled.load * tunnels_a_sample() / used;
        const double to_come = sampled.older * (1 / part - 1) * tunnels_a_sample() / used;
        room_a_size += (std::clamp(room_a_size, known, known + to_come) - room_a_size) * 0.2;
    }
    void slowed(Endpoint& e, Ticks takes) {
        if (now - e.slow_at > 3 * second / 2 || e.slow_by <= quickest_message) e.slow_since = now;
        e.slow_at = now;
        e.slow_by = takes;
    }
    // Guards against work piled up where nothing tells of slow messages: what is asked beyond all it can do.
    void pile_up(Endpoint& e, double x) {
        const Ticks since = std::min(now - e.x_at, 2 * second);
        e.piled = std::clamp(e.piled + (x - 1) * static_cast<double>(since) / second, 0.0, most_piled);
        if (e.piled > 0) slowed(e, static_cast<Ticks>(e.piled * second));
    }
};

}  // namespace lemonstair
