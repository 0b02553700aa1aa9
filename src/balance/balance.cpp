// All decisions of lemonstair. One Balancer (balance.h is its interface) decides for one node: a front calls
// it with what the node sees (arrive, begun, ended, probed, told, listed, woken ...) and it answers through
// Host. New tunnels are placed at once by weights from probed load; the record key -> ep goes down a chain of
// nodes on a consistent hash ring; a mid-flow tunnel asks the chain's tail (docs/design.md). Nothing here is
// shared.
#include "balance/balance.h"

#include <cmath>

#include "balance/attempt_policy.h"
#include "balance/state_codec.h"
#include "balance/talk.h"

namespace lemonstair {
namespace {

// The mechanism's figures (docs/design.md gives the source of each).
constexpr std::size_t near_tail = 5;
constexpr Ticks tail_wait = second / 5;
constexpr Ticks forget_after = 4 * refresh_every;  // after three missed
constexpr Ticks sweep_every = second / 10, probe_every = second;
constexpr Ticks report_lag = 2 * second;  // what is placed or moved shows in reports by then
constexpr double drift_decay = 1 - static_cast<double>(sweep_every) / report_lag;
constexpr Ticks silent_peer = 5 * second / 2, trial_pause = 2 * second;
constexpr Ticks unheard_limit = second;
// The gate looks back about 3 s; its floor lets about one setup a second find out whether the jam is over.
constexpr double gate_decay = failure_detector::outcome_decay, gate_floor = 4;

// The part of an ep's messages that come late at load x is taken as exp(-late_slope * (1 - x)).
constexpr double late_slope = 8, harm_steps = 256, most_load = 3;
constexpr double unsure = 0.29;  // the standard deviation of a load that may be any from none to full

constexpr double weight_floor = 1e-9;      // no weight and no total reaches zero
constexpr Ticks handover = 5 * second;     // what was open before a start comes in by then
constexpr Ticks soon_cut = 3 * second;     // as far as the gate looks back
constexpr int blind_homes = 4;             // of a group, where nothing tells of their room
constexpr double home_full = 0.65;         // load from which a group is given another home
constexpr Ticks home_lasts = 60 * second;  // after its keeper's last word
constexpr double cold_part = 0.8;          // of a cold ep's budget: what is known of it is reckoned
constexpr double unit_gain = 0.02;         // what waiting for a unit must win, in connections
constexpr Ticks unit_wait = second / 50;   // for another node's answer, where the tunnel could go elsewhere
constexpr int lenders = 2;                 // asked at once
constexpr double shed_at = 1.5, moves_a_tunnel = 5;
constexpr double move_from = 0.8;  // load from which tunnels are moved off an ep
constexpr double move_gain = 0.5;  // what a move must win, in connections served instead of late

struct Mind final : Balancer, peer::MessageHandler, Talk {
    Mind(BalancerConfig given, BalancerDelegate& to, Ticks at) : Talk(std::move(given), to, at) {
        ask_list_at = now + draw_span(backoff::first_call_spread(peers.size()));
        list_calls = backoff::Backoff(std::max(second / 4, backoff::first_call_spread(peers.size())));
        last_report = now - draw_span(report_every);
        for (double x = 0; x <= most_load; x += 1 / harm_steps)
            harms.push_back((1 + late_slope * x) * std::exp(-late_slope * (1 - x)));
        host.set_timer(now + sweep_every, 0);
    }

    void greet() {  // a node that has just started holds no records: the others send what it should hold
        greeted = true;
        if (news_pays()) say_hello();
    }
    void say_hello() {
        hello_at = now;
        if (talks()) outbox.tell_all([](peer::Message& m) { m.node_started(); });
    }

    // ---- the list of eps
    void set_time(Ticks clock) override { now = clock; }
    void update_config(BalancerConfig given) override { take_terms(std::move(given)); }
    void begin_endpoint_list(EndpointListKind kind) override {
        list_kind = kind;
        for (auto& e : eps) e.in_list = false;
    }
    void add_endpoint(std::uint32_t id, std::uint32_t zone, std::uint32_t cell, EndpointState life,
                      double size, Ticks started) override {
        std::uint32_t at = ep_index.find(id);
        if (at == none) {
            at = static_cast<std::uint32_t>(eps.size());
            ep_index.put(id, at);
            eps.emplace_back();
            ids.push_back(id);
            eps[at].id = id;
            eps[at].others.assign(peers.size(), 0);
            eps[at].probed_at = now - draw_span(probe_every);
        }
        Endpoint& e = eps[at];
        if (started > e.listed_start) e.begin_life(started);
        set_life(e, life);
        e.zone = zone;
        e.cell = cell;
        e.size = terms.endpoint_sizes_differ && size > 0 ? size : 1;
        e.in_list = true;
    }
    // The grace of a drain runs from the first word of it, whatever follows.
    void set_life(Endpoint& e, EndpointState life) {
        if (e.life == EndpointState::active && life != EndpointState::active) e.told_at = now;
        e.life = life;
    }
    void end_endpoint_list() override {
        if (list_kind == EndpointListKind::failed || list_kind == EndpointListKind::moved) {
            watching = false;  // what the old place failed is not held against the new one
            if (list_kind == EndpointListKind::moved) list_calls.on_success();
            ask_list_at = now + (list_kind == EndpointListKind::failed ? list_calls.on_failure(draw()) : 0);
            say("list lost, failures %d", list_calls.failures());
            return keep_list();
        }
        if (list_kind == EndpointListKind::complete || list_kind == EndpointListKind::cached)
            for (auto& e : eps)
                if (!e.in_list) set_life(e, EndpointState::removed);
        find_reporters();
        if (list_kind == EndpointListKind::cached) return open_account();
        if (list_calls.failures() > 0) say("list back after %d failures", list_calls.failures());
        list_calls.on_success();
        watching = true;
    }
    // Before any traffic is seen, an ep is taken to get a tunnel in three seconds.
    void open_account() {
        placed_lately = static_cast<double>(eps.size()) / 3 * 10 / tunnels_a_sample();
        reckon_talk();
        // Guards against nodes that all read one ep's report at one time, and then crowd the light ones.
        for (auto& e : eps)
            if (!talks()) e.probed_at = now - draw_span(probe_pause());
        if (talks() && report_pause < 4 * report_every)
            for (auto& p : peers) p.summed = now;
        weigh_fleet();
    }
    void keep_list() {
        if (!terms.must_poll || watching || now < ask_list_at) return;
        ask_list_at = now + std::max(second, terms.rules.poll_interval / 2);
        host.request_endpoint_list();
    }

    // ---- the ring, the records
    // Down the chain from its head, each member towards the tail.
    void pass_down(std::uint64_t key, std::uint32_t ep, Ticks stamp, std::uint32_t group, double load,
                   bool first) {
        Ring::Chain nodes{};
        const std::size_t n = chain(key, nodes);
        const std::size_t me = static_cast<std::size_t>(
            std::find(nodes.begin(), nodes.begin() + n, terms.own_node) - nodes.begin());
        if (!first && me == n) return;
        const std::size_t to = first && me + 1 != n ? n : me;
        if (to == 0) return;
        post(nodes[to - 1], [&](peer::Message& m) { return m.record(key, ep, stamp, group, load); });
    }
    void publish(TrackedTunnel& t, bool first = false) {
        if (!t.keyed) return;
        const std::uint32_t ep = eps[t.ep].id;
        records.put({t.key, t.stamp, now, ep, t.group, t.load, true});
        t.refresh_at = now + refresh_every;
        pass_down(t.key, ep, t.stamp, t.group, t.load, true);
        if (sums_known || t.group == 0) return;
        const bool far = first && eps[t.ep].zone != terms.zone;
        const std::uint32_t to = keeper(t.group);
        if (far && to == terms.own_node) on_cross_zone(t.group, terms.zone);
        if (far) post(to, [&](peer::Message& m) { return m.cross_zone(t.group, terms.zone); });
        if (to == terms.own_node || on_chain(t.key, to)) return keep_homes(t.group);
        post(to, [&](peer::Message& m) { return m.record(t.key, ep, t.stamp, t.group, t.load); });
    }

