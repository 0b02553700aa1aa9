// All decisions of lemonstair. One Balancer (balance.h is its interface) decides for one node: a front calls
// it with what the node sees (arrive, begun, ended, probed, told, listed, woken ...) and it answers through
// BalancerDelegate. New tunnels are placed at once by weights from probed load; the record key -> endpoint_id
// goes down a chain of nodes on a consistent hash ring; a mid-flow tunnel asks the chain's tail
// (docs/design.md). Nothing here is shared.
#include "balance/balance.h"

#include <cmath>

#include "balance/attempt_policy.h"
#include "balance/state_codec.h"
#include "balance/talk.h"

namespace lemonstair {
namespace {

// The mechanism's figures (docs/design.md gives the source of each).
constexpr std::size_t lookup_fanout = 5;
constexpr Ticks lookup_timeout = second / 5;
constexpr Ticks record_lifetime = 4 * refresh_period;  // after three missed
constexpr Ticks tick_interval = second / 10, health_check_period = second;
constexpr Ticks placement_visible_after = 2 * second;  // what is placed or moved shows in reports by then
constexpr double unreported_decay = 1 - static_cast<double>(tick_interval) / placement_visible_after;
constexpr Ticks peer_timeout = 5 * second / 2, probation_interval = 2 * second;
constexpr Ticks line_timeout = second;
// The gate looks back about 3 s; its floor lets about one setup a second find out whether the jam is over.
constexpr double admission_decay = failure_detector::outcome_decay, admission_allowance = 4;

// The part of an endpoint_id's messages that come late at load x is taken as exp(-late_slope * (1 - x)).
constexpr double late_exponent = 8, late_cost_steps = 256, max_utilization = 3;
constexpr double utilization_deviation =
    0.29;  // the standard deviation of a load that may be any from none to full

constexpr double weight_floor = 1e-9;                    // no weight and no total reaches zero
constexpr Ticks inherited_tunnels_settle = 5 * second;   // what was open before a start comes in by then
constexpr Ticks early_loss_window = 3 * second;          // as far as the gate looks back
constexpr int default_affinity_targets = 4;              // of a group, where nothing tells of their room
constexpr double affinity_max_utilization = 0.65;        // load from which a group is given another home
constexpr Ticks affinity_target_lifetime = 60 * second;  // after its keeper's last word
constexpr double slow_start_safety = 0.8;  // of a cold endpoint_id's budget: what is known of it is reckoned
constexpr double lease_min_gain = 0.02;    // what waiting for a unit must win, in connections
constexpr Ticks lease_timeout =
    second / 50;                 // for another node's answer, where the tunnel could go elsewhere
constexpr int lease_fanout = 2;  // asked at once
constexpr double shed_cost = 1.5, migrations_per_tunnel = 5;
constexpr double migrate_above = 0.8;       // load from which tunnels are moved off an endpoint_id
constexpr double migration_min_gain = 0.5;  // what a move must win, in connections served instead of late

struct DecisionEngine final : Balancer, peer::MessageHandler, Talk {
    DecisionEngine(BalancerConfig given, BalancerDelegate& to, Ticks index)
        : Talk(std::move(given), to, index) {
        poll_list_at = now + draw_delay(backoff::first_call_spread(peers.size()));
        list_backoff = backoff::Backoff(std::max(second / 4, backoff::first_call_spread(peers.size())));
        last_published_at = now - draw_delay(report_period);
        for (double utilization = 0; utilization <= max_utilization; utilization += 1 / late_cost_steps)
            late_cost_slope.push_back((1 + late_exponent * utilization) *
                                      std::exp(-late_exponent * (1 - utilization)));
        delegate.set_timer(now + tick_interval, 0);
    }

    void
    announce_start() {  // a node that has just started holds no records: the others send what it should hold
        hello_sent = true;
        if (gossip_worthwhile()) send_hello();
    }
    void send_hello() {
        hello_sent_at = now;
        if (gossip_enabled()) outbox.broadcast([](peer::Message& m) { m.node_started(); });
    }

    // ---- the list of eps
    void set_time(Ticks clock) override { now = clock; }
    void update_config(BalancerConfig given) override { apply_config(std::move(given)); }
    void begin_endpoint_list(EndpointListKind kind) override {
        list_kind = kind;
        for (auto& endpoint : endpoints) endpoint.listed = false;
    }
    void add_endpoint(std::uint32_t id, std::uint32_t zone, std::uint32_t cell, EndpointState state,
                      double size, Ticks started) override {
        std::uint32_t index = endpoint_by_id.find(id);
        if (index == none) {
            index = static_cast<std::uint32_t>(endpoints.size());
            endpoint_by_id.put(id, index);
            endpoints.emplace_back();
            endpoint_ids.push_back(id);
            endpoints[index].id = id;
            endpoints[index].load_by_node.assign(peers.size(), 0);
            endpoints[index].health_checked_at = now - draw_delay(health_check_period);
        }
        Endpoint& endpoint = endpoints[index];
        if (started > endpoint.listed_start) endpoint.start_incarnation(started);
        set_state(endpoint, state);
        endpoint.zone = zone;
        endpoint.cell = cell;
        endpoint.size = config.endpoint_sizes_differ && size > 0 ? size : 1;
        endpoint.listed = true;
    }
    // The grace of a drain runs from the first word of it, whatever follows.
    void set_state(Endpoint& endpoint, EndpointState state) {
        if (endpoint.state == EndpointState::active && state != EndpointState::active)
            endpoint.drain_notified_at = now;
        endpoint.state = state;
    }
    void end_endpoint_list() override {
        if (list_kind == EndpointListKind::failed || list_kind == EndpointListKind::moved) {
            list_is_live = false;  // what the old place failed is not held against the new one
            if (list_kind == EndpointListKind::moved) list_backoff.on_success();
            poll_list_at =
                now + (list_kind == EndpointListKind::failed ? list_backoff.on_failure(draw()) : 0);
            log_line("list lost, failures %d", list_backoff.failures());
            return poll_endpoint_list();
        }
        if (list_kind == EndpointListKind::complete || list_kind == EndpointListKind::cached)
            for (auto& endpoint : endpoints)
                if (!endpoint.listed) set_state(endpoint, EndpointState::removed);
        elect_report_owners();
        if (list_kind == EndpointListKind::cached) return initialise_load_estimates();
        if (list_backoff.failures() > 0) log_line("list back after %d failures", list_backoff.failures());
        list_backoff.on_success();
        list_is_live = true;
    }
    // Before any traffic is seen, an endpoint_id is taken to get a tunnel in three seconds.
    void initialise_load_estimates() {
        placement_rate = static_cast<double>(endpoints.size()) / 3 * 10 / placements_per_sample();
        update_gossip_intervals();
        // Guards against nodes that all read one endpoint_id's report at one time, and then crowd the light
        // ones.
        for (auto& endpoint : endpoints)
            if (!gossip_enabled()) endpoint.health_checked_at = now - draw_delay(health_check_interval());
        if (gossip_enabled() && load_totals_interval < 4 * report_period)
            for (auto& p : peers) p.load_totals_at = now;
        update_fleet_estimates();
    }
    void poll_endpoint_list() {
        if (!config.must_poll || list_is_live || now < poll_list_at) return;
        poll_list_at = now + std::max(second, config.rules.poll_interval / 2);
        delegate.request_endpoint_list();
    }

    // ---- the ring, the records
    // Down the chain from its head, each member towards the tail.
    void forward_record(std::uint64_t key, std::uint32_t endpoint_id, Ticks stamp, std::uint32_t group,
                        double load, bool first) {
        Ring::Chain nodes{};
        const std::size_t n = chain(key, nodes);
        const std::size_t me = static_cast<std::size_t>(
            std::find(nodes.begin(), nodes.begin() + n, config.own_node) - nodes.begin());
        if (!first && me == n) return;
        const std::size_t to = first && me + 1 != n ? n : me;
        if (to == 0) return;
        post(nodes[to - 1], [&](peer::Message& m) { return m.record(key, endpoint_id, stamp, group, load); });
    }
    void publish(TrackedTunnel& tunnel, bool first = false) {
        if (!tunnel.has_key) return;
        const std::uint32_t endpoint_id = endpoints[tunnel.endpoint_index].id;
        records.put({tunnel.key, tunnel.stamp, now, endpoint_id, tunnel.group, tunnel.load, true});
        tunnel.refresh_records_at = now + refresh_period;
        forward_record(tunnel.key, endpoint_id, tunnel.stamp, tunnel.group, tunnel.load, true);
        if (load_totals_known || tunnel.group == 0) return;
        const bool far = first && endpoints[tunnel.endpoint_index].zone != config.zone;
        const std::uint32_t to = group_leader(tunnel.group);
        if (far && to == config.own_node) on_cross_zone(tunnel.group, config.zone);
        if (far) post(to, [&](peer::Message& m) { return m.cross_zone(tunnel.group, config.zone); });
        if (to == config.own_node || on_chain(tunnel.key, to)) return maintain_affinity_targets(tunnel.group);
        post(to, [&](peer::Message& m) {
            return m.record(tunnel.key, endpoint_id, tunnel.stamp, tunnel.group, tunnel.load);
        });
    }

