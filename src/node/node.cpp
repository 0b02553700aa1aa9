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
      known_(known.told_as("known")),
      log_(log),
      reread_(std::move(reread)),
      loop_(system),
      hosts_(launch_.zones, log_),
      stages_(loop_, launch_, hosts_, log_, costs_),
      peers_(loop_, launch_, costs_,
             [this](std::uint32_t node, std::span<const std::uint8_t> bytes) {
                 stages_.registry.balancer_now().on_gossip(node, bytes);
             }),
      orders_(loop_, peers_, log_, costs_),
      watch_(loop_, stages_.registry.pool, launch_.discovery, *this, log_, costs_),
      prober_(loop_, stages_.registry.pool, hosts_, *this, launch_, costs_),
      desk_(loop_, *this, log_),
      succession_(loop_, *this, log_, launch_.name, launch_.nearby),
      decider_(std::move(decider)),
      rng_(launch_.terms.seed),
      signals_(loop_, system.signals(), POLLIN, *this, 0) {
    if (launch_.inherited)
        open_at(system, "NODE_INHERITED_FD", [&] { stages_.acceptor.listen_on(*launch_.inherited); });
    else
        open_at(system, "listen", [&] { stages_.acceptor.listen_on(launch_.listen); });
    if (launch_.admin) open_at(system, "admin_addr", [&] { desk_.open(*launch_.admin, launch_.callers); });
    for (const auto& [timer, every] : {std::pair{look_over_timer, look_over_every},
                                       {tally_timer, tally_every},
                                       {costs_timer, costs_every}})
        loop_.schedule(loop_.now() + every, *this, timer);
    succession_.start();
}

// A mind that remembers nothing, but for the hosts that it was told at the start, or by an old process.
void Node::think(std::string_view list) {
    orders_.expect_another();
    balancer_ = decider_(launch_.terms, orders_, loop_.now());
    orders_.decide_by(*balancer_);
    stages_.registry.balancer = balancer_.get();
    if (known_.type() == json::Type::object)
        hosts_.take(known_, stages_.registry.balancer_now(), true, loop_.now());
    json::Document told;
    if (!list.empty() && told.parse(list))
        hosts_.take_over(told.root().told_as("list handed over"), stages_.registry.balancer_now(),
                         stages_.transfer.clock_shift(), loop_.now());
}

// The node's place is this process's, alone or after an old one.
void Node::begin(std::string_view list, std::string_view memory) {
    think(list);
    if (!memory.empty() &&
        !stages_.registry.balancer_now().restore_state(memory, stages_.transfer.clock_shift())) {
        log_.error() << "hand-over: what the old process remembers cannot be read, the node begins anew";
        think(list);
    }
    const bool alone = succession_.stand() == hot_restart::Role::alone;
    if (!launch_.nearby.empty())
        stages_.registry.descriptors.set_sibling_reserve(alone ? for_a_new_one : for_the_other);
    speak();
    // What the old process was told last may be some time ago: the list is asked for at once.
    if (!list.empty() && !watch_.is_open()) watch_.open(hosts_.revision());
    go(Phase::serving);
    if (std::exchange(renew_at_begin_, false)) renew();
}

void Node::speak() {
    open_peers();
    if (!launch_.terms.must_poll) watch_.open(hosts_.revision());
    stages_.acceptor.set_accepting(true);
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
    stages_.acceptor.set_accepting(false);
    peers_.close();
    watch_.stop();
    prober_.stop();
}

void Node::stand_changed(hot_restart::Role from, hot_restart::Role to) {
    stages_.registry.ready = ready();
    stages_.registry.descriptors.set_sibling_reserve(to == hot_restart::Role::alone ? for_a_new_one
                                                                                    : for_the_other);
    if (hot_restart::answers(from) == hot_restart::answers(to)) return;
    if (!hot_restart::answers(to)) return fall_silent();
    // Guards against a new version that dies just after its yes: this one is the node again.
    stages_.registry.balancer_now().resume_ownership();
    speak();
    tell_list(EndpointListKind::moved);
}

void Node::tell_state(std::string& list, std::string& memory) {
    list = hosts_.list();
    stages_.registry.balancer_now().serialize_state(memory);
}

bool Node::next_tunnel(hot_restart::TransferredTunnel& into) {
    if (!stages_.transfer.next_transferable(into.number, into.bytes)) return false;
    const tunnel::Tunnel& t = *stages_.registry.find(into.number);
    into.client = t.client.fd();
    into.host = t.endpoint.fd();
    return true;
}

void Node::tunnel_gone(std::uint64_t number, bool taken) {
    if (taken) return stages_.transfer.complete(number);
    stages_.transfer.cancel(number, !hot_restart::hands_over(succession_.stand()));
}