    // ---- what other nodes say
    void on_gossip(std::uint32_t node, std::span<const std::uint8_t> bytes) override {
        const peer::Delivery delivery(outbox);
        if (node >= peers.size() || node == terms.own_node) return;
        from = node;
        peers[node].heard = now;
        if (!peers[node].lives) {
            say("node %u is back", node);
            renew_chains(node, true);
            post(node, [&](peer::Message& m) { return m.peer_down(node); });  // so that it tells all
        }
        peer::decode(bytes, *this);
    }
    void on_record(std::uint64_t key, std::uint32_t ep, std::int64_t stamp, std::uint32_t group,
                   double load) override {
        heard_stamp(stamp);
        const Record* known = records.find(key);
        const bool fresh = known == nullptr || known->stamp != stamp;
        const bool sampled = on_chain(key, terms.own_node);
        if (!records.put({key, stamp, now, ep, group, load, sampled})) return;  // the newest stamp wins
        pass_down(key, ep, stamp, group, load, false);
        const std::uint32_t at = ep_index.find(ep);
        // What others place shows in no sum yet; counting it keeps nodes from crowding one ep together.
        if (at == none || !fresh || now - stamp > second) return;
        expect(at, load);
        placed_new += sampled && known == nullptr ? 1 : 0;  // one that comes again pays for nothing
        keep_homes(group);
    }
    void on_lookup(std::uint64_t key) override {
        const Record* r = records.find(key);
        const Record known = r != nullptr ? *r : Record{};
        post(from,
             [&](peer::Message& m) { return m.lookup_reply(key, r != nullptr, known.ep, known.stamp); });
    }
    void on_lookup_reply(std::uint64_t key, bool known, std::uint32_t ep, std::int64_t stamp) override {
        const std::uint32_t at = asking.find(key);
        if (at == none) return;
        TrackedTunnel& t = tuns[at];
        if (known) {
            heard_stamp(stamp);
            records.put({key, stamp, now, ep, t.group, t.load, true});
            return resume(at, ep);
        }
        if (!t.asked_all) return ask_near(at);
        if (++t.unknowing >= t.asked) resume(at, none);
    }
    void on_node_started() override {
        for (auto& e : eps) e.carried_by(from, 0), e.told = -1;
        if (sums_known) peers[from].summed = now;
        renew_chains(from, true);
    }
    // Its neighbour tells that a node fell silent; one that still runs says so itself.
    void on_peer_down(std::uint32_t node) override {
        if (node == terms.own_node) return now - hello_at > second ? say_hello() : void();
        if (node < peers.size() && peers[node].lives) lose_peer(node);
    }
    void on_outcome(std::uint32_t ep, std::uint8_t ending) override {
        if (ending > static_cast<std::uint8_t>(Outcome::not_sent)) return;
        if (Endpoint* e = ep_of(ep)) judge(*e, static_cast<Outcome>(ending), false, from);
    }
    void on_load_report(std::uint32_t ep, bool good, double load) override {
        if (ep_of(ep) == nullptr) return;
        Endpoint& e = *ep_of(ep);
        e.reported(load, now);
        e.x_told = load;
        e.x_told_at = now;
        if (good) e.bad_told = false, hear_good(e, "its reporter");
    }
    void on_load_total(std::uint32_t ep, bool good, double load) override {
        if (ep_of(ep) == nullptr) return;
        Endpoint& e = *ep_of(ep);
        e.carried_by(from, load);
        peers[from].summed = now;
        if (good) hear_good(e, "another node");
    }
    // What a node finds itself goes before what it hears: one that it found dead has to answer it first.
    void hear_good(Endpoint& e, const char* who) {
        const bool sight = e.silent && e.hearsay_until == 0 && terms.limits.health_checks_enabled;
        if (!e.aside || now - e.aside_at <= second || (sight && e.probe_good_at <= e.aside_at)) return;
        come_back(e, who);
    }
    // One or two nodes found an ep dead. Who reports of it looks for itself.
    void on_endpoint_failure(std::uint32_t ep, std::uint32_t when, std::uint32_t first,
                             std::uint32_t other) override {
        Endpoint* const e = ep_of(ep);
        const bool both = other != failure_detector::no_observer;
        if (e == nullptr || first >= peers.size() || (both && other >= peers.size())) return;
        if (!e->found_dead.add(first, other, failure_detector::expand_time(when, now), now)) return;
        if (both) e->bad_told = true, e->bad_told_at = now;
        if (e->found_dead.is_unresponsive(now)) return believe(*e);
        if (e->rank != not_reporting && !e->aside) suspect(*e);
    }
    // Guards against words of many that are wrong together: whoever has just had an answer does not believe
    // them, and of most of a zone or a cell a node wants to find one dead itself.
    void believe(Endpoint& e) {
        if (e.aside && e.hearsay_until != 0) e.hearsay_until = now + failure_detector::observation_lifetime;
        if (e.aside || now - e.good_at <= second) return;
        if (hearsay_may(e)) return set_aside(e, "found dead by others", failure_detector::quorum, true);
        suspect(e);
    }
    void suspect(Endpoint& e) {  // a failure of its own is enough now
        e.outcomes.log_likelihood_ratio =
            std::max(e.outcomes.log_likelihood_ratio, failure_detector::ejection_threshold / 2);
        look(e);
    }
    // What it found dead itself, a node tells those who report of it, once any other ep has answered it
    // since. Guards against a node that is cut off from the eps and tells everyone that they are dead.
    void report_failure(Endpoint& e) {
        if (!e.aside || !e.silent || e.hearsay_until != 0 || sums_known || !talks()) return;
        if (e.bad_at <
            e.witnessed_at + (e.rank == not_reporting ? never : failure_detector::renewal_interval))
            return;
        if (answered_at <= e.bad_at) return look_elsewhere();
        if (e.bad_at < alone_until + unheard_limit) return;  // found while no line came from anywhere
        e.witnessed_at = now;
        static_cast<void>(e.found_dead.add(terms.own_node, e.bad_at, now));
        for (const auto n : e.reporters)
            post(n, [&](auto& m) {
                return m.endpoint_failure(e.id, e.bad_at, terms.own_node, failure_detector::no_observer);
            });
    }
    void look_elsewhere() {
        if (alone_since <= answered_at) alone_since = now;
        if (now - alone_since > second && !std::exchange(cut_off, true))
            say("no ep answers since one was found dead: none is told of, the trouble is here");
        if (now - looked_at < second / 2) return;
        looked_at = now;
        for (std::size_t i = 0; i < eps.size(); ++i) {
            Endpoint& e = eps[(sweeps + i) % eps.size()];
            if (e.life == EndpointState::active && !e.aside) return look(e);
        }
    }
    void look(Endpoint& e) {
        if (e.probing || !terms.limits.health_checks_enabled || e.life != EndpointState::active) return;
        e.probing = true;
        e.probed_at = now;
        host.check_health(e.id);
    }
    void answered() {
        answered_at = now;
        if (!std::exchange(cut_off, false)) return;
        say("eps answer this node again");
        alone_until = now;
    }
    // Only records whose chains hold the node go out again: all of them would be a storm.
    void renew_chains(std::uint32_t node, bool alive) {
        peers[node].lives = true;
        std::vector<std::uint32_t> through;
        for (std::uint32_t i = 0; i < tuns.places(); ++i)
            if (tuns.used(i) && tuns[i].state == State::standing && on_chain(tuns[i].key, node))
                through.push_back(i);
        peers[node].lives = alive;
        ring_changed = true;
        for (const auto i : through) publish(tuns[i]);
    }
    void lose_peer(std::uint32_t n) {
        say("node %u is silent for %lld ms", n, static_cast<long long>((now - peers[n].heard) / 10));
        for (auto& e : eps) e.carried_by(n, 0);
        renew_chains(n, false);
    }
    // Each node gives the next two living ones a sign of life and watches the two before it, and tells all
    // where one falls silent: signs from all to all would grow with the square of the nodes.
    void keep_peers() {
        if (!talks()) return;
        // Signs go on until those who watch have long ceased to tell of silence: all reckon a little apart.
        if (now - last_sign >= second && news_pays(4)) {
            last_sign = now;
            for (const auto n : next_living(1))
                if (n != none) host.send_gossip(n, peer::Message().bytes());
        }
        const Two before = next_living(peers.size() - 1);
        for (const auto n : before) {
            if (n == none) continue;
            if (std::find(watched.begin(), watched.end(), n) == watched.end() || !news_pays())
                peers[n].heard = now;
            if (now - peers[n].heard <= silent_peer) continue;
            outbox.tell_all([&](peer::Message& m) { m.peer_down(n); });
            lose_peer(n);
        }
        watched = before;
        if (now - last_report < report_every) return;
        reckon_talk();
        if (sums_known ? now - last_report >= report_pause : report_pause < 4 * report_every) tell_sums();
    }
    // ---- load and weights
    // What it costs all on an ep, in connections served late, when its load grows from x by a load of `more`,
    // which is counted in mean connections: the slope of x * late(x).
    double harm(double x, double more) const {
        return harms[static_cast<std::size_t>(std::clamp(x, 0.0, most_load) * harm_steps)] * more;
    }
    // The load at which a copy of a group is priced at least: it stays as the eps fill up, which reports do
    // not show while what was open before a start comes in.
    double copy_load() const { return now - born < handover ? std::max(0.5, fleet_load) : fleet_load + 0.1; }
    double copy_price(std::uint32_t group) const {
        return group != 0 && !sums_known ? harm(copy_load(), group_copy) : 0;
    }
    // The marginal cost of a load of this group on an ep.
    double cost(std::uint32_t at, double load, std::uint32_t group) const {
        const Endpoint& e = eps[at];
        double copy = 0;
        if (group != 0 && held_at[at] == 0 && !(cold(e) && fleet_load > 0.6 && !sums_known)) {
            if (sums_known) load += group_copy * mean_load();
            if (!sums_known) copy = harm(std::max(priced_load(e), copy_load()), group_copy);
        }
        return crowding(e, load) + copy + (e.zone != terms.zone ? terms.costs.cross_zone : 0);
    }
    // What it costs more, on average, that a load is known only to within `unsure`: harm grows the faster the
    // fuller an ep is. Guards against a small price (of crossing zones) that decides all where no load is
    // known. Of a cold ep more is known: it began empty.
    double unsure_price() const {
        return (harm(blind_load - unsure, 1) + harm(blind_load + unsure, 1)) / 2 - harm(blind_load, 1);
    }
    double priced_load(const Endpoint& e) const {
        return unheard_of(e) ? std::max(load_now(e), blind_load) : load_now(e);
    }
    double crowding(const Endpoint& e, double load) const {
        return harm(priced_load(e) + load / room(e) / 2, load / mean_load());
    }