    // ---- what other nodes say
    void on_gossip(std::uint32_t node, std::span<const std::uint8_t> bytes) override {
        const peer::FlushOnExit delivery(outbox);
        if (node >= peers.size() || node == config.own_node) return;
        sender = node;
        peers[node].heard_at = now;
        if (!peers[node].alive) {
            log_line("node %u is back", node);
            rereplicate_records(node, true);
            post(node, [&](peer::Message& m) { return m.peer_down(node); });  // so that it tells all
        }
        peer::decode(bytes, *this);
    }
    void on_record(std::uint64_t key, std::uint32_t endpoint_id, std::int64_t stamp, std::uint32_t group,
                   double load) override {
        observe_stamp(stamp);
        const Record* known = records.find(key);
        const bool fresh = known == nullptr || known->stamp != stamp;
        const bool on_own_chain = on_chain(key, config.own_node);
        if (!records.put({key, stamp, now, endpoint_id, group, load, on_own_chain}))
            return;  // the newest stamp wins
        forward_record(key, endpoint_id, stamp, group, load, false);
        const std::uint32_t index = endpoint_by_id.find(endpoint_id);
        // What others place shows in no sum yet; counting it keeps nodes from crowding one endpoint_id
        // together.
        if (index == none || !fresh || now - stamp > second) return;
        add_pending_load(index, load);
        placed_since_tick +=
            on_own_chain && known == nullptr ? 1 : 0;  // one that comes again pays for nothing
        maintain_affinity_targets(group);
    }
    void on_lookup(std::uint64_t key) override {
        const Record* record = records.find(key);
        const Record known = record != nullptr ? *record : Record{};
        post(sender, [&](peer::Message& m) {
            return m.lookup_reply(key, record != nullptr, known.endpoint_id, known.stamp);
        });
    }
    void on_lookup_reply(std::uint64_t key, bool known, std::uint32_t endpoint_id,
                         std::int64_t stamp) override {
        const std::uint32_t index = lookups.find(key);
        if (index == none) return;
        TrackedTunnel& tunnel = tunnels[index];
        if (known) {
            observe_stamp(stamp);
            records.put({key, stamp, now, endpoint_id, tunnel.group, tunnel.load, true});
            return resume(index, endpoint_id);
        }
        if (!tunnel.queried_all) return query_neighbours(index);
        if (++tunnel.negative_answers >= tunnel.queried_nodes) resume(index, none);
    }
    void on_node_started() override {
        for (auto& endpoint : endpoints) endpoint.set_load_of_node(sender, 0), endpoint.published_load = -1;
        if (load_totals_known) peers[sender].load_totals_at = now;
        rereplicate_records(sender, true);
    }
    // Its neighbour tells that a node fell silent; one that still runs says so itself.
    void on_peer_down(std::uint32_t node) override {
        if (node == config.own_node) return now - hello_sent_at > second ? send_hello() : void();
        if (node < peers.size() && peers[node].alive) mark_peer_down(node);
    }
    void on_outcome(std::uint32_t endpoint_id, std::uint8_t ending) override {
        if (ending > static_cast<std::uint8_t>(Outcome::not_sent)) return;
        if (Endpoint* endpoint = find_endpoint(endpoint_id))
            record_outcome(*endpoint, static_cast<Outcome>(ending), false, sender);
    }
    void on_load_report(std::uint32_t endpoint_id, bool good, double load) override {
        if (find_endpoint(endpoint_id) == nullptr) return;
        Endpoint& endpoint = *find_endpoint(endpoint_id);
        endpoint.on_load_report(load, now);
        endpoint.published_utilization = load;
        endpoint.published_at = now;
        if (good) endpoint.failure_published = false, on_reported_healthy(endpoint, "its reporter");
    }
    void on_load_total(std::uint32_t endpoint_id, bool good, double load) override {
        if (find_endpoint(endpoint_id) == nullptr) return;
        Endpoint& endpoint = *find_endpoint(endpoint_id);
        endpoint.set_load_of_node(sender, load);
        peers[sender].load_totals_at = now;
        if (good) on_reported_healthy(endpoint, "another node");
    }
    // What a node finds itself goes before what it hears: one that it found dead has to answer it first.
    void on_reported_healthy(Endpoint& endpoint, const char* who) {
        const bool sight = endpoint.unresponsive && endpoint.gossip_ejection_until == 0 &&
                           config.limits.health_checks_enabled;
        if (!endpoint.ejected || now - endpoint.ejected_at <= second ||
            (sight && endpoint.health_check_passed_at <= endpoint.ejected_at))
            return;
        readmit(endpoint, who);
    }
    // One or two nodes found an endpoint_id dead. Who reports of it looks for itself.
    void on_endpoint_failure(std::uint32_t endpoint_id, std::uint32_t when, std::uint32_t first,
                             std::uint32_t other) override {
        Endpoint* const endpoint = find_endpoint(endpoint_id);
        const bool both = other != failure_detector::no_observer;
        if (endpoint == nullptr || first >= peers.size() || (both && other >= peers.size())) return;
        if (!endpoint->unresponsive_observations.add(first, other, failure_detector::expand_time(when, now),
                                                     now))
            return;
        if (both) endpoint->failure_published = true, endpoint->failure_published_at = now;
        if (endpoint->unresponsive_observations.is_unresponsive(now)) return accept_gossip(*endpoint);
        if (endpoint->owner_rank != not_report_owner && !endpoint->ejected) raise_suspicion(*endpoint);
    }
    // Guards against words of many that are wrong together: whoever has just had an answer does not believe
    // them, and of most of a zone or a cell a node wants to find one dead itself.
    void accept_gossip(Endpoint& endpoint) {
        if (endpoint.ejected && endpoint.gossip_ejection_until != 0)
            endpoint.gossip_ejection_until = now + failure_detector::observation_lifetime;
        if (endpoint.ejected || now - endpoint.succeeded_at <= second) return;
        if (gossip_may_eject(endpoint))
            return eject(endpoint, "found dead by others", failure_detector::quorum, true);
        raise_suspicion(endpoint);
    }
    void raise_suspicion(Endpoint& endpoint) {  // a failure of its own is enough now
        endpoint.failure_likelihood.log_likelihood_ratio = std::max(
            endpoint.failure_likelihood.log_likelihood_ratio, failure_detector::ejection_threshold / 2);
        start_health_check(endpoint);
    }
    // What it found dead itself, a node tells those who report of it, once any other endpoint_id has answered
    // it since. Guards against a node that is cut off from the eps and tells everyone that they are dead.
    void report_failure(Endpoint& endpoint) {
        if (!endpoint.ejected || !endpoint.unresponsive || endpoint.gossip_ejection_until != 0 ||
            load_totals_known || !gossip_enabled())
            return;
        if (endpoint.failed_at <
            endpoint.failure_reported_at +
                (endpoint.owner_rank == not_report_owner ? never : failure_detector::renewal_interval))
            return;
        if (last_success_at <= endpoint.failed_at) return check_isolation();
        if (endpoint.failed_at < isolated_until + line_timeout)
            return;  // found while no line came from anywhere
        endpoint.failure_reported_at = now;
        static_cast<void>(endpoint.unresponsive_observations.add(config.own_node, endpoint.failed_at, now));
        for (const auto n : endpoint.report_owners)
            post(n, [&](auto& m) {
                return m.endpoint_failure(endpoint.id, endpoint.failed_at, config.own_node,
                                          failure_detector::no_observer);
            });
    }
    void check_isolation() {
        if (isolated_since <= last_success_at) isolated_since = now;
        if (now - isolated_since > second && !std::exchange(isolated, true))
            log_line("no endpoint_id answers since one was found dead: none is told of, the trouble is here");
        if (now - isolation_checked_at < second / 2) return;
        isolation_checked_at = now;
        for (std::size_t i = 0; i < endpoints.size(); ++i) {
            Endpoint& endpoint = endpoints[(ticks + i) % endpoints.size()];
            if (endpoint.state == EndpointState::active && !endpoint.ejected)
                return start_health_check(endpoint);
        }
    }
    void start_health_check(Endpoint& endpoint) {
        if (endpoint.health_check_pending || !config.limits.health_checks_enabled ||
            endpoint.state != EndpointState::active)
            return;
        endpoint.health_check_pending = true;
        endpoint.health_checked_at = now;
        delegate.check_health(endpoint.id);
    }
    void on_any_success() {
        last_success_at = now;
        if (!std::exchange(isolated, false)) return;
        log_line("eps answer this node again");
        isolated_until = now;
    }
    // Only records whose chains hold the node go out again: all of them would be a storm.
    void rereplicate_records(std::uint32_t node, bool alive) {
        peers[node].alive = true;
        std::vector<std::uint32_t> through;
        for (std::uint32_t i = 0; i < tunnels.places(); ++i)
            if (tunnels.used(i) && tunnels[i].state == TunnelState::open && on_chain(tunnels[i].key, node))
                through.push_back(i);
        peers[node].alive = alive;
        ring_changed = true;
        for (const auto i : through) publish(tunnels[i]);
    }
    void mark_peer_down(std::uint32_t n) {
        log_line("node %u is silent for %lld ms", n, static_cast<long long>((now - peers[n].heard_at) / 10));
        for (auto& endpoint : endpoints) endpoint.set_load_of_node(n, 0);
        rereplicate_records(n, false);
    }
    // Each node gives the next two living ones a sign of life and watches the two before it, and tells all
    // where one falls silent: signs from all to all would grow with the square of the nodes.
    void check_heartbeats() {
        if (!gossip_enabled()) return;
        // Signs go on until those who watch have long ceased to tell of silence: all reckon a little apart.
        if (now - heartbeat_sent_at >= second && gossip_worthwhile(4)) {
            heartbeat_sent_at = now;
            for (const auto n : next_alive(1))
                if (n != none) delegate.send_gossip(n, peer::Message().bytes());
        }
        const NodePair before = next_alive(peers.size() - 1);
        for (const auto n : before) {
            if (n == none) continue;
            if (std::find(monitored_peers.begin(), monitored_peers.end(), n) == monitored_peers.end() ||
                !gossip_worthwhile())
                peers[n].heard_at = now;
            if (now - peers[n].heard_at <= peer_timeout) continue;
            outbox.broadcast([&](peer::Message& m) { m.peer_down(n); });
            mark_peer_down(n);
        }
        monitored_peers = before;
        if (now - last_published_at < report_period) return;
        update_gossip_intervals();
        if (load_totals_known ? now - last_published_at >= load_totals_interval
                              : load_totals_interval < 4 * report_period)
            publish_load_totals();
    }
    // ---- load and weights
    // What it costs all on an endpoint_id, in connections served late, when its load grows from x by a load
    // of `more`, which is counted in mean connections: the slope of x * late(x).
    double late_cost(double utilization, double more) const {
        return late_cost_slope[static_cast<std::size_t>(std::clamp(utilization, 0.0, max_utilization) *
                                                        late_cost_steps)] *
               more;
    }
    // The load at which a copy of a group is priced at least: it stays as the eps fill up, which reports do
    // not show while what was open before a start comes in.
    double group_copy_utilization() const {
        return now - started_at < inherited_tunnels_settle ? std::max(0.5, fleet_utilization)
                                                           : fleet_utilization + 0.1;
    }
    double group_copy_cost(std::uint32_t group) const {
        return group != 0 && !load_totals_known ? late_cost(group_copy_utilization(), group_copy_tunnels) : 0;
    }
    // The marginal cost of a load of this group on an endpoint_id.
    double marginal_cost(std::uint32_t index, double load, std::uint32_t group) const {
        const Endpoint& endpoint = endpoints[index];
        double copy = 0;
        if (group != 0 && holds_group[index] == 0 &&
            !(is_warming_up(endpoint) && fleet_utilization > 0.6 && !load_totals_known)) {
            if (load_totals_known) load += group_copy_tunnels * mean_load();
            if (!load_totals_known)
                copy = late_cost(std::max(priced_utilization(endpoint), group_copy_utilization()),
                                 group_copy_tunnels);
        }
        return load_cost(endpoint, load) + copy +
               (endpoint.zone != config.zone ? config.costs.cross_zone : 0);
    }
    // What it costs more, on average, that a load is known only to within `unsure`: harm grows the faster the
    // fuller an endpoint_id is. Guards against a small price (of crossing zones) that decides all where no
    // load is known. Of a cold endpoint_id more is known: it began empty.
    double uncertainty_cost() const {
        return (late_cost(assumed_mean_utilization - utilization_deviation, 1) +
                late_cost(assumed_mean_utilization + utilization_deviation, 1)) /
                   2 -
               late_cost(assumed_mean_utilization, 1);
    }
    double priced_utilization(const Endpoint& endpoint) const {
        return misses_other_nodes(endpoint) ? std::max(utilization(endpoint), assumed_mean_utilization)
                                            : utilization(endpoint);
    }
    double load_cost(const Endpoint& endpoint, double load) const {
        return late_cost(priced_utilization(endpoint) + load / capacity(endpoint) / 2, load / mean_load());
    }

