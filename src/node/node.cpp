#include "node/node.h"

#include <poll.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <sstream>
#include <system_error>

#include "admin/metrics_page.h"

namespace lemonstair::node {

namespace {

constexpr Ticks look_over_every = 2500, tally_every = 100000, costs_every = 10000;

// After SIGHUP the new discovery counts as heard 4 s later: its call needs a part of that.
constexpr Ticks renew_pause = 2500, renew_for = 25000;

enum Timer : std::uint64_t {
    look_over_timer,
    tally_timer,
    list_timer,
    costs_timer,
    empty_timer,
    renew_timer,
    peers_timer
};

// Guards against a start that ends for want of descriptors or memory that is over in a moment.
constexpr int most_tries = 20;
constexpr Ticks between_tries = 1000;

// Opens what listens at a configured address; a fault names the key.
template <class Open>
void open_at(net::System& system, const char* key, Open&& open) {
    for (int tries = 1;; ++tries) {
        try {
            return open();
        } catch (const std::system_error& e) {
            if (!net::is_local_failure(e.code().value()) || tries == most_tries)
                throw json::Malformed(
                    std::string("configuration: field '").append(key).append("': ").append(e.what()));
        }
        static_cast<void>(system.poll({}, between_tries));
    }
}

std::string_view name_of(int phase) {
    constexpr std::array<std::string_view, 5> names{"starting", "serving", "drained", "leaving", "left"};
    return names[static_cast<std::size_t>(phase)];
}

}  // namespace

Node::Node(net::System& system, config::NodeConfig launch, const json::Value& known, log::Log& log,
           Reread reread, Decider decider)
    : launch_(std::move(launch)),
      known_(known.with_context("known")),
      log_(log),
      reread_(std::move(reread)),
      loop_(system),
      hosts_(launch_.zone_names, log_),
      stages_(loop_, launch_, hosts_, log_, costs_),
      peers_(loop_, launch_, costs_,
             [this](std::uint32_t node, std::span<const std::uint8_t> bytes) {
                 stages_.floor.mind().on_gossip(node, bytes);
             }),
      orders_(loop_, peers_, log_, costs_),
      watch_(loop_, stages_.floor.pool, launch_.discovery, *this, log_, costs_),
      prober_(loop_, stages_.floor.pool, hosts_, *this, launch_, costs_),
      desk_(loop_, *this, log_),
      succession_(loop_, *this, log_, launch_.name, launch_.hot_restart_path),
      decider_(std::move(decider)),
      rng_(launch_.balancer.seed),
      signals_(loop_, system.signals(), POLLIN, *this, 0) {
    if (launch_.inherited_listener)
        open_at(system, "NODE_INHERITED_FD", [&] { stages_.take_in.listen_on(*launch_.inherited_listener); });
    else
        open_at(system, "listen", [&] { stages_.take_in.listen_on(launch_.listen); });
    if (launch_.admin)
        open_at(system, "admin_addr", [&] { desk_.open(*launch_.admin, launch_.max_admin_connections); });
    for (const auto& [timer, every] : {std::pair{look_over_timer, look_over_every},
                                       {tally_timer, tally_every},
                                       {costs_timer, costs_every}})
        loop_.schedule(loop_.now() + every, *this, timer);
    succession_.start();
}

// A mind that remembers nothing, but for the hosts that it was told at the start, or by an old process.
void Node::think(std::string_view list) {
    orders_.expect_another();
    balancer_ = decider_(launch_.balancer, orders_, loop_.now());
    orders_.decide_by(*balancer_);
    stages_.floor.balancer = balancer_.get();
    if (known_.type() == json::Type::object)
        hosts_.apply(known_, stages_.floor.mind(), discovery::ListSource::cache, loop_.now());
    json::Document told;
    if (!list.empty() && told.parse(list))
        hosts_.apply_inherited(told.root().with_context("inherited list"), stages_.floor.mind(),
                               stages_.carry.clock_shift(), loop_.now());
}

// The node's place is this process's, alone or after an old one.
void Node::begin(std::string_view list, std::string_view memory) {
    think(list);
    if (!memory.empty() && !stages_.floor.mind().restore_state(memory, stages_.carry.clock_shift())) {
        log_.error()
            << "hot restart: the state of the old process cannot be read, the node begins without it";
        think(list);
    }
    const bool alone = succession_.role() == hot_restart::Role::standalone;
    if (!launch_.hot_restart_path.empty()) stages_.floor.for_other = alone ? for_a_new_one : for_the_other;
    speak();
    // What the old process was told last may be some time ago: the list is asked for at once.
    if (!list.empty() && !watch_.is_open()) watch_.open(hosts_.revision());
    go(Phase::serving);
    if (std::exchange(renew_at_begin_, false)) renew();
}

void Node::speak() {
    open_peers();
    if (!launch_.balancer.must_poll) watch_.open(hosts_.revision());
    stages_.take_in.open(true);
}

// Guards against an end of the process, with tunnels open, where it becomes the node again and has no
// descriptor just then. Until it has one it hears of no other node, as if it were cut off from them.
void Node::open_peers() {
    try {
        peers_.open();
    } catch (const std::system_error& e) {
        const bool transient = net::is_local_failure(e.code().value());
        if (!transient && phase_ == Phase::starting)
            throw json::Malformed(std::string("configuration: field 'peer_listen': ").append(e.what()));
        log_.error() << "no socket for the other nodes yet: " << e.what();
        loop_.schedule(loop_.now() + between_tries, *this, peers_timer);
    }
}

void Node::fall_silent() {
    stages_.take_in.open(false);
    peers_.close();
    watch_.stop();
    prober_.stop();
}

void Node::on_role_changed(hot_restart::Role from, hot_restart::Role to) {
    stages_.floor.ready = ready();
    stages_.floor.for_other = to == hot_restart::Role::standalone ? for_a_new_one : for_the_other;
    if (hot_restart::is_active(from) == hot_restart::is_active(to)) return;
    if (!hot_restart::is_active(to)) return fall_silent();
    // Guards against a new version that dies just after its yes: this one is the node again.
    stages_.floor.mind().resume_ownership();
    speak();
    tell_list(EndpointListKind::moved);
}

void Node::export_state(std::string& list, std::string& memory) {
    list = hosts_.to_json();
    stages_.floor.mind().serialize_state(memory);
}

bool Node::next_tunnel(hot_restart::TransferredTunnel& into) {
    if (!stages_.carry.next(into.number, into.bytes)) return false;
    const tunnel::Tunnel& t = *stages_.floor.find(into.number);
    into.client = t.client.fd();
    into.endpoint = t.host.fd();
    return true;
}

void Node::on_transfer_result(std::uint64_t number, bool taken) {
    if (taken) return stages_.carry.gone(number);
    stages_.carry.comes_back(number, !hot_restart::is_replaced(succession_.role()));
}

bool Node::receive_tunnel(std::string_view bytes, net::Fd client, net::Fd host) {
    return stages_.carry.take(bytes, std::move(client), std::move(host));
}

void Node::go(Phase to) {
    auto& floor = stages_.floor;
    const std::size_t owed = floor.admitted + floor.departing;
    if (to == Phase::left && phase_ != Phase::starting && owed > 0 &&
        !hot_restart::is_replaced(succession_.role()))
        floor.violated(metrics::Invariant::exited_with_pending_answers, 0,
                       std::to_string(owed) + " tunnels in hand");
    log_.info() << launch_.name << ": " << name_of(static_cast<int>(phase_)) << " -> "
                << name_of(static_cast<int>(to)) << ", " << hosts_.size() << " hosts known, " << floor.in_hand
                << " tunnels, room for " << stages_.admit.room();
    phase_ = to;
    stages_.floor.ready = ready();
    floor_empties();
}

// What is in hand has to be over by a time; who comes from now on has no longer either.
void Node::floor_empties() {
    auto& floor = stages_.floor;
    floor.answer_by = floor.over_by = tunnel::TunnelRegistry::no_end;
    if (phase_ != Phase::drained && phase_ != Phase::leaving) return;
    departure_ =
        phase_ == Phase::leaving ? DrainSchedule::on_term(launch_.balancer) : DrainSchedule::on_drain();
    emptying_since_ = loop_.now();
    empty_at_ = emptying_since_ + DrainSchedule::move_from;
    loop_.schedule(empty_at_, *this, empty_timer);
    // A drained node stays and serves who comes, however long that lasts: nothing has to be over by a time.
    if (phase_ == Phase::drained) return;
    floor.over_by = emptying_since_ + departure_.over_by;
    stages_.send.answer_by(emptying_since_ + departure_.answer_by);
}

std::string_view Node::phase() const {
    if (hot_restart::is_replaced(succession_.role())) return "handed over";
    return name_of(static_cast<int>(phase_));
}

std::string Node::metrics_page() const {
    const EndpointCounts hosts = balancer_ ? balancer_->endpoint_counts() : EndpointCounts{};
    return admin::write_metrics_page({.traffic_class_names = launch_.traffic_class_names,
                                      .tunnels = stages_.floor.outcomes,
                                      .open_tunnels = stages_.floor.admitted,
                                      .endpoints_listed = hosts.listed,
                                      .endpoints_excluded = hosts.excluded});
}

// A node that leaves says no already.
bool Node::drain() {
    if (phase_ == Phase::serving) go(Phase::drained);
    return true;
}

bool Node::resume() {
    if (phase_ == Phase::drained) go(Phase::serving);
    return ready();
}

void Node::run() {
    while (turn()) continue;
}

bool Node::turn() {
    loop_.run_once(
        [this] { orders_.carry_out([this](const DeferredActions::Order& order) { carry_out(order); }); });
    log_.write_out();
    return phase_ != Phase::left;
}

void Node::carry_out(const DeferredActions::Order& order) {
    switch (order.kind) {
        case DeferredActions::Kind::set_up:
            return stages_.route.set_up(order.tun, order.ep, order.span);
        case DeferredActions::Kind::decline:
            return stages_.route.decline(order.tun, order.span);
        case DeferredActions::Kind::close_with_error:
            return stages_.route.close_with_error(order.tun);
        case DeferredActions::Kind::move:
            return stages_.route.move(order.tun);
        case DeferredActions::Kind::probe:
            if (hot_restart::is_active(succession_.role())) return prober_.check(order.ep);
            return stages_.floor.mind().on_health_check(order.ep, Outcome::not_sent, 0, {});
        case DeferredActions::Kind::watch:
            if (hot_restart::is_active(succession_.role())) watch_.open(hosts_.revision());
            return;
    }
}

bool Node::on_list(const json::Value& list) {
    const bool taken =
        hosts_.apply(list, stages_.floor.mind(), discovery::ListSource::discovery, loop_.now());
    if (taken) backoff_.answered();
    return taken;
}

void Node::tell_list(EndpointListKind kind) {
    Balancer& mind = stages_.floor.mind();
    mind.begin_endpoint_list(kind);
    mind.end_endpoint_list();
}

void Node::on_unchanged() {
    tell_list(EndpointListKind::changes);
    backoff_.answered();
}

// Where the node must ask, the module says when to ask again; else the watch comes back by itself, later
// after each failure and by chance, so that not all nodes call discovery at once when it is back.
void Node::on_watch_lost() {
    tell_list(EndpointListKind::failed);
    if (launch_.balancer.must_poll) return;
    const double drawn = static_cast<double>(rng_() - std::minstd_rand::min());
    const double chance = drawn / static_cast<double>(std::minstd_rand::max());
    loop_.schedule(loop_.now() + backoff_.failed(chance), *this, list_timer);
}

void Node::on_health_check(std::uint32_t ep, Outcome ending, Ticks took, const LoadReport& report) {
    stages_.floor.mind().on_health_check(ep, ending, took, report);
}

void Node::on_ready(std::uint64_t, short) {
    while (const int signal = loop_.system().next_signal(signals_.fd())) {
        if (signal == SIGHUP)
            renew();
        else
            leave();
    }
}

void Node::leave() {
    if (phase_ == Phase::starting) return go(Phase::left);
    // Who could not take this process's place serves beside it: clients are left to it.
    if (succession_.displaced()) stages_.take_in.open(false);
    if (phase_ == Phase::serving || phase_ == Phase::drained) go(Phase::leaving);
}

// Guards against a new configuration that is faulty: the old one stays.
void Node::renew() {
    if (phase_ == Phase::starting) {
        renew_at_begin_ = true;
        return;
    }
    renew_at_ = 0;
    renew_until_ = loop_.now() + renew_for;
    if (!read_again(true)) renew_later();
}

// Guards against a file that cannot be read in just this moment, or is half written: what it tells is due
// soon.
void Node::renew_later() {
    renew_at_ = loop_.now() + renew_pause;
    if (renew_at_ <= renew_until_) loop_.schedule(renew_at_, *this, renew_timer);
}

// False where the file cannot be taken.
bool Node::read_again(bool first_try) {
    std::string kept;
    try {
        kept = config::apply_reload(launch_, reread_());
    } catch (const json::Malformed& e) {
        if (first_try) log_.error() << "new configuration not taken: " << e.what();
        log_.debug() << "the configuration is read again in a moment: " << e.what();
        return false;
    }
    take_renewed(kept);
    return true;
}

// Discovery that has moved is called at once, whatever failures the old one had, and what it says first is
// new; until then the last list stands.
void Node::take_renewed(const std::string& kept) {
    if (!kept.empty()) log_.error() << "not changed before the next start: " << kept;
    stages_.floor.mind().update_config(launch_.balancer);
    const bool moved = watch_.redirect(launch_.discovery);
    log_.info() << "configuration read again" << (moved ? ", discovery has moved" : "") << ", room for "
                << stages_.admit.room();
    if (moved) hosts_.reset_revision();
    if (watch_.is_open()) return;
    backoff_.answered();
    tell_list(EndpointListKind::moved);
    if (!launch_.balancer.must_poll) watch_.open(hosts_.revision());
}

void Node::on_timer(std::uint64_t token) {
    if (token == look_over_timer) return look_over();
    if (token == costs_timer) return tell_costs();
    if (token == empty_timer) return empty_out();
    if (token == peers_timer) {
        if (!peers_.is_open() && hot_restart::is_active(succession_.role())) open_peers();
        return;
    }
    if (token == renew_timer) {
        if (renew_at_ == 0 || loop_.now() < renew_at_) return;  // a later SIGHUP has its own tries
        renew_at_ = 0;
        if (!read_again(false)) renew_later();
        return;
    }
    if (token == list_timer) {
        if (hot_restart::is_active(succession_.role())) watch_.open(hosts_.revision());
        return;
    }
    loop_.schedule(loop_.now() + tally_every, *this, tally_timer);
    const auto& floor = stages_.floor;
    const auto& n = floor.tally;
    log_.info() << "tunnels in hand " << floor.in_hand << ", buffers out " << floor.pool.out()
                << ", descriptors " << loop_.descriptors() << "; so far taken " << n.taken << ", opened "
                << n.opened << ", declined " << n.declined << " (" << n.busy
                << " for want of room), closed with error " << n.failed << ", moved " << n.moved << " ("
                << n.silent << " off silent hosts), bad clients " << n.bad << ", gave way " << n.gave_way;
}

void Node::tell_costs() {
    loop_.schedule(loop_.now() + costs_every, *this, costs_timer);
    if (costs_ == costs_told_) return;  // nothing but processor time
    costs_.processor_us = loop_.system().processor_us();
    std::ostringstream added;
    metrics::write_added(added, costs_, costs_told_);
    log_.info() << "second:" << added.str() << " tunnels_held=" << stages_.floor.admitted
                << " health_check_connections_held=" << prober_.open_connections();
    costs_told_ = costs_;
}

void Node::look_over() {
    loop_.schedule(loop_.now() + look_over_every, *this, look_over_timer);
    stages_.relay.look_over();
}

// Often, since the last tunnels to open are to be moved in what is left of the time.
void Node::empty_out() {
    if ((phase_ != Phase::drained && phase_ != Phase::leaving) || loop_.now() < empty_at_) return;
    empty_at_ = loop_.now() + DrainSchedule::look_every;
    loop_.schedule(empty_at_, *this, empty_timer);
    const bool handed = hot_restart::is_replaced(succession_.role());
    const auto& floor = stages_.floor;
    if (phase_ == Phase::leaving && (handed ? floor.in_hand : floor.admitted + floor.departing) == 0 &&
        may_leave())
        return go(Phase::left);
    // Its clients go over to the new version, and notice nothing.
    if (handed) return;
    // Packets that pass go on through another node: there a move would only break what goes on unbroken.
    if (!launch_.balancer.packet_passthrough) move_all();
}

// Who could not be accepted in its last moments would keep the node for ever.
bool Node::may_leave() {
    const Reason reason = attempt_policy::may_exit(stages_.take_in.debts());
    if (reason != Reason::allowed)
        log_.debug() << launch_.name << ": does not leave yet, " << lemonstair::name_of(reason);
    const bool too_late = loop_.now() >= stages_.floor.over_by;
    return reason == Reason::allowed || (reason == Reason::queue_unread && too_late);
}

// Spread, so that not all clients come again at once, and over well before the end.
void Node::move_all() {
    auto& floor = stages_.floor;
    const Ticks left = std::max<Ticks>(emptying_since_ + departure_.move_until - loop_.now(), 0);
    const auto rounds = static_cast<std::size_t>(1 + left / DrainSchedule::look_every);
    std::size_t quota = floor.in_hand / rounds + 1;
    for (std::uint32_t at = 0; at < floor.tunnels.places() && quota > 0; ++at) {
        if (!floor.tunnels.used(at) || floor.tunnels[at].state != tunnel::TunnelState::relaying) continue;
        stages_.relay.move(floor.id_of(at));
        --quota;
    }
}

}  // namespace lemonstair::node