bool Node::take_tunnel(std::string_view bytes, net::Fd client, net::Fd host) {
    return stages_.transfer.adopt(bytes, std::move(client), std::move(host));
}

void Node::go(Phase to) {
    auto& registry = stages_.registry;
    const std::size_t owed = registry.admitted_count() + registry.closing_count();
    if (to == Phase::left && phase_ != Phase::starting && owed > 0 &&
        !hot_restart::hands_over(succession_.stand()))
        registry.report_violation(metrics::Invariant::exited_with_debts, 0,
                                  std::to_string(owed) + " tunnels in hand");
    log_.info() << launch_.name << ": " << name_of(static_cast<int>(phase_)) << " -> "
                << name_of(static_cast<int>(to)) << ", " << hosts_.size() << " hosts known, "
                << registry.tunnel_count() << " tunnels, room for " << stages_.admission.capacity();
    phase_ = to;
    stages_.registry.ready = ready();
    floor_empties();
}

// What is in hand has to be over by a time; who comes from now on has no longer either.
void Node::floor_empties() {
    auto& registry = stages_.registry;
    registry.answer_deadline = registry.close_deadline = tunnel::TunnelRegistry::no_deadline;
    if (phase_ != Phase::drained && phase_ != Phase::leaving) return;
    departure_ = phase_ == Phase::leaving ? DrainSchedule::on_term(launch_.terms) : DrainSchedule::on_drain();
    emptying_since_ = loop_.now();
    empty_at_ = emptying_since_ + DrainSchedule::move_from;
    loop_.schedule(empty_at_, *this, empty_timer);
    // A drained node stays and serves who comes, however long that lasts: nothing has to be over by a time.
    if (phase_ == Phase::drained) return;
    registry.close_deadline = emptying_since_ + departure_.over_by;
    stages_.attempts.set_answer_deadline(emptying_since_ + departure_.answer_by);
}

std::string_view Node::phase() const {
    if (hot_restart::hands_over(succession_.stand())) return "handed over";
    return name_of(static_cast<int>(phase_));
}

std::string Node::figures() const {
    const EndpointCounts hosts = balancer_ ? balancer_->endpoint_counts() : EndpointCounts{};
    return admin::write_figures({.profiles = launch_.profiles,
                                 .outcomes = stages_.registry.tunnel_counters,
                                 .open = stages_.registry.admitted_count(),
                                 .listed = hosts.listed,
                                 .excluded = hosts.excluded});
}

// A node that leaves says no already.
bool Node::drain() {
    if (phase_ == Phase::serving) go(Phase::drained);
    return true;
}

bool Node::take_again() {
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
            return stages_.dispatcher.start_attempt(order.tun, order.ep, order.span);
        case DeferredActions::Kind::decline:
            return stages_.dispatcher.reject(order.tun, order.span);
        case DeferredActions::Kind::close_with_error:
            return stages_.dispatcher.fail(order.tun);
        case DeferredActions::Kind::move:
            return stages_.dispatcher.migrate(order.tun);
        case DeferredActions::Kind::probe:
            if (hot_restart::answers(succession_.stand())) return prober_.probe(order.ep);
            return stages_.registry.balancer_now().on_health_check(order.ep, Outcome::not_sent, 0, {});
        case DeferredActions::Kind::watch:
            if (hot_restart::answers(succession_.stand())) watch_.open(hosts_.revision());
            return;
    }
}

bool Node::list_heard(const json::Value& list) {
    const bool taken = hosts_.take(list, stages_.registry.balancer_now(), false, loop_.now());
    if (taken) backoff_.answered();
    return taken;
}

void Node::tell_list(EndpointListKind kind) {
    Balancer& mind = stages_.registry.balancer_now();
    mind.begin_endpoint_list(kind);
    mind.end_endpoint_list();
}

void Node::nothing_new() {
    tell_list(EndpointListKind::changes);
    backoff_.on_success();
}

// Where the node must ask, the module says when to ask again; else the watch comes back by itself, later
// after each failure and by chance, so that not all nodes call discovery at once when it is back.
void Node::watch_lost() {
    tell_list(EndpointListKind::failed);
    if (launch_.terms.must_poll) return;
    const double drawn = static_cast<double>(rng_() - std::minstd_rand::min());
    const double chance = drawn / static_cast<double>(std::minstd_rand::max());
    loop_.schedule(loop_.now() + backoff_.on_failure(chance), *this, list_timer);
}