    // Without sums hardly a node knows which eps hold a group: its keeper, at the group's place on the ring,
    // hears of all its tunnels and tells all its homes, one more when those have no room left. Where no home
    // has room, its tunnels meet on the first endpoint_id that has, in an order that is the group's own and
    // the same at all nodes. Guards against a copy of each group on each endpoint_id.
    template <class Fits>
    std::uint32_t first_by_rendezvous(std::uint32_t group, bool apart, Fits&& fits) const {
        std::uint32_t best = none;
        std::uint64_t least = 0;
        for (std::uint32_t i = 0; i < endpoints.size(); ++i) {
            // Rather not where another group is just coming.
            const std::uint64_t taken =
                apart && now - endpoints[i].affinity_target_at < placement_visible_after ? 1 : 0;
            const std::uint64_t place = taken << 63 | mix(std::uint64_t{group} << 32 | endpoint_ids[i]) >> 1;
            if (best != none && place >= least) continue;  // most eps need no closer look
            if (!fits(i)) continue;
            best = i;
            least = place;
        }
        return best;
    }
    std::uint32_t new_affinity_target(std::uint32_t group, double limit, std::uint32_t zone = none) const {
        return first_by_rendezvous(group, true, [&](std::uint32_t i) {
            return has_headroom(endpoints[i], limit) && (zone == none || endpoints[i].zone == zone);
        });
    }
    std::uint32_t rendezvous_endpoint(const TrackedTunnel& tunnel, bool cold_one) const {
        return first_by_rendezvous(tunnel.group, false, [&](std::uint32_t i) {
            if (holds_group[i] != 0 || (cold_one && !is_warming_up(endpoints[i]))) return false;
            const bool tried = std::find(tunnel.tried_endpoints.begin(), tunnel.tried_endpoints.end(), i) !=
                               tunnel.tried_endpoints.end();
            return !tried && has_affinity_headroom(endpoints[i]) && slow_start_allows(i);
        });
    }
    bool is_affinity_target(const GroupTable::Place& p) const {
        return p.affinity_target_at >= 0 && now - p.affinity_target_at < affinity_target_lifetime;
    }
    void mark_affinity_targets(const TrackedTunnel& tunnel) {
        holds_group.assign(endpoints.size(), 0);
        bool room_left = false;
        for (const auto& p : records.groups().of(tunnel.group)) {
            const std::uint32_t index = endpoint_by_id.find(p.endpoint_id);
            // What a node alone has of the group is known to no other that a tunnel may come to mid-flow.
            if (index == none || has_no_load_data(endpoints[index]) ||
                (p.members == 0 && !is_affinity_target(p)))
                continue;
            holds_group[index] = 1;
            room_left = room_left || (slow_start_allows(index) && has_affinity_headroom(endpoints[index]));
        }
        if (load_totals_known || tunnel.group == 0 || room_left) return;
        // Where nothing tells that a home is full, a group has several from the start, the same at all nodes;
        // and one more among the cold eps that this node has a unit for, which are seldom the same.
        for (int i = 0; i < default_affinity_targets; ++i) {
            const std::uint32_t index = rendezvous_endpoint(tunnel, false);
            if (index == none) break;
            holds_group[index] = 1;
            if (!has_no_load_data(endpoints[index])) return;
        }
        const std::uint32_t index = rendezvous_endpoint(tunnel, true);
        if (index != none && has_no_load_data(endpoints[index])) holds_group[index] = 1;
    }
    void on_affinity_target(std::uint32_t group, std::uint32_t endpoint_id) override {
        if (find_endpoint(endpoint_id) == nullptr || group == 0) return;
        mark_targets_full(group, endpoint_id);
        records.groups().set_affinity_target(group, endpoint_id, now);
        find_endpoint(endpoint_id)->affinity_target_at = now;
        add_pending_load(endpoint_by_id.find(endpoint_id), group_copy_tunnels * mean_load());
    }
    // A group gets another home where those before it have no room left, which its keeper knows from all its
    // tunnels and others only from reports, seconds later. Guards against nodes that go on filling them.
    void mark_targets_full(std::uint32_t group, std::uint32_t but) {
        for (const auto& p : records.groups().of(group)) {
            const std::uint32_t index = endpoint_by_id.find(p.endpoint_id);
            if (load_totals_known || index == none || p.endpoint_id == but || !is_affinity_target(p))
                continue;
            const double lack =
                affinity_utilization_limit() * capacity(endpoints[index]) - total_load(endpoints[index]);
            if (lack > 0) add_pending_load(index, lack);
        }
    }
    double affinity_utilization_limit()
        const {  // less while what was open before a start comes in before reports
        return std::max(now - started_at < inherited_tunnels_settle ? affinity_max_utilization / 2
                                                                    : affinity_max_utilization,
                        fleet_utilization + 0.1);
    }
    // A guess that holds for all eps alike leaves a group's order as it is.
    bool has_affinity_headroom(const Endpoint& endpoint) const {
        return has_no_load_data(endpoint) ? has_headroom(endpoint, max_utilization) &&
                                                utilization_after_loss(endpoint) < affinity_max_utilization
                                          : has_headroom(endpoint, affinity_utilization_limit());
    }
    std::uint32_t group_leader(std::uint32_t group) const { return first_alive(mix(group)); }
    void maintain_affinity_targets(std::uint32_t group) {
        if (load_totals_known || group_leader(group) != config.own_node) return;
        for (const auto& p : records.groups().of(group))
            if (is_affinity_target(p) && find_endpoint(p.endpoint_id) != nullptr &&
                has_headroom(*find_endpoint(p.endpoint_id), affinity_utilization_limit()))
                return;
        add_affinity_target(
            group, new_affinity_target(group, std::clamp(fleet_utilization, affinity_max_utilization / 2,
                                                         affinity_max_utilization)));
    }
    // Crossings of zones for a group are paid for as long as they cost less than a copy.
    void on_cross_zone(std::uint32_t group, std::uint32_t zone) override {
        const std::uint64_t id = std::uint64_t{group} << 32 | zone;
        const std::uint32_t n = cross_zone_notices.find(id) == none ? 1 : cross_zone_notices.find(id) + 1;
        cross_zone_notices.put(id, n);
        if (n * config.costs.cross_zone < late_cost(group_copy_utilization(), group_copy_tunnels)) return;
        cross_zone_notices.put(id, 0);
        add_affinity_target(group, new_affinity_target(group, affinity_utilization_limit(), zone));
    }
    void add_affinity_target(std::uint32_t group, std::uint32_t index) {
        if (index == none) return;
        double paid = 0;  // the group's tunnels pay for what is told of it
        for (const auto& p : records.groups().of(group)) {
            if (p.endpoint_id == endpoints[index].id && is_affinity_target(p)) return;
            paid += gossip_share * p.members -
                    (is_affinity_target(p) ? broadcast_cost(peer::affinity_target_bytes) : 0);
        }
        if (paid < broadcast_cost(peer::affinity_target_bytes)) return;
        on_affinity_target(group, endpoints[index].id);
        if (!gossip_enabled()) return;
        outbox.broadcast([&](peer::Message& m) { m.affinity_target(group, endpoints[index].id); });
    }