    // Without sums hardly a node knows which eps hold a group: its keeper, at the group's place on the ring,
    // hears of all its tunnels and tells all its homes, one more when those have no room left. Where no home
    // has room, its tunnels meet on the first ep that has, in an order that is the group's own and the same
    // at all nodes. Guards against a copy of each group on each ep.
    template <class Fits>
    std::uint32_t first_in_order(std::uint32_t group, bool apart, Fits&& fits) const {
        std::uint32_t best = none;
        std::uint64_t least = 0;
        for (std::uint32_t i = 0; i < eps.size(); ++i) {
            // Rather not where another group is just coming.
            const std::uint64_t taken = apart && now - eps[i].home_at < report_lag ? 1 : 0;
            const std::uint64_t place = taken << 63 | mix(std::uint64_t{group} << 32 | ids[i]) >> 1;
            if (best != none && place >= least) continue;  // most eps need no closer look
            if (!fits(i)) continue;
            best = i;
            least = place;
        }
        return best;
    }
    std::uint32_t new_home(std::uint32_t group, double limit, std::uint32_t zone = none) const {
        return first_in_order(group, true, [&](std::uint32_t i) {
            return has_room(eps[i], limit) && (zone == none || eps[i].zone == zone);
        });
    }
    std::uint32_t meeting_place(const TrackedTunnel& t, bool cold_one) const {
        return first_in_order(t.group, false, [&](std::uint32_t i) {
            if (held_at[i] != 0 || (cold_one && !cold(eps[i]))) return false;
            const bool tried = std::find(t.tried.begin(), t.tried.end(), i) != t.tried.end();
            return !tried && home_room(eps[i]) && cold_allows(i);
        });
    }
    bool is_home(const GroupTable::Place& p) const { return p.home_at >= 0 && now - p.home_at < home_lasts; }
    void mark_held(const TrackedTunnel& t) {
        held_at.assign(eps.size(), 0);
        bool room_left = false;
        for (const auto& p : records.groups().of(t.group)) {
            const std::uint32_t at = ep_index.find(p.ep);
            // What a node alone has of the group is known to no other that a tunnel may come to mid-flow.
            if (at == none || blind(eps[at]) || (p.members == 0 && !is_home(p))) continue;
            held_at[at] = 1;
            room_left = room_left || (cold_allows(at) && home_room(eps[at]));
        }
        if (sums_known || t.group == 0 || room_left) return;
        // Where nothing tells that a home is full, a group has several from the start, the same at all nodes;
        // and one more among the cold eps that this node has a unit for, which are seldom the same.
        for (int i = 0; i < blind_homes; ++i) {
            const std::uint32_t at = meeting_place(t, false);
            if (at == none) break;
            held_at[at] = 1;
            if (!blind(eps[at])) return;
        }
        const std::uint32_t at = meeting_place(t, true);
        if (at != none && blind(eps[at])) held_at[at] = 1;
    }
    void on_affinity_target(std::uint32_t group, std::uint32_t ep) override {
        if (ep_of(ep) == nullptr || group == 0) return;
        homes_full(group, ep);
        records.groups().set_home(group, ep, now);
        ep_of(ep)->home_at = now;
        expect(ep_index.find(ep), group_copy * mean_load());
    }
    // A group gets another home where those before it have no room left, which its keeper knows from all its
    // tunnels and others only from reports, seconds later. Guards against nodes that go on filling them.
    void homes_full(std::uint32_t group, std::uint32_t but) {
        for (const auto& p : records.groups().of(group)) {
            const std::uint32_t at = ep_index.find(p.ep);
            if (sums_known || at == none || p.ep == but || !is_home(p)) continue;
            const double lack = home_limit() * room(eps[at]) - asked(eps[at]);
            if (lack > 0) expect(at, lack);
        }
    }
    double home_limit() const {  // less while what was open before a start comes in before reports
        return std::max(now - born < handover ? home_full / 2 : home_full, fleet_load + 0.1);
    }
    // A guess that holds for all eps alike leaves a group's order as it is.
    bool home_room(const Endpoint& e) const {
        return blind(e) ? has_room(e, most_load) && shed(e) < home_full : has_room(e, home_limit());
    }
    std::uint32_t keeper(std::uint32_t group) const { return first_living(mix(group)); }
    void keep_homes(std::uint32_t group) {
        if (sums_known || keeper(group) != terms.own_node) return;
        for (const auto& p : records.groups().of(group))
            if (is_home(p) && ep_of(p.ep) != nullptr && has_room(*ep_of(p.ep), home_limit())) return;
        open_home(group, new_home(group, std::clamp(fleet_load, home_full / 2, home_full)));
    }
    // Crossings of zones for a group are paid for as long as they cost less than a copy.
    void on_cross_zone(std::uint32_t group, std::uint32_t zone) override {
        const std::uint64_t id = std::uint64_t{group} << 32 | zone;
        const std::uint32_t n = crossings.find(id) == none ? 1 : crossings.find(id) + 1;
        crossings.put(id, n);
        if (n * terms.costs.cross_zone < harm(copy_load(), group_copy)) return;
        crossings.put(id, 0);
        open_home(group, new_home(group, home_limit(), zone));
    }
    void open_home(std::uint32_t group, std::uint32_t at) {
        if (at == none) return;
        double paid = 0;  // the group's tunnels pay for what is told of it
        for (const auto& p : records.groups().of(group)) {
            if (p.ep == eps[at].id && is_home(p)) return;
            paid += talk_part * p.members - (is_home(p) ? hearer_price(peer::affinity_target_bytes) : 0);
        }
        if (paid < hearer_price(peer::affinity_target_bytes)) return;
        on_affinity_target(group, eps[at].id);
        if (!talks()) return;
        outbox.tell_all([&](peer::Message& m) { m.affinity_target(group, eps[at].id); });
    }

