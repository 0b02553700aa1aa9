// What a node keeps of tunnels, eps, records and other nodes. Nothing is decided here.
#pragma once
#include <algorithm>
#include <array>
#include <cstdint>
#include <cstdio>
#include <random>
#include <string_view>
#include <utility>
#include <vector>

#include "backoff/backoff.h"
#include "balance/balance.h"
#include "balance/id_index.h"
#include "balance/outbox.h"
#include "balance/record_table.h"
#include "balance/ring.h"
#include "balance/slab.h"
#include "failure_detector/failure_likelihood.h"
#include "failure_detector/observations.h"
#include "quota/quota_schedule.h"

namespace lemonstair {

constexpr Ticks second = 10000;
constexpr Ticks never = std::numeric_limits<Ticks>::max() / 4;
constexpr std::uint32_t none = IdIndex::none;
constexpr std::size_t chain_length = 2;
constexpr double usual_life = 60;                       // of a tunnel, in s, before any has ended
constexpr Ticks record_refreshed_within = 12 * second;  // once in 10 s, while its tunnel stands
constexpr Ticks stamps_apart = 48 * 3600 * second;      // a stamp further ahead is no time
constexpr int few_loads = 8;                            // fewer tell little of what tunnels weigh

enum class State : std::uint8_t { idle, looking_up, holding, setting_up, standing, leaving, answered };

struct TrackedTunnel {
    std::uint64_t id = 0, key = 0;
    Ticks give_up_at = 0, arrived = 0, sent = 0, stamp = 0, refresh_at = 0, due = 0;
    Ticks unit_by = 0;    // until when it waits for a borrowed unit; 0: it did not
    Ticks ran_since = 0;  // when the first setup that may have run was sent
    double load = 0;
    std::uint32_t profile = 0, group = 0, ep = none, ran_ep = none;
    std::array<std::uint32_t, 4> tried{none, none, none, none};
    int setups = 0, unknowing = 0, asked = 0;
    State state = State::idle;
    bool keyed = false, mid_flow = false, again = false, asked_all = false;
};

struct Endpoint {
    std::uint32_t id = 0, zone = 0, cell = 0;
    EndpointState life = EndpointState::active;
    bool in_list = false, probing = false, aside = false, silent = false, lost = false;
    double size = 1;
    failure_detector::FailureLikelihood outcomes;       // of setups and probes
    failure_detector::Observations found_dead, faulty;  // who found it dead; on whose setups it failed
    double room = 0;  // load that it can do, as its reports and what it carries tell; 0: no figure yet
    double last_report = 0, mine = 0, told = 0,
           pending = 0;  // loads: carried here; placed by others and not yet in their sums
    Ticks told_at = 0, started = 0, listed_start = 0, probed_at = -never, aside_at = 0, trial_at = 0,
          probe_good_at = -never, good_at = -never;
    Ticks slow_at = -never, slow_since = 0, slow_by = 0, moved_at = 0;
    std::uint32_t carried = 0, unanswered = 0;
    std::vector<double> others;  // load that each other node carries there, as it last said
    double elsewhere = 0;        // their sum
    void begin_life(Ticks at) {  // what the old one showed counts no more
        listed_start = started = at;
        room = piled = outcomes.log_likelihood_ratio = 0;
        found_dead.clear(), faulty.clear();
        aside = false;
        slow_by = 0;
        x = LoadReport::unknown;
        drift = fresh_drift = 0;
    }
    void reported(double load, Ticks at) {  // what was placed in the last moments shows in no report yet
        x = load;
        x_at = at;
        drift = fresh_drift;
    }
    void carried_by(std::uint32_t node, double load) {
        elsewhere += load - others[node];
        others[node] = load;
    }
    double piled = 0;  // seconds of work, as its reports add up
    double x = LoadReport::unknown,
           x_told = 0;                  // load over what it can do, as last reported; as last told to all
    double drift = 0, fresh_drift = 0;  // loads: that others are taken to have placed since; lately
    Ticks x_at = -never, x_told_at = -never;
    Ticks bad_at = -never, witnessed_at = -never;  // last found dead from here; and said so
    Ticks hearsay_until = 0;                       // of what others say alone; 0: not set aside by that
    Ticks cut_at = -never;                         // when it last cut off an open tunnel
    Ticks bad_told_at = -never;                    // when all were last told that it is dead
    Ticks home_at = -never;                        // when it was last told to be a group's home
    std::array<std::uint32_t, 3> reporters{none, none, none};
    quota::Quota share;  // this node's, of what may be sent there while it is cold
    int rank = 0;        // of this node among its reporters
    bool bad_told = false;
};

struct RecentPlacement {
    Ticks at = 0;
    std::uint32_t ep = 0;
    double load = 0;
};

using Two = std::array<std::uint32_t, 2>;

struct RunningMean {
    double value = 0;
    int count = 0;
    void add(double x) {
        count = std::min(count + 1, 64);
        value += (x - value) / count;
    }
};

struct Peer {
    Ticks heard = 0, summed = -never;  // summed: when it last told what it carries
    bool lives = true;
};

// All that one node remembers.
struct Memory {
    Memory(BalancerConfig given, BalancerDelegate& to, Ticks at)
        : terms(std::move(given)),
          host(to),
          now(at),
          born(at),
          peers(std::max<std::size_t>(terms.node_count, terms.own_node + 1)),
          outbox(to, peers.size()),
          profile_load(terms.traffic_classes.size()) {
        rng.seed(terms.seed);
        deal(now);
        sums_known = peers.size() == 1;
        for (auto& p : peers) p.heard = now;
        ring.build(static_cast<std::uint32_t>(peers.size()));
        weigh_profiles();
    }
    // What began before may have been spent by an earlier life, or by the process that was the node before.
    void deal(Ticks born_at) {
        const Ticks fall = terms.rules.overload_window > 0 ? terms.rules.overload_window : second;
        const auto nodes_dealt = static_cast<std::uint32_t>(peers.size());
        dealing = {terms.own_node, nodes_dealt, std::max<Ticks>(fall / 16, 1), fall / 2, born_at};
    }
    // Guards against two dealings of one budget: what was spent by the one before is of an earlier life.
    void deal_anew() {
        deal(now);
        for (Endpoint& e : eps) e.share = {};
    }
    void take_terms(BalancerConfig given) {
        const bool other_slots = given.rules.overload_window != terms.rules.overload_window;
        terms = std::move(given);
        if (other_slots) deal_anew();
        weigh_profiles();
    }
    void weigh_profiles() {
        mean_credit = 0;
        longest_timeout = 0;
        quickest_message = never;
        for (const auto& p : terms.traffic_classes) {
            mean_credit += p.priority_weight / static_cast<double>(terms.traffic_classes.size());
            longest_timeout = std::max(longest_timeout, p.client_timeout);
            if (p.message_latency_objective > 0)
                quickest_message = std::min(quickest_message, p.message_latency_objective);
        }
        if (mean_credit <= 0) mean_credit = 1;
    }
    double draw() {
        return static_cast<double>(rng() - std::minstd_rand::min()) /
               (static_cast<double>(std::minstd_rand::max() - std::minstd_rand::min()) + 1.0);
    }
    template <class... Figures>
    void say(const char* format, Figures... figures) {
        std::array<char, 160> line{};
        const int n = std::snprintf(line.data(), line.size(), format, figures...);
        host.log({line.data(), std::min(static_cast<std::size_t>(std::max(n, 0)), line.size() - 1)});
    }
    Endpoint* ep_of(std::uint32_t id) {
        const std::uint32_t at = ep_index.find(id);
        return at == none ? nullptr : &eps[at];
    }
    // The two living nodes that come next by number, or by `step` = all but one, before this one.
    Two next_living(std::size_t step) const {
        Two out{none, none};
        std::size_t n = terms.own_node;
        for (std::size_t i = 1, found = 0; i < peers.size() && found < out.size(); ++i) {
            n = (n + step) % peers.size();
            if (peers[n].lives) out[found++] = static_cast<std::uint32_t>(n);
        }
        return out;
    }
    bool talks() const { return terms.limits.gossip_enabled && peers.size() > 1; }
    double nodes() const { return static_cast<double>(peers.size()); }
    // Each record is held at three nodes, or where nodes may not talk at one: the placements of all for one
    // that a node sees.
    double tunnels_a_sample() const { return nodes() / (talks() ? std::min(3.0, nodes()) : 1.0); }
    double warmth(const Endpoint& e) const {
        const Ticks age = now - e.started;
        if (e.started <= 0 || terms.rules.slow_start_duration <= 0 || age >= terms.rules.slow_start_duration)
            return 1;
        const double from = terms.rules.slow_start_initial_factor;
        return from + (1 - from) * static_cast<double>(std::max<Ticks>(age, 0)) /
                          static_cast<double>(terms.rules.slow_start_duration);
    }
    bool cold(const Endpoint& e) const { return warmth(e) < 1; }
    // How long a tunnel stays, from those carried here; few say little.
    double life() const { return (2 * usual_life + carried_time) / (2.0 + static_cast<double>(ends_in_all)); }
    double hearer_price(double bytes) const {  // of a message that all other nodes hear
        return terms.costs.gossip_message * (bytes + peer::message_overhead_bytes) / peer::max_bytes *
               (nodes() - 1);
    }
    bool lives(std::uint32_t node) const { return node == terms.own_node || peers[node].lives; }
    std::size_t chain(std::uint64_t key, Ring::Chain& out) const {  // the tail first
        return ring.chain(
            key, chain_length, [this](std::uint32_t n) { return lives(n); }, out);
    }
    bool on_chain(std::uint64_t key, std::uint32_t node) const {
        Ring::Chain nodes{};
        const std::size_t n = chain(key, nodes);
        return std::find(nodes.begin(), nodes.begin() + n, node) != nodes.begin() + n;
    }
    std::uint32_t first_living(std::uint64_t place) const {
        return ring.first(place, [this](std::uint32_t n) { return lives(n); });
    }
    // What is placed shows in reports later: until then it counts as pending there.
    void expect(std::uint32_t at, double load) {
        eps[at].pending += load;
        placed.push_back({now, at, load});
    }
    void forget_placed(Ticks older) {
        std::size_t n = 0;
        for (; n < placed.size() && now - placed[n].at > older; ++n)
            eps[placed[n].ep].pending = std::max(0.0, eps[placed[n].ep].pending - placed[n].load);
        placed.erase(placed.begin(), placed.begin() + static_cast<std::ptrdiff_t>(n));
    }
    // What of the eps in one zone or cell is set aside, and how it came to be.
    template <class Same>
    failure_detector::EjectionCounts out_of(Same&& same) const {
        failure_detector::EjectionCounts out;
        for (const Endpoint& e : eps) {
            if (e.life != EndpointState::active || !same(e)) continue;
            ++out.active;
            if (e.aside) ++(e.hearsay_until != 0 ? out.by_gossip : out.by_own_evidence);
        }
        return out;
    }
    // Hearsay may set one more aside in its zone and in its cell.
    bool hearsay_may(const Endpoint& one) const {
        return out_of([&](const Endpoint& e) { return e.zone == one.zone; }).allows_one_more() &&
               out_of([&](const Endpoint& e) {
                   return e.zone == one.zone && e.cell == one.cell;
               }).allows_one_more();
    }
    bool avoided(const Endpoint& e) const { return e.life != EndpointState::active || e.aside; }
    EndpointCounts count_eps() const {
        EndpointCounts n;
        for (const Endpoint& e : eps) {
            if (e.life == EndpointState::removed) continue;
            ++n.listed;
            n.excluded += avoided(e) ? 1 : 0;
        }
        return n;
    }
    // The tunnel was placed in an earlier life of the ep, by half a second at least: clocks differ. They may
    // differ by hours: one that was heard of long after that life began belongs to it, whatever its stamp
    // says.
    bool placed_before(std::uint64_t key, const Endpoint& e) const {
        const Record* r = records.find(key);
        if (r == nullptr || r->ep != e.id || r->heard > e.listed_start + record_refreshed_within)
            return false;
        return r->stamp + second / 2 < e.listed_start;
    }
    // Stamps of records are a hybrid logical clock: the wall clock, but never behind a stamp that was heard.
    // Guards against placements of a node whose clock is behind, which would lose to older ones.
    Ticks next_stamp() { return stamp_floor >= now ? ++stamp_floor : now; }
    void heard_stamp(Ticks stamp) {
        if (stamp - now < stamps_apart) stamp_floor = std::max(stamp_floor, stamp);
    }
    std::uint64_t label_of(std::uint32_t at) const { return (std::uint64_t{tuns.serial(at)} << 32 | at) + 1; }
    Ticks draw_span(Ticks below) { return static_cast<Ticks>(draw() * static_cast<double>(below)); }