    // What a tunnel may cost the others, in connections served late, before it is better declined. Guards
    // against an overload in which nobody is served: the heavy and the little credited give way first.
    double max_cost_of(std::uint32_t traffic_class) const {
        return shed_cost * config.traffic_classes[traffic_class].priority_weight / mean_priority_weight;
    }

    // ---- cold eps
    // A cold endpoint_id takes new tunnels as fast as fills it over its warm-up; where they end sooner,
    // faster.
    double fill_duration() const {
        return std::min(mean_tunnel_lifetime(),
                        static_cast<double>(config.rules.slow_start_duration) / second);
    }
    // What all nodes together may send a cold endpoint_id a second: each has its share (src/budget), and
    // borrows units for tunnels that wait for one. In a window of `fall` come units of the window and of
    // `keep` before it.
    double slow_start_rate(const Endpoint& endpoint) const {
        const double window = static_cast<double>(config.rules.overload_window) /
                              (config.rules.overload_window + quota_schedule.spendable_for);
        return slow_start_safety * window * config.rules.overload_multiple * capacity(endpoint) /
               (mean_load() * fill_duration());
    }
    bool slow_start_allows(std::uint32_t index) const {
        const Endpoint& endpoint = endpoints[index];
        return !is_warming_up(endpoint) ||
               endpoint.quota.available(quota_schedule, endpoint.id, slow_start_rate(endpoint), now) > 0;
    }
    // A tunnel waits for want of a unit: some are asked for where they lie. Not for long where it could go
    // elsewhere.
    void request_lease(std::uint32_t index) {
        TrackedTunnel& tunnel = tunnels[index];
        if (tunnel.lease_wait_until == 0)
            delegate.set_timer(tunnel.lease_wait_until = now + lease_timeout, timer_label(index));
        Endpoint& endpoint = endpoints[quota_short_endpoint];
        for (int i = 0; i < lease_fanout; ++i) {
            const auto lender =
                endpoint.quota.request_lease(quota_schedule, endpoint.id, slow_start_rate(endpoint), now);
            if (!lender) return;
            const auto slot = static_cast<std::uint32_t>(lender->slot);
            post(lender->node, [&](peer::Message& m) { return m.lease_request(endpoint.id, slot); });
        }
    }
    void on_lease_request(std::uint32_t endpoint_id, std::uint32_t slot) override {
        Endpoint* endpoint = find_endpoint(endpoint_id);
        if (endpoint == nullptr || !is_warming_up(*endpoint)) return;
        if (!endpoint->quota.grant_lease(quota_schedule, endpoint_id, quota_schedule.expand_slot(slot, now),
                                         slow_start_rate(*endpoint), now))
            return;
        post(sender, [&](peer::Message& m) { return m.lease_grant(endpoint_id, slot); });
    }
    void on_lease_grant(std::uint32_t endpoint_id, std::uint32_t slot) override {
        Endpoint* endpoint = find_endpoint(endpoint_id);
        if (endpoint != nullptr &&
            endpoint->quota.accept_lease(quota_schedule, endpoint_id, quota_schedule.expand_slot(slot, now),
                                         sender, now))
            retry_waiting();
    }

    // ---- health
    // What fails everywhere (a store that all setups need, a burst past its rate) is no endpoint_id's fault.
    // Setting eps aside for it, and moving their tunnels, would feed the very jam: the test asks what an
    // endpoint_id does worse than the others. `by`: the node whose setup it was; only one's own say that an
    // endpoint_id is out of reach.
    void record_outcome(Endpoint& endpoint, Outcome ending, bool by_probe, std::uint32_t by) {
        if (ending == Outcome::cancelled || ending == Outcome::overloaded || unrelated_to_endpoint(ending))
            return;
        const bool own = by == config.own_node;
        // Setups may share a store that probes do without, so a setup's time-out says less of the
        // endpoint_id.
        endpoint.failure_likelihood.count(ending != Outcome::ok, ending == Outcome::timed_out && !by_probe,
                                          recent_outcomes, now);
        if (ending == Outcome::ok) {
            endpoint.unresponsive_observations.on_healthy(now);
            // Outcomes come to the first reporter alone: where some found the endpoint_id dead, it tells the
            // next ones.
            const bool contested =
                endpoint.owner_rank == 0 && endpoint.unresponsive_observations.is_failing(now);
            for (std::size_t i = 1; contested && i < endpoint.report_owners.size(); ++i)
                post(endpoint.report_owners[i],
                     [&](auto& m) { return m.outcome(endpoint.id, static_cast<std::uint8_t>(ending)); });
            if (!own) return on_reported_healthy(endpoint, "another node");
            on_any_success();
            endpoint.succeeded_at = now;
            endpoint.unresponsive = false;
            on_responsive(endpoint);
            if (endpoint.ejected) readmit(endpoint, "its own answer");
            return;
        }
        static_cast<void>(endpoint.failure_observations.add(by, now, now));
        if (own && (ending == Outcome::timed_out || ending == Outcome::unreachable)) {
            endpoint.unresponsive = true;
            endpoint.failed_at = now;
            endpoint.contact_lost = endpoint.contact_lost || ending == Outcome::unreachable ||
                                    (by_probe && ++endpoint.failed_health_checks >= 2);
        }
        if (endpoint.ejected) endpoint.probation_at = now + probation_interval;
        if (endpoint.failure_likelihood.log_likelihood_ratio < failure_detector::ejection_threshold) return;
        if (own ? !endpoint.ejected || endpoint.gossip_ejection_until != 0
                : !endpoint.ejected && endpoint.failure_observations.is_failing(now) &&
                      gossip_may_eject(endpoint))
            eject(endpoint, endpoint.unresponsive ? "no answer" : "setups fail",
                  endpoint.failure_likelihood.log_likelihood_ratio, !own);
    }
    // An endpoint_id that was silent and answers again may have restarted: the list says so seconds later,
    // and by then it would have fallen over under what a warm one takes. Until the list is heard it counts as
    // cold.
    void on_responsive(Endpoint& endpoint) {
        endpoint.failed_health_checks = 0;
        if (!endpoint.contact_lost) return;
        endpoint.contact_lost = false;
        if (config.rules.slow_start_duration <= 0 || is_warming_up(endpoint)) return;
        log_line("endpoint_id %u answers again, taken as cold", endpoint.id);
        endpoint.started_at = now;
    }
    // A node with few tunnels of its own learns too little of an endpoint_id: the endpoint_id's reporter
    // judges for all.
    void record_own_outcome(Endpoint& endpoint, Outcome ending) {
        record_outcome(endpoint, ending, false, config.own_node);
        if (load_totals_known || never_executed(ending)) return;
        post(endpoint.report_owners[0],
             [&](auto& m) { return m.outcome(endpoint.id, static_cast<std::uint8_t>(ending)); });
    }
    void eject(Endpoint& endpoint, const char* why, double figure, bool hearsay = false) {
        endpoint.ejected = true;
        endpoint.gossip_ejection_until = hearsay ? now + failure_detector::observation_lifetime : 0;
        endpoint.failure_reported_at = -never;
        endpoint.ejected_at = now;
        endpoint.probation_at = now + probation_interval;
        log_line("endpoint_id %u set aside: %s, %.1f", endpoint.id, why, figure);
        // With most eps set aside the trouble is elsewhere: then all take part again rather than none.
        int more_in = 0;
        for (const auto& o : endpoints)
            if (o.state == EndpointState::active) more_in += o.ejected ? -1 : 1;
        if (more_in >= 0) return;
        for (auto& o : endpoints)
            if (o.ejected) readmit(o, "trouble everywhere");
    }
    void readmit(Endpoint& endpoint, const char* why) {
        log_line("endpoint_id %u back after %lld ms, told by %s", endpoint.id,
                 static_cast<long long>(now - endpoint.ejected_at) / 10, why);
        endpoint.ejected = endpoint.unresponsive = false;
        endpoint.failure_likelihood.log_likelihood_ratio = 0;
    }
    // ---- the gate
    // When what is sent fails everywhere (a store past its rate, queues full), each further setup keeps the
    // jam up, and clients come again for each failure. Then no more is sent than twice what opens, and a
    // little to find out; the rest is declined at once. Guards against a storm of setups that feeds itself.
    bool admission_open() {
        const double floor =
            admission_allowance /
            std::sqrt(std::max(1.0, node_count() / 3));  // many nodes find out for each other
        const bool open =
            recent_ended <= floor || recent_ended + pending_attempts <= 2 * recent_opened + floor;
        if (open != admission_was_open)
            log_line("gate %s: %.0f setups ended, %.0f opened, %d out", open ? "opens" : "shuts",
                     recent_ended, recent_opened, pending_attempts);
        return admission_was_open = open;
    }