void Node::on_health_check(std::uint32_t ep, Outcome ending, Ticks took, const LoadReport& report) {
    stages_.registry.balancer_now().on_health_check(ep, ending, took, report);
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
    if (succession_.displaced()) stages_.acceptor.set_accepting(false);
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
        kept = config::renew(launch_, reread_());
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
    stages_.registry.balancer_now().update_config(launch_.terms);
    const bool moved = watch_.move_to(launch_.discovery);
    log_.info() << "configuration read again" << (moved ? ", discovery has moved" : "") << ", room for "
                << stages_.admission.capacity();
    if (moved) hosts_.forget_revision();
    if (watch_.is_open()) return;
    backoff_.on_success();
    tell_list(EndpointListKind::moved);
    if (!launch_.terms.must_poll) watch_.open(hosts_.revision());
}

void Node::on_timer(std::uint64_t token) {
    if (token == look_over_timer) return look_over();
    if (token == costs_timer) return tell_costs();
    if (token == empty_timer) return empty_out();
    if (token == peers_timer) {
        if (!peers_.is_open() && hot_restart::answers(succession_.stand())) open_peers();
        return;
    }
    if (token == renew_timer) {
        if (renew_at_ == 0 || loop_.now() < renew_at_) return;  // a later SIGHUP has its own tries
        renew_at_ = 0;
        if (!read_again(false)) renew_later();
        return;
    }
    if (token == list_timer) {
        if (hot_restart::answers(succession_.stand())) watch_.open(hosts_.revision());
        return;
    }
    loop_.schedule(loop_.now() + tally_every, *this, tally_timer);
    const auto& registry = stages_.registry;
    const auto& n = registry.totals;
    log_.info() << "tunnels in hand " << registry.tunnel_count() << ", buffers out " << registry.pool.out()
                << ", descriptors " << loop_.descriptors() << "; so far taken " << n.accepted << ", opened "
                << n.opened << ", declined " << n.rejected << " (" << n.over_capacity
                << " for want of room), closed with error " << n.failed << ", moved " << n.migrated << " ("
                << n.stalled << " off silent hosts), bad clients " << n.protocol_errors << ", gave way " << n.evicted;
}

void Node::tell_costs() {
    loop_.schedule(loop_.now() + costs_every, *this, costs_timer);
    if (costs_ == costs_told_) return;  // nothing but processor time
    costs_.processor_us = loop_.system().processor_us();
    std::ostringstream added;
    metrics::write_added(added, costs_, costs_told_);
    log_.info() << "second:" << added.str() << " tunnels_held=" << stages_.registry.admitted_count()
                << " probe_lines_held=" << prober_.lines();
    costs_told_ = costs_;
}

void Node::look_over() {
    loop_.schedule(loop_.now() + look_over_every, *this, look_over_timer);
    stages_.relay.check_endpoints();
}

// Often, since the last tunnels to open are to be moved in what is left of the time.
void Node::empty_out() {
    if ((phase_ != Phase::drained && phase_ != Phase::leaving) || loop_.now() < empty_at_) return;
    empty_at_ = loop_.now() + DrainSchedule::look_every;
    loop_.schedule(empty_at_, *this, empty_timer);
    const bool handed = hot_restart::hands_over(succession_.stand());
    const auto& registry = stages_.registry;
    if (phase_ == Phase::leaving &&
        (handed ? registry.tunnel_count() : registry.admitted_count() + registry.closing_count()) == 0 &&
        may_leave())
        return go(Phase::left);
    // Its clients go over to the new version, and notice nothing.
    if (handed) return;
    // Packets that pass go on through another node: there a move would only break what goes on unbroken.
    if (!launch_.terms.packet_passthrough) move_all();
}

// Who could not be accepted in its last moments would keep the node for ever.
bool Node::may_leave() {
    const Reason reason = attempt_policy::may_exit(stages_.acceptor.outstanding_work());
    if (reason != Reason::allowed)
        log_.debug() << launch_.name << ": does not leave yet, " << lemonstair::name_of(reason);
    const bool too_late = loop_.now() >= stages_.registry.close_deadline;
    return reason == Reason::allowed || (reason == Reason::queue_unread && too_late);
}

// Spread, so that not all clients come again at once, and over well before the end.
void Node::move_all() {
    auto& registry = stages_.registry;
    const Ticks left = std::max<Ticks>(emptying_since_ + departure_.move_until - loop_.now(), 0);
    const auto rounds = static_cast<std::size_t>(1 + left / DrainSchedule::look_every);
    std::size_t quota = registry.tunnel_count() / rounds + 1;
    for (std::uint32_t at = 0; at < registry.tunnels.places() && quota > 0; ++at) {
        if (!registry.tunnels.used(at) || registry.tunnels[at].state != tunnel::TunnelState::open) continue;
        stages_.relay.migrate(registry.id_of(at));
        --quota;
    }
}

}  // namespace lemonstair::node