    BalancerConfig terms;
    BalancerDelegate& host;
    Ticks now, born;
    std::minstd_rand rng;
    std::vector<Endpoint> eps;
    std::vector<std::uint32_t> ids;  // of the eps, in their order
    IdIndex ep_index, tun_index, crossings, asking;
    Slab<TrackedTunnel> tuns;
    RecordTable records;
    std::vector<Peer> peers;
    Ring ring;
    peer::Outbox outbox;
    std::vector<RecentPlacement> placed;
    std::vector<double> weights;
    std::vector<char> held_at;  // eps that hold the group at hand
    std::vector<double> harms;  // by load, in steps
    std::vector<RunningMean> profile_load;
    RunningMean any_load;
    std::vector<std::uint32_t> held, retrying;
    quota::QuotaSchedule dealing;
    std::uint32_t short_of = none;  // the cold ep that the last choice passed over for want of a unit
    double short_price = 0;         // what the tunnel would cost there
    Two watched{none, none};        // the nodes whose signs of life are awaited here
    Ticks answered_at = -never, looked_at = -never;  // any ep answered; one was asked whether it does
    Ticks alone_since = -never;                      // an ep is found dead and no other has answered since
    Ticks alone_until = -never;                      // the end of the last such time that was long
    bool cut_off = false;                            // no ep answers this node: it accuses none
    EndpointListKind list_kind = EndpointListKind::cached;
    Ticks ask_list_at = 0, last_report = 0, last_scan = 0, last_sign = 0, hello_at = -never;
    Ticks quickest_message = never, longest_timeout = 0;
    Ticks report_pause = second, tell_pause = second;
    double opened_lately = 0, ended_lately = 0, placed_lately = 0;
    double stood_lately = 0, cut_lately = 0;  // of what opened; of that, what was soon cut off
    failure_detector::OutcomeTotals lately;   // of the outcomes on all eps
    double mean_credit = 0, moves_left = 2;
    Ticks stamp_floor = 0;
    RecordTable::Sampled sampled;  // as of the last scan
    double room_a_size = 2.5, fleet_load = 0, ends_a_second = 0, carried_time = 0;
    std::uint64_t ends_in_all = 0;
    std::uint32_t from = 0, ends = 0, placed_new = 0, reports = 0, sweeps = 0;
    int setting_up = 0;
    backoff::Backoff list_calls;
    bool ring_changed = true, greeted = false;
    bool gate_was_open = true, watching = false, too_dear = false;
    bool sums_known = false;  // each living node's load on each ep is known here
};

}  // namespace lemonstair