    // ---- placing
    // To what already holds the tunnel, until the drain's grace is over.
    bool may_send_sticky(const Endpoint& endpoint) const {
        return attempt_policy::may_send({endpoint.state, endpoint.drain_notified_at},
                                        config.rules.drain_grace, now,
                                        2 * config.clock_resolution) == Reason::allowed;
    }
    attempt_policy::Allowance allowance_of(const TrackedTunnel& tunnel) const {
        const TrafficClass& p = config.traffic_classes[tunnel.traffic_class];
        return {p.idempotency,   p.deduplication_scope,  p.deduplication_window, config.limits.max_attempts,
                tunnel.deadline, config.clock_resolution};
    }
    static attempt_policy::History history_of(const TrackedTunnel& tunnel) {
        return {tunnel.attempts, tunnel.may_have_run_on != none, tunnel.may_have_run_since};
    }
    Reason may_write(std::uint64_t id, Ticks reserve) const override {
        const std::uint32_t index = tunnel_by_id.find(id);
        if (index == none || tunnels[index].state != TunnelState::setting_up) return Reason::client_gone;
        const TrackedTunnel& tunnel = tunnels[index];
        const Endpoint& endpoint = endpoints[tunnel.endpoint_index];
        return attempt_policy::may_write(allowance_of(tunnel), history_of(tunnel),
                                         {endpoint.state, endpoint.drain_notified_at},
                                         config.rules.drain_grace, now, reserve);
    }
    bool in_deduplication_scope(const TrackedTunnel& tunnel, const Endpoint& endpoint) const {
        if (tunnel.may_have_run_on == none) return true;
        const DeduplicationScope scope = config.traffic_classes[tunnel.traffic_class].deduplication_scope;
        if (config.traffic_classes[tunnel.traffic_class].idempotency != Idempotency::idempotent_with_key ||
            scope == DeduplicationScope::all)
            return true;
        return scope == DeduplicationScope::zone ? endpoint.zone == endpoints[tunnel.may_have_run_on].zone
                                                 : endpoint.cell == endpoints[tunnel.may_have_run_on].cell;
    }
    double weight(const Endpoint& endpoint, double price) const {
        double w =
            1 / (price + 1e-3 +
                 ((misses_other_nodes(endpoint) || has_no_load_data(endpoint)) && !is_warming_up(endpoint)
                      ? uncertainty_cost()
                      : 0));
        for (int k = 0; k < 3; ++k) w *= w;  // an endpoint_id of twice the cost gets a 256th of the weight
        const double free = misses_other_nodes(endpoint) ? std::max(1 - utilization(endpoint), 0.05) : 1;
        return capacity(endpoint) * free * w + weight_floor;
    }
    // What all place that is not heard of here, spread as this node would spread it.
    void estimate_unseen_load() {
        if (load_totals_known || config.groups_enabled) return;
        weights.assign(endpoints.size(), 0);
        for (std::uint32_t i = 0; i < endpoints.size(); ++i)
            if (!is_excluded(endpoints[i]) && !is_warming_up(endpoints[i]))
                weights[i] = weight(endpoints[i], load_cost(endpoints[i], mean_load()));
        const double unheard_a_second = placement_rate / 10 * (placements_per_sample() - 1);
        estimate_unseen_placements(unheard_a_second * mean_load() * tick_interval / second, weights);
    }
    EndpointCounts endpoint_counts() const override { return count_endpoints(); }
    std::uint32_t choose(const TrackedTunnel& tunnel) {
        weights.assign(endpoints.size(), 0);
        quota_short_endpoint = none;
        quota_short_cost = max_cost_of(tunnel.traffic_class);
        mark_affinity_targets(tunnel);
        double total = 0, least = std::numeric_limits<double>::max();
        const auto weigh = [&](std::uint32_t i, int pass) {
            Endpoint& endpoint = endpoints[i];
            if (endpoint.state != EndpointState::active || !in_deduplication_scope(tunnel, endpoint)) return;
            const bool tried = std::find(tunnel.tried_endpoints.begin(), tunnel.tried_endpoints.end(), i) !=
                               tunnel.tried_endpoints.end();
            const bool trial = endpoint.ejected && now >= endpoint.probation_at && tunnel.attempts == 0 &&
                               (!config.limits.health_checks_enabled ||
                                endpoint.health_check_passed_at > endpoint.ejected_at);
            if (pass == 0 && (tried || (is_excluded(endpoint) && !trial))) return;
            const double price = marginal_cost(i, tunnel.load, tunnel.group);
            if (!slow_start_allows(i)) {
                if (price < quota_short_cost) quota_short_endpoint = i, quota_short_cost = price;
                return;
            }
            least = std::min(least, price);
            total += weights[i] = weight(endpoint, price);
        };
        for (int pass = 0; pass < 2 && total <= 0; ++pass)
            for (const char in_group : {1, 0}) {
                // Another copy of the group would cost twice as much: no need to look at all the other eps.
                const bool dear = group_copy_cost(tunnel.group) > 2 * least;
                for (std::uint32_t i = 0; i < endpoints.size() && !(dear && total > 0); ++i)
                    if (holds_group[i] == in_group) weigh(i, pass);
            }
        too_costly = total > 0 && !tunnel.mid_flow && least > max_cost_of(tunnel.traffic_class);
        if (total <= 0 || too_costly ||
            (waits_for_lease(tunnel) && least - quota_short_cost > lease_min_gain))
            return none;
        if (uses_key_hash(tunnel)) return draw_by_key(tunnel.key);
        double remaining = draw() * total;
        std::uint32_t last = none;
        for (std::uint32_t i = 0; i < endpoints.size(); ++i) {
            if (weights[i] <= 0) continue;
            last = i;
            remaining -= weights[i];
            if (remaining < 0) break;
        }
        return last;
    }
    // Where nodes may not talk, no record reaches who meets a tunnel mid-flow. Then the chance in the draw is
    // the key's own (rendezvous hashing), the same at all nodes: by like weights they find the endpoint_id
    // that it was placed on. A client that comes back from a break is drawn for anew.
    bool uses_key_hash(const TrackedTunnel& tunnel) const {
        return tunnel.has_key && !tunnel.reconnect && config.packet_passthrough && !gossip_enabled() &&
               peers.size() > 1;
    }
    std::uint32_t draw_by_key(std::uint64_t key) const {
        std::uint32_t best = none;
        double most = 0;
        for (std::uint32_t i = 0; i < endpoints.size(); ++i) {
            const double chance =
                (static_cast<double>(mix(key ^ mix(endpoint_ids[i])) >> 11) + 0.5) * 0x1p-53;
            const double drawn = weights[i] / -std::log(chance);
            if (drawn > most) best = i, most = drawn;
        }
        return best;
    }
    // The endpoint_id that would best take the tunnel is short of nothing but a unit that another node may
    // have.
    bool waits_for_lease(const TrackedTunnel& tunnel) const {
        return quota_short_endpoint != none && gossip_enabled() &&
               (too_costly || tunnel.lease_wait_until == 0 || now < tunnel.lease_wait_until);
    }
    void place(std::uint32_t index) {
        TrackedTunnel& tunnel = tunnels[index];
        const std::uint32_t endpoint_index = choose(tunnel);
        if (endpoint_index != none) return send(index, endpoint_index);
        // No endpoint_index may be sent anything now (all cold, or no list yet): wait within the setup goal.
        tunnel.wait_until =
            std::min(tunnel.arrived_at + config.traffic_classes[tunnel.traffic_class].latency_objective,
                     tunnel.deadline - 4 * config.clock_resolution);
        if (too_costly && !waits_for_lease(tunnel)) return finish(index, Reason::too_costly);
        if (now + config.clock_resolution >= tunnel.wait_until) return finish(index, Reason::no_endpoint);
        transition_to(index, TunnelState::waiting);
        if (waits_for_lease(tunnel)) request_lease(index);
    }
    // Held there: what the endpoint_id holds already asks for nothing more of it.
    void send(std::uint32_t index, std::uint32_t endpoint_index, bool held_there = false) {
        TrackedTunnel& tunnel = tunnels[index];
        const TrafficClass& p = config.traffic_classes[tunnel.traffic_class];
        const int others = config.limits.max_attempts - tunnel.attempts - 1;
        Ticks wait = tunnel.deadline - now;
        if (others > 0 && p.idempotency != Idempotency::non_idempotent)
            wait = std::min(wait, std::max(p.latency_objective, wait / (others + 2)));
        Endpoint& endpoint = endpoints[endpoint_index];
        if (is_warming_up(endpoint) && !held_there)
            static_cast<void>(
                endpoint.quota.spend(quota_schedule, endpoint.id, slow_start_rate(endpoint), now));
        if (endpoint.ejected) endpoint.probation_at = now + probation_interval;
        tunnel.tried_endpoints[static_cast<std::size_t>(std::min(tunnel.attempts, 3))] = endpoint_index;
        if (tunnel.state == TunnelState::setting_up) transition_to(index, TunnelState::idle);
        tunnel.endpoint_index = endpoint_index;
        tunnel.attempt_started_at = now;
        tunnel.stamp = next_stamp();
        ++tunnel.attempts;
        transition_to(index, TunnelState::setting_up);
        delegate.start_attempt(tunnel.id, endpoint.id, wait);
        if (tunnel.attempts == 1 && !tunnel.mid_flow) ++placed_since_tick;
        add_pending_load(endpoint_index, load_totals_known ? 0 : tunnel.load);
        publish(tunnel, !tunnel.mid_flow);
    }