    // What a tunnel may cost the others, in connections served late, before it is better declined. Guards
    // against an overload in which nobody is served: the heavy and the little credited give way first.
    double worth_of(std::uint32_t profile) const {
        return shed_at * terms.traffic_classes[profile].priority_weight / mean_credit;
    }

    // ---- cold eps
    // A cold ep takes new tunnels as fast as fills it over its warm-up; where they end sooner, faster.
    double fills_in() const {
        return std::min(life(), static_cast<double>(terms.rules.slow_start_duration) / second);
    }
    // What all nodes together may send a cold ep a second: each has its share (src/budget), and borrows units
    // for tunnels that wait for one. In a window of `fall` come units of the window and of `keep` before it.
    double cold_rate(const Endpoint& e) const {
        const double window = static_cast<double>(terms.rules.overload_window) /
                              (terms.rules.overload_window + dealing.spendable_for);
        return cold_part * window * terms.rules.overload_multiple * room(e) / (mean_load() * fills_in());
    }
    bool cold_allows(std::uint32_t at) const {
        const Endpoint& e = eps[at];
        return !cold(e) || e.share.available(dealing, e.id, cold_rate(e), now) > 0;
    }
    // A tunnel waits for want of a unit: some are asked for where they lie. Not for long where it could go
    // elsewhere.
    void borrow_for(std::uint32_t at) {
        TrackedTunnel& t = tuns[at];
        if (t.unit_by == 0) host.set_timer(t.unit_by = now + unit_wait, label_of(at));
        Endpoint& e = eps[short_of];
        for (int i = 0; i < lenders; ++i) {
            const auto lender = e.share.request_lease(dealing, e.id, cold_rate(e), now);
            if (!lender) return;
            const auto slot = static_cast<std::uint32_t>(lender->slot);
            post(lender->node, [&](peer::Message& m) { return m.lease_request(e.id, slot); });
        }
    }
    void on_lease_request(std::uint32_t ep, std::uint32_t slot) override {
        Endpoint* e = ep_of(ep);
        if (e == nullptr || !cold(*e)) return;
        if (!e->share.grant_lease(dealing, ep, dealing.expand_slot(slot, now), cold_rate(*e), now)) return;
        post(from, [&](peer::Message& m) { return m.lease_grant(ep, slot); });
    }
    void on_lease_grant(std::uint32_t ep, std::uint32_t slot) override {
        Endpoint* e = ep_of(ep);
        if (e != nullptr && e->share.accept_lease(dealing, ep, dealing.expand_slot(slot, now), from, now))
            retry_held();
    }

    // ---- health
    // What fails everywhere (a store that all setups need, a burst past its rate) is no ep's fault. Setting
    // eps aside for it, and moving their tunnels, would feed the very jam: the test asks what an ep does
    // worse than the others. `by`: the node whose setup it was; only one's own say that an ep is out of
    // reach.
    void judge(Endpoint& e, Outcome ending, bool by_probe, std::uint32_t by) {
        if (ending == Outcome::cancelled || ending == Outcome::overloaded || unrelated_to_endpoint(ending))
            return;
        const bool own = by == terms.own_node;
        // Setups may share a store that probes do without, so a setup's time-out says less of the ep.
        e.outcomes.count(ending != Outcome::ok, ending == Outcome::timed_out && !by_probe, lately, now);
        if (ending == Outcome::ok) {
            e.found_dead.on_healthy(now);
            // Outcomes come to the first reporter alone: where some found the ep dead, it tells the next
            // ones.
            const bool contested = e.rank == 0 && e.found_dead.is_failing(now);
            for (std::size_t i = 1; contested && i < e.reporters.size(); ++i)
                post(e.reporters[i],
                     [&](auto& m) { return m.outcome(e.id, static_cast<std::uint8_t>(ending)); });
            if (!own) return hear_good(e, "another node");
            answered();
            e.good_at = now;
            e.silent = false;
            answers(e);
            if (e.aside) come_back(e, "its own answer");
            return;
        }
        static_cast<void>(e.faulty.add(by, now, now));
        if (own && (ending == Outcome::timed_out || ending == Outcome::unreachable)) {
            e.silent = true;
            e.bad_at = now;
            e.lost = e.lost || ending == Outcome::unreachable || (by_probe && ++e.unanswered >= 2);
        }
        if (e.aside) e.trial_at = now + trial_pause;
        if (e.outcomes.log_likelihood_ratio < failure_detector::ejection_threshold) return;
        if (own ? !e.aside || e.hearsay_until != 0 : !e.aside && e.faulty.is_failing(now) && hearsay_may(e))
            set_aside(e, e.silent ? "no answer" : "setups fail", e.outcomes.log_likelihood_ratio, !own);
    }
    // An ep that was silent and answers again may have restarted: the list says so seconds later, and by then
    // it would have fallen over under what a warm one takes. Until the list is heard it counts as cold.
    void answers(Endpoint& e) {
        e.unanswered = 0;
        if (!e.lost) return;
        e.lost = false;
        if (terms.rules.slow_start_duration <= 0 || cold(e)) return;
        say("ep %u answers again, taken as cold", e.id);
        e.started = now;
    }
    // A node with few tunnels of its own learns too little of an ep: the ep's reporter judges for all.
    void judged(Endpoint& e, Outcome ending) {
        judge(e, ending, false, terms.own_node);
        if (sums_known || never_executed(ending)) return;
        post(e.reporters[0], [&](auto& m) { return m.outcome(e.id, static_cast<std::uint8_t>(ending)); });
    }
    void set_aside(Endpoint& e, const char* why, double figure, bool hearsay = false) {
        e.aside = true;
        e.hearsay_until = hearsay ? now + failure_detector::observation_lifetime : 0;
        e.witnessed_at = -never;
        e.aside_at = now;
        e.trial_at = now + trial_pause;
        say("ep %u set aside: %s, %.1f", e.id, why, figure);
        // With most eps set aside the trouble is elsewhere: then all take part again rather than none.
        int more_in = 0;
        for (const auto& o : eps)
            if (o.life == EndpointState::active) more_in += o.aside ? -1 : 1;
        if (more_in >= 0) return;
        for (auto& o : eps)
            if (o.aside) come_back(o, "trouble everywhere");
    }
    void come_back(Endpoint& e, const char* why) {
        say("ep %u back after %lld ms, told by %s", e.id, static_cast<long long>(now - e.aside_at) / 10, why);
        e.aside = e.silent = false;
        e.outcomes.log_likelihood_ratio = 0;
    }
    // ---- the gate
    // When what is sent fails everywhere (a store past its rate, queues full), each further setup keeps the
    // jam up, and clients come again for each failure. Then no more is sent than twice what opens, and a
    // little to find out; the rest is declined at once. Guards against a storm of setups that feeds itself.
    bool gate_open() {
        const double floor =
            gate_floor / std::sqrt(std::max(1.0, nodes() / 3));  // many nodes find out for each other
        const bool open = ended_lately <= floor || ended_lately + setting_up <= 2 * opened_lately + floor;
        if (open != gate_was_open)
            say("gate %s: %.0f setups ended, %.0f opened, %d out", open ? "opens" : "shuts", ended_lately,
                opened_lately, setting_up);
        return gate_was_open = open;
    }