    // ---- the tunnel's states
    void transition_to(std::uint32_t index, TunnelState next) {
        TrackedTunnel& tunnel = tunnels[index];
        if (tunnel.state == TunnelState::looking_up && tunnel.has_key) lookups.drop(tunnel.key);
        const auto carries = [](TunnelState s) {
            return s == TunnelState::setting_up || s == TunnelState::open;
        };
        if (carries(tunnel.state) && !carries(next))
            --endpoints[tunnel.endpoint_index].open_tunnels,
                endpoints[tunnel.endpoint_index].own_load -= tunnel.load;
        if (!carries(tunnel.state) && carries(next))
            ++endpoints[tunnel.endpoint_index].open_tunnels,
                endpoints[tunnel.endpoint_index].own_load += tunnel.load;
        pending_attempts +=
            (next == TunnelState::setting_up ? 1 : 0) - (tunnel.state == TunnelState::setting_up ? 1 : 0);
        if (tunnel.state == TunnelState::waiting) std::erase(waiting_tunnels, index);
        if (next == TunnelState::waiting) waiting_tunnels.push_back(index);
        if (next == TunnelState::looking_up) lookups.put(tunnel.key, index);
        tunnel.state = next;
    }
    void release(std::uint32_t index) {
        TrackedTunnel& tunnel = tunnels[index];
        transition_to(index, TunnelState::idle);
        const Record* record = tunnel.has_key ? records.find(tunnel.key) : nullptr;
        if (record != nullptr && record->stamp == tunnel.stamp && tunnel.endpoint_index != none &&
            record->endpoint_id == endpoints[tunnel.endpoint_index].id)
            records.erase(tunnel.key);
        tunnel_by_id.drop(tunnel.id);
        tunnels.give_back(index);
    }
    // The final answer of a tunnel that is given up: at once, and a decline wherever that is true.
    void finish(std::uint32_t index, Reason why) {
        TrackedTunnel& tunnel = tunnels[index];
        delegate.report_reason(tunnel.id, why);
        if (attempt_policy::may_promise_no_effect(allowance_of(tunnel), history_of(tunnel), now))
            delegate.reject(tunnel.id,
                            std::min(config.limits.max_retry_after,
                                     config.traffic_classes[tunnel.traffic_class].latency_objective));
        else
            delegate.fail(tunnel.id);
        release(index);
    }
    std::uint32_t track_tunnel(std::uint64_t id, const TunnelRequest& a) {
        const std::uint32_t index = tunnels.take();
        TrackedTunnel& tunnel = tunnels[index];
        tunnel = {.id = id, .deadline = a.deadline, .arrived_at = now, .traffic_class = a.traffic_class};
        tunnel.has_key = !a.key.empty();
        tunnel.mid_flow = a.mid_flow;
        tunnel.reconnect = a.reconnect;
        if (tunnel.has_key) tunnel.key = hash_text(a.key);
        if (config.groups_enabled && !a.group.empty())
            tunnel.group = static_cast<std::uint32_t>(hash_text(a.group) | 1);
        const Record* record = tunnel.has_key ? records.find(tunnel.key) : nullptr;
        tunnel.load = a.expected_load > 0 ? a.expected_load
                      : traffic_class_load[tunnel.traffic_class].count > 0
                          ? traffic_class_load[tunnel.traffic_class].value
                          : mean_load();
        if (record != nullptr && record->load > 0) tunnel.load = record->load;
        tunnel_by_id.put(id, index);
        return index;
    }
    void on_request(std::uint64_t id, const TunnelRequest& a) override {
        const peer::FlushOnExit delivery(outbox);
        const std::uint32_t index = track_tunnel(id, a);
        TrackedTunnel& tunnel = tunnels[index];
        if (!a.mid_flow) return admission_open() ? place(index) : finish(index, Reason::admission_closed);
        if (!tunnel.has_key || lookups.find(tunnel.key) != none) return place(index);
        Ring::Chain nodes{};
        chain(tunnel.key, nodes);
        transition_to(index, TunnelState::looking_up);
        const Record* record = records.find(tunnel.key);
        if (nodes[0] == config.own_node && record != nullptr) return resume(index, record->endpoint_id);
        if (!gossip_enabled()) return resume(index, record != nullptr ? record->endpoint_id : none);
        if (nodes[0] == config.own_node) return query_neighbours(index);
        post(nodes[0], [&](peer::Message& m) { return m.lookup(tunnel.key); });
        wait_for_answer(index);
    }
    void wait_for_answer(std::uint32_t index) {
        TrackedTunnel& tunnel = tunnels[index];
        tunnel.wait_until = now + std::min(lookup_timeout, std::max<Ticks>((tunnel.deadline - now) / 4, 0));
        delegate.set_timer(tunnel.wait_until, timer_label(index));
    }
    // A tail that lost its records (it restarted, or took over from one that died) cannot answer: then a copy
    // names the endpoint_id, the node's own first, else that of a node near the tail on the ring, which was
    // on the chain before. Newest-stamp records never name an endpoint_id that was left before.
    void query_neighbours(std::uint32_t index) {
        TrackedTunnel& tunnel = tunnels[index];
        const Record* record = records.find(tunnel.key);
        if (record != nullptr) return resume(index, record->endpoint_id);
        tunnel.queried_all = true;
        tunnel.negative_answers = tunnel.queried_nodes = 0;
        Ring::Chain near{};
        const std::size_t n = ring.chain(
            tunnel.key, lookup_fanout, [this](std::uint32_t k) { return is_alive(k); }, near);
        for (std::size_t i = 0; i < n; ++i) {
            if (near[i] == config.own_node) continue;
            post(near[i], [&](peer::Message& m) { return m.lookup(tunnel.key); });
            ++tunnel.queried_nodes;
        }
        if (tunnel.queried_nodes == 0) return resume(index, none);
        wait_for_answer(index);
    }
    void resume(std::uint32_t index, std::uint32_t endpoint_id) {
        const std::uint32_t endpoint_index = endpoint_id == none ? none : endpoint_by_id.find(endpoint_id);
        if (endpoint_index == none || !may_send_sticky(endpoints[endpoint_index]) ||
            (endpoints[endpoint_index].ejected && endpoints[endpoint_index].unresponsive))
            return place(index);
        if (predates_incarnation(tunnels[index].key, endpoints[endpoint_index]))
            return place(index);  // an endpoint_index that restarted holds it no more
        send(index, endpoint_index, true);
    }
    void on_timer(std::uint64_t label) override {
        const peer::FlushOnExit delivery(outbox);
        if (label == 0) return tick();
        const auto index = static_cast<std::uint32_t>((label - 1) & 0xffffffffU);
        if (!tunnels.used(index) || timer_label(index) != label) return;
        TrackedTunnel& tunnel = tunnels[index];
        if (tunnel.state == TunnelState::waiting && tunnel.lease_wait_until != 0) return retry(index);
        if (tunnel.state != TunnelState::looking_up || now < tunnel.wait_until) return;
        if (!tunnel.queried_all) return query_neighbours(index);
        resume(index, none);
    }
    void adopt_open_tunnel(std::uint64_t id, const TunnelRequest& a, std::uint32_t endpoint_id) override {
        const peer::FlushOnExit delivery(outbox);
        const std::uint32_t endpoint_index = endpoint_by_id.find(endpoint_id);
        if (endpoint_index == none) return;
        const std::uint32_t index = track_tunnel(id, a);
        TrackedTunnel& tunnel = tunnels[index];
        tunnel.endpoint_index = endpoint_index;
        tunnel.attempts = 1;
        tunnel.attempt_started_at = now;
        tunnel.stamp = next_stamp();
        transition_to(index, TunnelState::open);
        publish(tunnel);
    }
    void on_opened(std::uint64_t id, int setup, std::uint32_t, Ticks) override {
        const peer::FlushOnExit delivery(outbox);
        const std::uint32_t index = tunnel_by_id.find(id);
        if (index == none || tunnels[index].state != TunnelState::setting_up ||
            setup + 1 != tunnels[index].attempts)
            return;
        record_own_outcome(endpoints[tunnels[index].endpoint_index], Outcome::ok);
        ++recent_opened, ++recent_ended, ++recent_open;
        transition_to(index, TunnelState::open);
    }
    void on_ended(std::uint64_t id, int setup, std::uint32_t, Outcome ending, Ticks took,
                  bool settled) override {
        const peer::FlushOnExit delivery(outbox);
        const std::uint32_t index = tunnel_by_id.find(id);
        if (index == none || setup + 1 != tunnels[index].attempts) return;
        TrackedTunnel& tunnel = tunnels[index];
        if (tunnel.state == TunnelState::setting_up) {
            const Ticks fair_wait =
                attempt_policy::fair_wait(config.traffic_classes[tunnel.traffic_class].latency_objective);
            const bool too_short = ending == Outcome::timed_out && took < fair_wait;
            if (!too_short) record_own_outcome(endpoints[tunnel.endpoint_index], ending);
            // These did not get as far as a jam.
            if (ending != Outcome::unreachable && ending != Outcome::withdrawn && !too_short) ++recent_ended;
            if (ending == Outcome::ok) ++recent_opened;
        }
        if (tunnel.state == TunnelState::open && ending == Outcome::ok) ++ended_since_tick;
        if (tunnel.state == TunnelState::open && ending == Outcome::connection_lost) {
            endpoints[tunnel.endpoint_index].connection_lost_at = now;
            if (now - tunnel.attempt_started_at < early_loss_window) ++recent_lost;
        }
        if (settled || tunnel.state == TunnelState::abandoned) return release(index);
        if (tunnel.state != TunnelState::setting_up) return finish(index, Reason::attempts_used);
        if (!never_executed(ending) && tunnel.may_have_run_on == none) {
            tunnel.may_have_run_on = tunnel.endpoint_index;
            tunnel.may_have_run_since = tunnel.attempt_started_at;
        }
        const Reason reason = may_retry(tunnel, ending);
        if (reason != Reason::allowed) return finish(index, reason);
        place(index);
    }
    Reason may_retry(const TrackedTunnel& tunnel, Outcome ending) {
        const Reason reason =
            attempt_policy::may_retry(allowance_of(tunnel), history_of(tunnel), ending, now);
        if (reason != Reason::allowed) return reason;
        // Where most setups fail everywhere, another try would only add to it.
        if (ending == Outcome::timed_out &&
            endpoints[tunnel.endpoint_index].failure_likelihood.failure_rate_elsewhere(recent_outcomes, now) >
                failure_detector::outlier_failure_rate / 2)
            return Reason::failing_everywhere;
        return admission_open() ? Reason::allowed : Reason::admission_closed;
    }
    void set_answer_deadline(Ticks when) override {
        for (std::uint32_t i = 0; i < tunnels.places(); ++i)
            if (tunnels.used(i)) tunnels[i].deadline = std::min(tunnels[i].deadline, when);
        for (const auto i : waiting_tunnels)
            tunnels[i].wait_until = std::min(tunnels[i].wait_until, when - 4 * config.clock_resolution);
    }
    void on_client_disconnected(std::uint64_t id) override {
        const std::uint32_t index = tunnel_by_id.find(id);
        if (index == none) return;
        if (tunnels[index].state == TunnelState::setting_up)
            return transition_to(index, TunnelState::abandoned);
        if (tunnels[index].state == TunnelState::looking_up || tunnels[index].state == TunnelState::waiting)
            release(index);
    }