    // ---- placing
    // To what already holds the tunnel, until the drain's grace is over.
    bool may_still_send(const Endpoint& e) const {
        return attempt_policy::may_send_to({e.life, e.told_at}, terms.rules.drain_grace, now,
                                           2 * terms.clock_resolution) == Reason::allowed;
    }
    attempt_policy::Allowance allowance_of(const TrackedTunnel& t) const {
        const TrafficClass& p = terms.traffic_classes[t.profile];
        return {p.idempotency, p.deduplication_scope, p.deduplication_window, terms.limits.max_attempts,
                t.give_up_at,  terms.clock_resolution};
    }
    static attempt_policy::History history_of(const TrackedTunnel& t) {
        return {t.setups, t.ran_ep != none, t.ran_since};
    }
    Reason may_write(std::uint64_t id, Ticks reserve) const override {
        const std::uint32_t at = tun_index.find(id);
        if (at == none || tuns[at].state != State::setting_up) return Reason::client_gone;
        const TrackedTunnel& t = tuns[at];
        const Endpoint& e = eps[t.ep];
        return attempt_policy::may_write(allowance_of(t), history_of(t), {e.life, e.told_at},
                                         terms.rules.drain_grace, now, reserve);
    }
    bool same_scope(const TrackedTunnel& t, const Endpoint& e) const {
        if (t.ran_ep == none) return true;
        const DeduplicationScope scope = terms.traffic_classes[t.profile].deduplication_scope;
        if (terms.traffic_classes[t.profile].idempotency != Idempotency::idempotent_with_key ||
            scope == DeduplicationScope::all)
            return true;
        return scope == DeduplicationScope::zone ? e.zone == eps[t.ran_ep].zone
                                                 : e.cell == eps[t.ran_ep].cell;
    }
    double weight(const Endpoint& e, double price) const {
        double w = 1 / (price + 1e-3 + ((unheard_of(e) || blind(e)) && !cold(e) ? unsure_price() : 0));
        for (int k = 0; k < 3; ++k) w *= w;  // an ep of twice the cost gets a 256th of the weight
        const double free = unheard_of(e) ? std::max(1 - load_now(e), 0.05) : 1;
        return room(e) * free * w + weight_floor;
    }
    // What all place that is not heard of here, spread as this node would spread it.
    void expect_unheard() {
        if (sums_known || terms.groups_enabled) return;
        weights.assign(eps.size(), 0);
        for (std::uint32_t i = 0; i < eps.size(); ++i)
            if (!avoided(eps[i]) && !cold(eps[i])) weights[i] = weight(eps[i], crowding(eps[i], mean_load()));
        const double unheard_a_second = placed_lately / 10 * (tunnels_a_sample() - 1);
        expect_others(unheard_a_second * mean_load() * sweep_every / second, weights);
    }
    EndpointCounts endpoint_counts() const override { return count_eps(); }
    std::uint32_t choose(const TrackedTunnel& t) {
        weights.assign(eps.size(), 0);
        short_of = none;
        short_price = worth_of(t.profile);
        mark_held(t);
        double total = 0, least = std::numeric_limits<double>::max();
        const auto weigh = [&](std::uint32_t i, int pass) {
            Endpoint& e = eps[i];
            if (e.life != EndpointState::active || !same_scope(t, e)) return;
            const bool tried = std::find(t.tried.begin(), t.tried.end(), i) != t.tried.end();
            const bool trial = e.aside && now >= e.trial_at && t.setups == 0 &&
                               (!terms.limits.health_checks_enabled || e.probe_good_at > e.aside_at);
            if (pass == 0 && (tried || (avoided(e) && !trial))) return;
            const double price = cost(i, t.load, t.group);
            if (!cold_allows(i)) {
                if (price < short_price) short_of = i, short_price = price;
                return;
            }
            least = std::min(least, price);
            total += weights[i] = weight(e, price);
        };
        for (int pass = 0; pass < 2 && total <= 0; ++pass)
            for (const char held : {1, 0}) {
                // Another copy of the group would cost twice as much: no need to look at all the other eps.
                const bool dear = copy_price(t.group) > 2 * least;
                for (std::uint32_t i = 0; i < eps.size() && !(dear && total > 0); ++i)
                    if (held_at[i] == held) weigh(i, pass);
            }
        too_dear = total > 0 && !t.mid_flow && least > worth_of(t.profile);
        if (total <= 0 || too_dear || (waits_for_unit(t) && least - short_price > unit_gain)) return none;
        if (by_key(t)) return draw_by_key(t.key);
        double at = draw() * total;
        std::uint32_t last = none;
        for (std::uint32_t i = 0; i < eps.size(); ++i) {
            if (weights[i] <= 0) continue;
            last = i;
            at -= weights[i];
            if (at < 0) break;
        }
        return last;
    }
    // Where nodes may not talk, no record reaches who meets a tunnel mid-flow. Then the chance in the draw is
    // the key's own (rendezvous hashing), the same at all nodes: by like weights they find the ep that it was
    // placed on. A client that comes back from a break is drawn for anew.
    bool by_key(const TrackedTunnel& t) const {
        return t.keyed && !t.again && terms.packet_passthrough && !talks() && peers.size() > 1;
    }
    std::uint32_t draw_by_key(std::uint64_t key) const {
        std::uint32_t best = none;
        double most = 0;
        for (std::uint32_t i = 0; i < eps.size(); ++i) {
            const double chance = (static_cast<double>(mix(key ^ mix(ids[i])) >> 11) + 0.5) * 0x1p-53;
            const double drawn = weights[i] / -std::log(chance);
            if (drawn > most) best = i, most = drawn;
        }
        return best;
    }
    // The ep that would best take the tunnel is short of nothing but a unit that another node may have.
    bool waits_for_unit(const TrackedTunnel& t) const {
        return short_of != none && talks() && (too_dear || t.unit_by == 0 || now < t.unit_by);
    }
    void place(std::uint32_t at) {
        TrackedTunnel& t = tuns[at];
        const std::uint32_t ep = choose(t);
        if (ep != none) return send(at, ep);
        // No ep may be sent anything now (all cold, or no list yet): wait within the setup goal.
        t.due = std::min(t.arrived + terms.traffic_classes[t.profile].latency_objective,
                         t.give_up_at - 4 * terms.clock_resolution);
        if (too_dear && !waits_for_unit(t)) return finish(at, Reason::too_costly);
        if (now + terms.clock_resolution >= t.due) return finish(at, Reason::no_endpoint);
        go(at, State::holding);
        if (waits_for_unit(t)) borrow_for(at);
    }
    // Held there: what the ep holds already asks for nothing more of it.
    void send(std::uint32_t at, std::uint32_t ep, bool held_there = false) {
        TrackedTunnel& t = tuns[at];
        const TrafficClass& p = terms.traffic_classes[t.profile];
        const int others = terms.limits.max_attempts - t.setups - 1;
        Ticks wait = t.give_up_at - now;
        if (others > 0 && p.idempotency != Idempotency::non_idempotent)
            wait = std::min(wait, std::max(p.latency_objective, wait / (others + 2)));
        Endpoint& e = eps[ep];
        if (cold(e) && !held_there) static_cast<void>(e.share.spend(dealing, e.id, cold_rate(e), now));
        if (e.aside) e.trial_at = now + trial_pause;
        t.tried[static_cast<std::size_t>(std::min(t.setups, 3))] = ep;
        if (t.state == State::setting_up) go(at, State::idle);
        t.ep = ep;
        t.sent = now;
        t.stamp = next_stamp();
        ++t.setups;
        go(at, State::setting_up);
        host.start_attempt(t.id, e.id, wait);
        if (t.setups == 1 && !t.mid_flow) ++placed_new;
        expect(ep, sums_known ? 0 : t.load);
        publish(t, !t.mid_flow);
    }