    // ---- another process takes the node's place
    void serialize_state(std::string& into) const override { state_codec::write(into, *this); }
    bool restore_state(std::string_view bytes, Ticks clock_shift) override {
        const bool read = state_codec::read(bytes, *this, clock_shift);
        records.each([this](const Record& record) { observe_stamp(record.stamp); });
        restart_quota_schedule();
        return read;
    }
    void resume_ownership() override { restart_quota_schedule(); }
    bool serialize_tunnel(std::uint64_t id, std::string& into) const override {
        const std::uint32_t index = tunnel_by_id.find(id);
        const bool stands = index != none && tunnels[index].state == TunnelState::open;
        if (stands) state_codec::write(into, tunnels[index], endpoints[tunnels[index].endpoint_index].id);
        return stands;
    }
    bool restore_tunnel(std::uint64_t id, std::string_view bytes, Ticks clock_shift) override {
        TrackedTunnel tunnel{.id = id, .attempts = 1};
        tunnel.endpoint_index = endpoint_by_id.find(state_codec::read(bytes, tunnel, clock_shift));
        if (tunnel.endpoint_index == none || tunnel.traffic_class >= config.traffic_classes.size())
            return false;
        const std::uint32_t index = tunnels.take();
        tunnels[index] = tunnel;
        tunnel_by_id.put(id, index);
        transition_to(index, TunnelState::open);
        return true;
    }

    // ---- what is learned on the way
    void on_load_changed(std::uint64_t id, double load) override {
        const std::uint32_t index = tunnel_by_id.find(id);
        if (index == none) return;
        TrackedTunnel& tunnel = tunnels[index];
        if (tunnel.state == TunnelState::setting_up || tunnel.state == TunnelState::open)
            endpoints[tunnel.endpoint_index].own_load += load - tunnel.load;
        tunnel.load = load;
        traffic_class_load[tunnel.traffic_class].add(load);
        overall_load.add(load);
    }
    void on_slow_messages(std::uint64_t, std::uint32_t endpoint_id, Ticks delay) override {
        if (find_endpoint(endpoint_id) == nullptr) return;
        Endpoint& endpoint = *find_endpoint(endpoint_id);
        on_slow_message(endpoint, delay);
        // Work piled up makes a message wait, but not for longer than any client: such an endpoint_id has
        // stopped.
        if (delay > 2 * longest_client_timeout) eject_unresponsive(endpoint, "a message takes, in s,", delay);
    }
    void eject_unresponsive(Endpoint& endpoint, const char* why, Ticks figure) {
        if (endpoint.ejected && endpoint.unresponsive) return;
        endpoint.unresponsive = true;
        endpoint.failed_at = now;
        endpoint.failure_likelihood.log_likelihood_ratio = failure_detector::ejection_threshold;
        if (!endpoint.ejected || endpoint.gossip_ejection_until != 0)
            eject(endpoint, why, static_cast<double>(figure) / second);
    }
    // A sound endpoint_id answers a line at once, on each connection. Guards against one that hangs or is cut
    // off, of which setups and probes tell only seconds later.
    void on_unresponsive(std::uint32_t endpoint_id, Ticks span) override {
        Endpoint* const endpoint = find_endpoint(endpoint_id);
        if (endpoint == nullptr || span < (endpoint->ejected ? line_timeout / 2 : line_timeout)) return;
        eject_unresponsive(*endpoint, "seconds with no line", span);
    }
    void on_health_check(std::uint32_t endpoint_id, Outcome ending, Ticks,
                         const LoadReport& report) override {
        if (find_endpoint(endpoint_id) == nullptr) return;
        Endpoint& endpoint = *find_endpoint(endpoint_id);
        endpoint.health_check_pending = false;
        if (ending == Outcome::timed_out || ending == Outcome::unreachable)
            record_outcome(endpoint, ending, true, config.own_node);
        if (ending != Outcome::ok) return;
        on_any_success();
        endpoint.health_check_passed_at = now;
        on_responsive(endpoint);
        double utilization = report.load;
        if (std::isnan(utilization)) utilization = report.utilization;
        if (std::isnan(utilization) && !std::isnan(report.inflight))
            utilization = report.inflight * mean_load() / (endpoint.size * capacity_per_size);
        if (std::isnan(utilization) && !std::isnan(report.queue))
            utilization = 0.5 + report.queue / (10 * endpoint.size);
        if (!std::isnan(report.backlog_seconds))
            utilization = (std::isnan(utilization) ? 0 : utilization) + report.backlog_seconds;
        if (std::isnan(utilization)) return;
        if (!config.reports_message_delay) update_backlog(endpoint, utilization);
        endpoint.on_load_report(utilization, now);
        if (utilization == endpoint.last_reported_load || !load_totals_known) return;  // not yet refreshed
        endpoint.last_reported_load = utilization;
        const double load = total_load(endpoint);
        if (utilization < 0.1 || load < 2 * mean_load() || overall_load.count < min_load_samples)
            return;  // too little
        const double seen = load / utilization / slow_start_factor(endpoint);
        endpoint.learned_capacity = endpoint.learned_capacity > 0
                                        ? endpoint.learned_capacity + (seen - endpoint.learned_capacity) * 0.4
                                        : seen;
    }