    // ---- the tunnel's states
    void go(std::uint32_t at, State to) {
        TrackedTunnel& t = tuns[at];
        if (t.state == State::looking_up && t.keyed) asking.drop(t.key);
        const auto carries = [](State s) { return s == State::setting_up || s == State::standing; };
        if (carries(t.state) && !carries(to)) --eps[t.ep].carried, eps[t.ep].mine -= t.load;
        if (!carries(t.state) && carries(to)) ++eps[t.ep].carried, eps[t.ep].mine += t.load;
        setting_up += (to == State::setting_up ? 1 : 0) - (t.state == State::setting_up ? 1 : 0);
        if (t.state == State::holding) std::erase(held, at);
        if (to == State::holding) held.push_back(at);
        if (to == State::looking_up) asking.put(t.key, at);
        t.state = to;
    }
    void release(std::uint32_t at) {
        TrackedTunnel& t = tuns[at];
        go(at, State::idle);
        const Record* r = t.keyed ? records.find(t.key) : nullptr;
        if (r != nullptr && r->stamp == t.stamp && t.ep != none && r->ep == eps[t.ep].id) records.drop(t.key);
        tun_index.drop(t.id);
        tuns.give_back(at);
    }
    // The final answer of a tunnel that is given up: at once, and a decline wherever that is true.
    void finish(std::uint32_t at, Reason why) {
        TrackedTunnel& t = tuns[at];
        host.report_reason(t.id, why);
        if (attempt_policy::may_promise_no_effect(allowance_of(t), history_of(t), now))
            host.reject(t.id, std::min(terms.limits.max_retry_after,
                                       terms.traffic_classes[t.profile].latency_objective));
        else
            host.fail(t.id);
        release(at);
    }
    std::uint32_t admit(std::uint64_t id, const TunnelRequest& a) {
        const std::uint32_t at = tuns.take();
        TrackedTunnel& t = tuns[at];
        t = {.id = id, .give_up_at = a.deadline, .arrived = now, .profile = a.traffic_class};
        t.keyed = !a.key.empty();
        t.mid_flow = a.mid_flow;
        t.again = a.reconnect;
        if (t.keyed) t.key = hash_text(a.key);
        if (terms.groups_enabled && !a.group.empty())
            t.group = static_cast<std::uint32_t>(hash_text(a.group) | 1);
        const Record* r = t.keyed ? records.find(t.key) : nullptr;
        t.load = a.expected_load > 0                 ? a.expected_load
                 : profile_load[t.profile].count > 0 ? profile_load[t.profile].value
                                                     : mean_load();
        if (r != nullptr && r->load > 0) t.load = r->load;
        tun_index.put(id, at);
        return at;
    }
    void on_request(std::uint64_t id, const TunnelRequest& a) override {
        const peer::Delivery delivery(outbox);
        const std::uint32_t at = admit(id, a);
        TrackedTunnel& t = tuns[at];
        if (!a.mid_flow) return gate_open() ? place(at) : finish(at, Reason::gate_shut);
        if (!t.keyed || asking.find(t.key) != none) return place(at);
        Ring::Chain nodes{};
        chain(t.key, nodes);
        go(at, State::looking_up);
        const Record* r = records.find(t.key);
        if (nodes[0] == terms.own_node && r != nullptr) return resume(at, r->ep);
        if (!talks()) return resume(at, r != nullptr ? r->ep : none);
        if (nodes[0] == terms.own_node) return ask_near(at);
        post(nodes[0], [&](peer::Message& m) { return m.lookup(t.key); });
        wait_for_answer(at);
    }
    void wait_for_answer(std::uint32_t at) {
        TrackedTunnel& t = tuns[at];
        t.due = now + std::min(tail_wait, std::max<Ticks>((t.give_up_at - now) / 4, 0));
        host.set_timer(t.due, label_of(at));
    }
    // A tail that lost its records (it restarted, or took over from one that died) cannot answer: then a copy
    // names the ep, the node's own first, else that of a node near the tail on the ring, which was on the
    // chain before. Newest-stamp records never name an ep that was left before.
    void ask_near(std::uint32_t at) {
        TrackedTunnel& t = tuns[at];
        const Record* r = records.find(t.key);
        if (r != nullptr) return resume(at, r->ep);
        t.asked_all = true;
        t.unknowing = t.asked = 0;
        Ring::Chain near{};
        const std::size_t n = ring.chain(
            t.key, near_tail, [this](std::uint32_t k) { return lives(k); }, near);
        for (std::size_t i = 0; i < n; ++i) {
            if (near[i] == terms.own_node) continue;
            post(near[i], [&](peer::Message& m) { return m.lookup(t.key); });
            ++t.asked;
        }
        if (t.asked == 0) return resume(at, none);
        wait_for_answer(at);
    }
    void resume(std::uint32_t at, std::uint32_t ep_id) {
        const std::uint32_t ep = ep_id == none ? none : ep_index.find(ep_id);
        if (ep == none || !may_still_send(eps[ep]) || (eps[ep].aside && eps[ep].silent)) return place(at);
        if (placed_before(tuns[at].key, eps[ep])) return place(at);  // an ep that restarted holds it no more
        send(at, ep, true);
    }
    void on_timer(std::uint64_t label) override {
        const peer::Delivery delivery(outbox);
        if (label == 0) return sweep();
        const auto at = static_cast<std::uint32_t>((label - 1) & 0xffffffffU);
        if (!tuns.used(at) || label_of(at) != label) return;
        TrackedTunnel& t = tuns[at];
        if (t.state == State::holding && t.unit_by != 0) return retry(at);
        if (t.state != State::looking_up || now < t.due) return;
        if (!t.asked_all) return ask_near(at);
        resume(at, none);
    }
    void adopt_open_tunnel(std::uint64_t id, const TunnelRequest& a, std::uint32_t ep_id) override {
        const peer::Delivery delivery(outbox);
        const std::uint32_t ep = ep_index.find(ep_id);
        if (ep == none) return;
        const std::uint32_t at = admit(id, a);
        TrackedTunnel& t = tuns[at];
        t.ep = ep;
        t.setups = 1;
        t.sent = now;
        t.stamp = next_stamp();
        go(at, State::standing);
        publish(t);
    }
    void on_opened(std::uint64_t id, int setup, std::uint32_t, Ticks) override {
        const peer::Delivery delivery(outbox);
        const std::uint32_t at = tun_index.find(id);
        if (at == none || tuns[at].state != State::setting_up || setup + 1 != tuns[at].setups) return;
        judged(eps[tuns[at].ep], Outcome::ok);
        ++opened_lately, ++ended_lately, ++stood_lately;
        go(at, State::standing);
    }
    void on_ended(std::uint64_t id, int setup, std::uint32_t, Outcome ending, Ticks took,
                  bool settled) override {
        const peer::Delivery delivery(outbox);
        const std::uint32_t at = tun_index.find(id);
        if (at == none || setup + 1 != tuns[at].setups) return;
        TrackedTunnel& t = tuns[at];
        if (t.state == State::setting_up) {
            const Ticks fair = attempt_policy::fair_wait(terms.traffic_classes[t.profile].latency_objective);
            const bool too_short = ending == Outcome::timed_out && took < fair;
            if (!too_short) judged(eps[t.ep], ending);
            // These did not get as far as a jam.
            if (ending != Outcome::unreachable && ending != Outcome::withdrawn && !too_short) ++ended_lately;
            if (ending == Outcome::ok) ++opened_lately;
        }
        if (t.state == State::standing && ending == Outcome::ok) ++ends;
        if (t.state == State::standing && ending == Outcome::connection_lost) {
            eps[t.ep].cut_at = now;
            if (now - t.sent < soon_cut) ++cut_lately;
        }
        if (settled || t.state == State::answered) return release(at);
        if (t.state != State::setting_up) return finish(at, Reason::attempts_used);
        if (!never_executed(ending) && t.ran_ep == none) {
            t.ran_ep = t.ep;
            t.ran_since = t.sent;
        }
        const Reason reason = may_try_again(t, ending);
        if (reason != Reason::allowed) return finish(at, reason);
        place(at);
    }
    Reason may_try_again(const TrackedTunnel& t, Outcome ending) {
        const Reason reason = attempt_policy::may_repeat(allowance_of(t), history_of(t), ending, now);
        if (reason != Reason::allowed) return reason;
        // Where most setups fail everywhere, another try would only add to it.
        if (ending == Outcome::timed_out && eps[t.ep].outcomes.failure_rate_elsewhere(lately, now) >
                                                failure_detector::outlier_failure_rate / 2)
            return Reason::failing_everywhere;
        return gate_open() ? Reason::allowed : Reason::gate_shut;
    }
    void set_answer_deadline(Ticks when) override {
        for (std::uint32_t i = 0; i < tuns.places(); ++i)
            if (tuns.used(i)) tuns[i].give_up_at = std::min(tuns[i].give_up_at, when);
        for (const auto i : held) tuns[i].due = std::min(tuns[i].due, when - 4 * terms.clock_resolution);
    }
    void on_client_disconnected(std::uint64_t id) override {
        const std::uint32_t at = tun_index.find(id);
        if (at == none) return;
        if (tuns[at].state == State::setting_up) return go(at, State::answered);
        if (tuns[at].state == State::looking_up || tuns[at].state == State::holding) release(at);
    }