    // ---- moving tunnels off an endpoint_id that serves none of them well
    // The tunnels whose moves win the most go first; the weights place them when they are back. A node moves
    // its part of the excess, by chance where that is less than one tunnel, so that not all move at once.
    void migrate_excess(std::uint32_t index) {
        Endpoint& endpoint = endpoints[index];
        const bool dead = endpoint.ejected && endpoint.unresponsive;
        if (endpoint.open_tunnels == 0 || now - endpoint.migrated_at < second / 2 || !admission_was_open ||
            pending_attempts > 4)
            return;
        const double utilization = utilization_at(endpoint, total_load(endpoint) - endpoint.pending_load);
        const bool seen =
            load_totals_known ||
            endpoint.utilization_at > endpoint.migrated_at + placement_visible_after;  // what was moved last
        if (!dead && (has_no_load_data(endpoint) || utilization < migrate_above ||
                      utilization < 1.2 * fleet_utilization || !seen))
            return;
        endpoint.migrated_at = now;
        double left =
            dead ? endpoint.own_load / 2 : (utilization - migrate_above) / utilization * endpoint.own_load;
        while (left > 0 && migration_tokens >= 1) {
            const std::uint32_t candidate = best_migration(endpoint, utilization, dead);
            if (candidate == none || draw() * tunnels[candidate].load > left) return;
            left -= tunnels[candidate].load;
            migration_tokens -= 1;
            transition_to(candidate, TunnelState::migrating);
            delegate.migrate(tunnels[candidate].id);
        }
    }
    std::uint32_t best_migration(const Endpoint& off, double utilization, bool dead) {
        std::uint32_t best = none;
        double most = migration_min_gain;
        for (std::uint32_t i = 0; i < tunnels.places(); ++i) {
            const TrackedTunnel& tunnel = tunnels[i];
            if (!tunnels.used(i) || tunnel.state != TunnelState::open ||
                &endpoints[tunnel.endpoint_index] != &off)
                continue;
            // With the last of a group its copy goes too: each member counts for its part of that.
            const int members = records.groups().members(tunnel.group, off.id);
            const double load = tunnel.load / mean_load() + (members > 0 ? group_copy_tunnels / members : 0);
            const double here = dead ? 10 : late_cost(utilization - tunnel.load / capacity(off) / 2, load);
            if (here < most) continue;
            mark_affinity_targets(tunnel);
            double there = max_cost_of(tunnel.traffic_class);  // in a full fleet it is better declined
            const double dear = group_copy_cost(tunnel.group);
            for (std::uint32_t k = 0; k < endpoints.size(); ++k)
                if ((holds_group[k] != 0 || dear < there) && &endpoints[k] != &off && slow_start_allows(k) &&
                    has_headroom(endpoints[k], max_utilization))
                    there = std::min(there, marginal_cost(k, tunnel.load, tunnel.group));
            if (here - there <= most) continue;
            most = here - there;
            best = i;
        }
        return best;
    }
    // ---- the sweep
    void tick() {
        delegate.set_timer(now + tick_interval, 0);
        if (!hello_sent) announce_start();
        poll_endpoint_list();
        expire_pending_loads(load_totals_known ? load_totals_interval : placement_visible_after);
        recent_outcomes.fade(failure_detector::outcome_decay);
        for (double* part : {&recent_opened, &recent_ended, &recent_open, &recent_lost})
            *part *= admission_decay;
        for (auto& endpoint : endpoints) endpoint.recent_unreported_load *= unreported_decay;
        estimate_unseen_load();
        retry_waiting();
        const double age = static_cast<double>(now - started_at) / second;
        const auto towards = [](double& a_second, double seen, double window) {
            a_second += (seen - a_second * tick_interval / second) / window;
        };
        towards(tunnel_end_rate, ended_since_tick, std::clamp(age, 1.0, 20.0));
        towards(placement_rate, 10.0 * std::exchange(placed_since_tick, 0), std::clamp(age, 1.0, 10.0));
        ended_tunnels += ended_since_tick;
        for (const auto& endpoint : endpoints)
            total_open_seconds += endpoint.open_tunnels * static_cast<double>(tick_interval) / second;
        ended_since_tick = 0;
        // Moved clients come back through a shared store: no faster than some times the rate of tunnels.
        const double moves_a_second =
            migrations_per_tunnel * std::max(tunnel_end_rate, 0.7 * std::min(1.0, 3 / node_count()));
        migration_tokens = std::min(migration_tokens + moves_a_second * tick_interval / second,
                                    std::max(moves_a_second, 2.0));
        if (++ticks % (1 + endpoints.size() / 64) == 0) review_endpoints();
        check_heartbeats();
        if (now - records_scanned_at >= second) {
            records_scanned_at = now;
            for (std::uint32_t i = 0; i < tunnels.places(); ++i)
                if (tunnels.used(i) && tunnels[i].state == TunnelState::open && tunnels[i].has_key &&
                    now >= tunnels[i].refresh_records_at)
                    publish(tunnels[i]);
            records.erase_older_than(now - record_lifetime);
            record_sample = records.sampled(now - refresh_period - 2 * second, started_at);
        }
    }
    // What looks at all eps is done less often the more there are: the node has little time for it.
    void review_endpoints() {
        if (ring_changed) elect_report_owners();
        update_fleet_estimates();
        if (config.limits.health_checks_enabled) send_health_checks();
        for (std::uint32_t i = 0; i < endpoints.size(); ++i) migrate_excess(i);
        for (auto& endpoint : endpoints) {
            report_failure(endpoint);
            if (endpoint.ejected && endpoint.gossip_ejection_until != 0 &&
                now >= endpoint.gossip_ejection_until)
                readmit(endpoint, "nobody any more");
            if (!load_totals_known && gossip_enabled() && failure_is_due(endpoint)) publish_failure(endpoint);
        }
        if (isolated) check_isolation();
        if (!load_totals_known && gossip_enabled()) publish_reports();
    }
    void retry_waiting() {
        retried_tunnels = waiting_tunnels;
        for (const std::uint32_t index : retried_tunnels) retry(index);
    }
    void retry(std::uint32_t index) {
        TrackedTunnel& tunnel = tunnels[index];
        const std::uint32_t endpoint_index = choose(tunnel);
        if (endpoint_index != none)
            send(index, endpoint_index);
        else if (too_costly && !waits_for_lease(tunnel))
            finish(index, Reason::too_costly);
        else if (now + tick_interval >= tunnel.wait_until)
            finish(index, Reason::no_endpoint);
        else if (waits_for_lease(tunnel))
            request_lease(index);
    }
    Ticks health_check_interval() const {
        const double probes = static_cast<double>(endpoints.size()) *
                              (load_totals_known || !gossip_enabled() ? node_count() : 1);
        return affordable_interval(health_check_period, config.costs.health_check * probes, 8);
    }
    void send_health_checks() {
        const Ticks pause = health_check_interval();
        for (auto& endpoint : endpoints) {
            if (endpoint.state != EndpointState::active || endpoint.health_check_pending) continue;
            // Without sums an endpoint_id's reporter probes for all; the others only where they hear nothing
            // of it.
            const bool alone = load_totals_known || !gossip_enabled();  // no reporter tells of it
            const bool mine = alone || endpoint.owner_rank != not_report_owner;
            // Is it back? Once it answers probes a trial tells, and probes no more than of others.
            const bool unanswered =
                endpoint.unresponsive && endpoint.health_check_passed_at <= endpoint.failed_at;
            const Ticks wait = unanswered ? health_check_period
                               : mine     ? pause * (alone ? 1 : 1 + 4 * endpoint.owner_rank)
                                          : 8 * report_interval;
            if (now - std::max(endpoint.health_checked_at, mine ? -never : endpoint.utilization_at) < wait)
                continue;
            start_health_check(endpoint);
        }
    }
};

}  // namespace

std::unique_ptr<Balancer> Balancer::start(BalancerConfig config, BalancerDelegate& delegate, Ticks now) {
    return std::make_unique<DecisionEngine>(std::move(config), delegate, now);
}

}  // namespace lemonstair