    // ---- another process takes the node's place
    void serialize_state(std::string& into) const override { state_codec::write(into, *this); }
    bool restore_state(std::string_view told, Ticks clock_shift) override {
        const bool read = state_codec::read(told, *this, clock_shift);
        records.each([this](const Record& r) { heard_stamp(r.stamp); });
        deal_anew();
        return read;
    }
    void resume_ownership() override { deal_anew(); }
    bool serialize_tunnel(std::uint64_t id, std::string& into) const override {
        const std::uint32_t at = tun_index.find(id);
        const bool stands = at != none && tuns[at].state == State::standing;
        if (stands) state_codec::write(into, tuns[at], eps[tuns[at].ep].id);
        return stands;
    }
    bool restore_tunnel(std::uint64_t id, std::string_view told, Ticks clock_shift) override {
        TrackedTunnel t{.id = id, .setups = 1};
        t.ep = ep_index.find(state_codec::read(told, t, clock_shift));
        if (t.ep == none || t.profile >= terms.traffic_classes.size()) return false;
        const std::uint32_t at = tuns.take();
        tuns[at] = t;
        tun_index.put(id, at);
        go(at, State::standing);
        return true;
    }

    // ---- what is learned on the way
    void on_load_changed(std::uint64_t id, double load) override {
        const std::uint32_t at = tun_index.find(id);
        if (at == none) return;
        TrackedTunnel& t = tuns[at];
        if (t.state == State::setting_up || t.state == State::standing) eps[t.ep].mine += load - t.load;
        t.load = load;
        profile_load[t.profile].add(load);
        any_load.add(load);
    }
    void on_slow_messages(std::uint64_t, std::uint32_t ep_id, Ticks takes) override {
        if (ep_of(ep_id) == nullptr) return;
        Endpoint& e = *ep_of(ep_id);
        slowed(e, takes);
        // Work piled up makes a message wait, but not for longer than any client: such an ep has stopped.
        if (takes > 2 * longest_timeout) stopped(e, "a message takes, in s,", takes);
    }
    void stopped(Endpoint& e, const char* why, Ticks figure) {
        if (e.aside && e.silent) return;
        e.silent = true;
        e.bad_at = now;
        e.outcomes.log_likelihood_ratio = failure_detector::ejection_threshold;
        if (!e.aside || e.hearsay_until != 0) set_aside(e, why, static_cast<double>(figure) / second);
    }
    // A sound ep answers a line at once, on each connection. Guards against one that hangs or is cut off, of
    // which setups and probes tell only seconds later.
    void on_unresponsive(std::uint32_t ep_id, Ticks span) override {
        Endpoint* const e = ep_of(ep_id);
        if (e == nullptr || span < (e->aside ? unheard_limit / 2 : unheard_limit)) return;
        stopped(*e, "seconds with no line", span);
    }
    void on_health_check(std::uint32_t ep_id, Outcome ending, Ticks, const LoadReport& r) override {
        if (ep_of(ep_id) == nullptr) return;
        Endpoint& e = *ep_of(ep_id);
        e.probing = false;
        if (ending == Outcome::timed_out || ending == Outcome::unreachable)
            judge(e, ending, true, terms.own_node);
        if (ending != Outcome::ok) return;
        answered();
        e.probe_good_at = now;
        answers(e);
        double x = r.load;
        if (std::isnan(x)) x = r.utilization;
        if (std::isnan(x) && !std::isnan(r.inflight)) x = r.inflight * mean_load() / (e.size * room_a_size);
        if (std::isnan(x) && !std::isnan(r.queue)) x = 0.5 + r.queue / (10 * e.size);
        if (!std::isnan(r.backlog_seconds)) x = (std::isnan(x) ? 0 : x) + r.backlog_seconds;
        if (std::isnan(x)) return;
        if (!terms.reports_message_delay) pile_up(e, x);
        e.reported(x, now);
        if (x == e.last_report || !sums_known) return;  // not yet refreshed
        e.last_report = x;
        const double load = asked(e);
        if (x < 0.1 || load < 2 * mean_load() || any_load.count < few_loads) return;  // too little
        const double seen = load / x / warmth(e);
        e.room = e.room > 0 ? e.room + (seen - e.room) * 0.4 : seen;
    }

    // ---- moving tunnels off an ep that serves none of them well
    // The tunnels whose moves win the most go first; the weights place them when they are back. A node moves
    // its part of the excess, by chance where that is less than one tunnel, so that not all move at once.
    void relieve(std::uint32_t at) {
        Endpoint& e = eps[at];
        const bool dead = e.aside && e.silent;
        if (e.carried == 0 || now - e.moved_at < second / 2 || !gate_was_open || setting_up > 4) return;
        const double x = load_of(e, asked(e) - e.pending);
        const bool seen = sums_known || e.x_at > e.moved_at + report_lag;  // what was moved last
        if (!dead && (blind(e) || x < move_from || x < 1.2 * fleet_load || !seen)) return;
        e.moved_at = now;
        double left = dead ? e.mine / 2 : (x - move_from) / x * e.mine;
        while (left > 0 && moves_left >= 1) {
            const std::uint32_t t = best_move(e, x, dead);
            if (t == none || draw() * tuns[t].load > left) return;
            left -= tuns[t].load;
            moves_left -= 1;
            go(t, State::leaving);
            host.migrate(tuns[t].id);
        }
    }
    std::uint32_t best_move(const Endpoint& off, double x, bool dead) {
        std::uint32_t best = none;
        double most = move_gain;
        for (std::uint32_t i = 0; i < tuns.places(); ++i) {
            const TrackedTunnel& t = tuns[i];
            if (!tuns.used(i) || t.state != State::standing || &eps[t.ep] != &off) continue;
            // With the last of a group its copy goes too: each member counts for its part of that.
            const int members = records.groups().members(t.group, off.id);
            const double load = t.load / mean_load() + (members > 0 ? group_copy / members : 0);
            const double here = dead ? 10 : harm(x - t.load / room(off) / 2, load);
            if (here < most) continue;
            mark_held(t);
            double there = worth_of(t.profile);  // in a full fleet it is better declined
            const double dear = copy_price(t.group);
            for (std::uint32_t k = 0; k < eps.size(); ++k)
                if ((held_at[k] != 0 || dear < there) && &eps[k] != &off && cold_allows(k) &&
                    has_room(eps[k], most_load))
                    there = std::min(there, cost(k, t.load, t.group));
            if (here - there <= most) continue;
            most = here - there;
            best = i;
        }
        return best;
    }
    // ---- the sweep
    void sweep() {
        host.set_timer(now + sweep_every, 0);
        if (!greeted) greet();
        keep_list();
        forget_placed(sums_known ? report_pause : report_lag);
        lately.fade(failure_detector::outcome_decay);
        for (double* part : {&opened_lately, &ended_lately, &stood_lately, &cut_lately}) *part *= gate_decay;
        for (auto& e : eps) e.fresh_drift *= drift_decay;
        expect_unheard();
        retry_held();
        const double age = static_cast<double>(now - born) / second;
        const auto towards = [](double& a_second, double seen, double window) {
            a_second += (seen - a_second * sweep_every / second) / window;
        };
        towards(ends_a_second, ends, std::clamp(age, 1.0, 20.0));
        towards(placed_lately, 10.0 * std::exchange(placed_new, 0), std::clamp(age, 1.0, 10.0));
        ends_in_all += ends;
        for (const auto& e : eps) carried_time += e.carried * static_cast<double>(sweep_every) / second;
        ends = 0;
        // Moved clients come back through a shared store: no faster than some times the rate of tunnels.
        const double moves_a_second =
            moves_a_tunnel * std::max(ends_a_second, 0.7 * std::min(1.0, 3 / nodes()));
        moves_left =
            std::min(moves_left + moves_a_second * sweep_every / second, std::max(moves_a_second, 2.0));
        if (++sweeps % (1 + eps.size() / 64) == 0) look_over();
        keep_peers();
        if (now - last_scan >= second) {
            last_scan = now;
            for (std::uint32_t i = 0; i < tuns.places(); ++i)
                if (tuns.used(i) && tuns[i].state == State::standing && tuns[i].keyed &&
                    now >= tuns[i].refresh_at)
                    publish(tuns[i]);
            records.drop_unheard_since(now - forget_after);
            sampled = records.sampled(now - refresh_every - 2 * second, born);
        }
    }
    // What looks at all eps is done less often the more there are: the node has little time for it.
    void look_over() {
        if (ring_changed) find_reporters();
        weigh_fleet();
        if (terms.limits.health_checks_enabled) send_probes();
        for (std::uint32_t i = 0; i < eps.size(); ++i) relieve(i);
        for (auto& e : eps) {
            report_failure(e);
            if (e.aside && e.hearsay_until != 0 && now >= e.hearsay_until) come_back(e, "nobody any more");
            if (!sums_known && talks() && to_tell_dead(e)) tell_dead(e);
        }
        if (cut_off) look_elsewhere();
        if (!sums_known && talks()) tell_reports();
    }
    void retry_held() {
        retrying = held;
        for (const std::uint32_t at : retrying) retry(at);
    }
    void retry(std::uint32_t at) {
        TrackedTunnel& t = tuns[at];
        const std::uint32_t ep = choose(t);
        if (ep != none)
            send(at, ep);
        else if (too_dear && !waits_for_unit(t))
            finish(at, Reason::too_costly);
        else if (now + sweep_every >= t.due)
            finish(at, Reason::no_endpoint);
        else if (waits_for_unit(t))
            borrow_for(at);
    }
    Ticks probe_pause() const {
        const double probes = static_cast<double>(eps.size()) * (sums_known || !talks() ? nodes() : 1);
        return paced(probe_every, terms.costs.health_check * probes, 8);
    }
    void send_probes() {
        const Ticks pause = probe_pause();
        for (auto& e : eps) {
            if (e.life != EndpointState::active || e.probing) continue;
            // Without sums an ep's reporter probes for all; the others only where they hear nothing of it.
            const bool alone = sums_known || !talks();  // no reporter tells of it
            const bool mine = alone || e.rank != not_reporting;
            // Is it back? Once it answers probes a trial tells, and probes no more than of others.
            const bool unanswered = e.silent && e.probe_good_at <= e.bad_at;
            const Ticks wait = unanswered ? probe_every
                               : mine     ? pause * (alone ? 1 : 1 + 4 * e.rank)
                                          : 8 * tell_pause;
            if (now - std::max(e.probed_at, mine ? -never : e.x_at) < wait) continue;
            look(e);
        }
    }
};

}  // namespace

std::unique_ptr<Balancer> Balancer::start(BalancerConfig terms, BalancerDelegate& host, Ticks now) {
    return std::make_unique<Mind>(std::move(terms), host, now);
}

}  // namespace lemonstair
