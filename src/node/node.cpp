#include "node/node.h"

#include <poll.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <sstream>
#include <system_error>

#include "operators/figures.h"

namespace lemonstair::node {

namespace {

constexpr Tenths look_over_every = 2500, tally_every = 100000, costs_every = 10000;
// After the word to leave, or the first no, the front goes on sending clients for a while; those are moved
// with the rest.
constexpr Tenths move_after = 5000, move_within = 10000;
constexpr Tenths first_pause = 2500, longest_pause = 50000;

enum Timer : std::uint64_t { look_over_timer, tally_timer, list_timer, costs_timer };

// Opens what listens at a configured address; a fault names the key.
template <class Open>
void open_at(const char* key, Open&& open) {
    try {
        open();
    } catch (const std::system_error& e) {
        throw json::Malformed(
            std::string("configuration: field '").append(key).append("': ").append(e.what()));
    }
}

std::string_view name_of(int phase) {
    constexpr std::array<std::string_view, 5> names{"starting", "serving", "drained", "leaving", "left"};
    return names[static_cast<std::size_t>(phase)];
}

}  // namespace

Node::Node(net::System& system, config::Launch launch, const json::Value& known, log::Log& log, Reread reread,
           const Decider& decider)
    : launch_(std::move(launch)),
      log_(log),
      reread_(std::move(reread)),
      loop_(system),
      hosts_(launch_.zones, log_),
      stages_(loop_, launch_, hosts_, log_, costs_),
      peers_(loop_, launch_, costs_,
             [this](std::uint32_t node, std::span<const std::uint8_t> bytes) {
                 stages_.floor.mind().told(node, bytes);
             }),
      orders_(loop_, peers_, log_),
      watch_(loop_, stages_.floor.pool, launch_.discovery, *this, log_, costs_),
      prober_(loop_, stages_.floor.pool, hosts_, *this, launch_, costs_),
      desk_(loop_, *this, log_),
      balancer_(decider(launch_.terms, orders_, loop_.now())),
      rng_(launch_.terms.seed),
      signals_(loop_, system.signals(), POLLIN, *this, 0) {
    orders_.decide_by(*balancer_);
    stages_.floor.balancer = balancer_.get();
    const json::Value list = known.told_as("known");
    if (list.type() == json::Type::object) hosts_.take(list, stages_.floor.mind(), true);
    open_at("listen", [&] { stages_.take_in.listen_on(launch_.listen); });
    if (launch_.admin) open_at("admin_addr", [&] { desk_.open(*launch_.admin, launch_.callers); });
    for (const auto& [timer, every] : {std::pair{look_over_timer, look_over_every},
                                       {tally_timer, tally_every},
                                       {costs_timer, costs_every}})
        loop_.at(loop_.now() + every, *this, timer);
    if (!launch_.terms.must_ask) watch_.open(hosts_.revision());
    go(Phase::serving);
}

void Node::go(Phase to) {
    const auto& floor = stages_.floor;
    log_.info() << launch_.name << ": " << name_of(static_cast<int>(phase_)) << " -> "
                << name_of(static_cast<int>(to)) << ", " << hosts_.size() << " hosts known, " << floor.in_hand
                << " tunnels, room for " << stages_.admit.room();
    phase_ = to;
    stages_.floor.ready = ready();
    if (to == Phase::drained || to == Phase::leaving) emptying_since_ = loop_.now();
}

std::string_view Node::phase() const { return name_of(static_cast<int>(phase_)); }

std::string Node::figures() const {
    const Census hosts = balancer_->census();
    return operators::write_figures({.profiles = launch_.profiles,
                                     .outcomes = stages_.floor.outcomes,
                                     .open = stages_.floor.admitted,
                                     .listed = hosts.listed,
                                     .avoided = hosts.avoided});
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
    loop_.turn([this] { orders_.carry_out([this](const Orders::Order& order) { carry_out(order); }); });
    log_.write_out();
    return phase_ != Phase::left;
}

void Node::carry_out(const Orders::Order& order) {
    switch (order.kind) {
        case Orders::Kind::set_up:
            return stages_.route.set_up(order.tun, order.ep, order.span);
        case Orders::Kind::decline:
            return stages_.route.decline(order.tun, order.span);
        case Orders::Kind::close_with_error:
            return stages_.route.close_with_error(order.tun);
        case Orders::Kind::move:
            return stages_.route.move(order.tun);
        case Orders::Kind::probe:
            return prober_.probe(order.ep);
        case Orders::Kind::watch:
            return watch_.open(hosts_.revision());
    }
}

bool Node::list_heard(const json::Value& list) {
    const bool taken = hosts_.take(list, stages_.floor.mind(), false);
    if (taken) failed_calls_ = 0;
    return taken;
}

void Node::tell_list(ListKind kind) {
    Balancer& mind = stages_.floor.mind();
    mind.list_begin(kind);
    mind.list_end();
}

void Node::nothing_new() {
    tell_list(ListKind::changes);
    failed_calls_ = 0;
}

// Where the node must ask, the module says when to ask again; else the watch comes back by itself, later
// after each failure and by chance, so that not all nodes call discovery at once when it is back.
void Node::watch_lost() {
    tell_list(ListKind::failed);
    if (launch_.terms.must_ask) return;
    const Tenths pause = std::min(longest_pause, first_pause << std::min(failed_calls_++, 5));
    loop_.at(loop_.now() + pause / 2 + static_cast<Tenths>(rng_() % static_cast<std::uint32_t>(pause)), *this,
             list_timer);
}

void Node::probed(std::uint32_t ep, Ending ending, Tenths took, const Report& report) {
    stages_.floor.mind().probed(ep, ending, took, report);
}

void Node::ready(std::uint64_t, short) {
    while (const int signal = loop_.system().next_signal(signals_.fd())) {
        if (signal == SIGHUP)
            renew();
        else
            leave();
    }
}

void Node::leave() {
    if (phase_ == Phase::serving || phase_ == Phase::drained) go(Phase::leaving);
}

// Guards against a new configuration that is faulty, or was caught half written: the old one stays. Discovery
// that has moved is called at once, whatever failures the old one had, and what it says first is new; until
// then the last list stands.
void Node::renew() {
    std::string kept;
    try {
        kept = config::renew(launch_, reread_());
    } catch (const json::Malformed& e) {
        log_.error() << "new configuration not taken: " << e.what();
        return;
    }
    if (!kept.empty()) log_.error() << "not changed before the next start: " << kept;
    stages_.floor.mind().retold(launch_.terms);
    const bool moved = watch_.move_to(launch_.discovery);
    log_.info() << "configuration read again" << (moved ? ", discovery has moved" : "") << ", room for "
                << stages_.admit.room();
    if (moved) hosts_.forget_revision();
    if (watch_.is_open()) return;
    failed_calls_ = 0;
    tell_list(ListKind::elsewhere);
    if (!launch_.terms.must_ask) watch_.open(hosts_.revision());
}

void Node::due(std::uint64_t token) {
    if (token == look_over_timer) return look_over();
    if (token == costs_timer) return tell_costs();
    if (token == list_timer) return watch_.open(hosts_.revision());
    loop_.at(loop_.now() + tally_every, *this, tally_timer);
    const auto& floor = stages_.floor;
    const auto& n = floor.tally;
    log_.info() << "tunnels in hand " << floor.in_hand << ", buffers out " << floor.pool.out()
                << ", descriptors " << loop_.descriptors() << "; so far taken " << n.taken << ", opened "
                << n.opened << ", declined " << n.declined << " (" << n.busy
                << " for want of room), closed with error " << n.failed << ", moved " << n.moved << " ("
                << n.silent << " off silent hosts), bad clients " << n.bad << ", gave way " << n.gave_way;
}

void Node::tell_costs() {
    loop_.at(loop_.now() + costs_every, *this, costs_timer);
    if (costs_ == costs_told_) return;  // nothing but processor time
    costs_.processor_us = loop_.system().processor_us();
    std::ostringstream added;
    account::write_added(added, costs_, costs_told_);
    log_.info() << "second:" << added.str() << " tunnels_held=" << stages_.floor.admitted
                << " probe_lines_held=" << prober_.lines();
    costs_told_ = costs_;
}

void Node::look_over() {
    loop_.at(loop_.now() + look_over_every, *this, look_over_timer);
    stages_.relay.look_over();
    if ((phase_ != Phase::drained && phase_ != Phase::leaving) || loop_.now() - emptying_since_ < move_after)
        return;
    if (phase_ == Phase::leaving && stages_.floor.admitted + stages_.floor.departing == 0)
        return go(Phase::left);
    // Packets that pass go on through another node: there a move would only break what goes on unbroken.
    if (!launch_.packets_pass) move_all();
}

// Spread over a second, so that not all clients come again at once, and over well before the end.
void Node::move_all() {
    auto& floor = stages_.floor;
    const Tenths since = loop_.now() - emptying_since_ - move_after;
    const Tenths left = std::max<Tenths>(move_within - since, 1);
    const auto rounds = static_cast<std::size_t>(1 + left / look_over_every);
    std::size_t quota = floor.in_hand / rounds + 1;
    for (std::uint32_t at = 0; at < floor.tunnels.places() && quota > 0; ++at) {
        if (!floor.tunnels.used(at) || floor.tunnels[at].state != tunnel::State::relaying) continue;
        stages_.relay.move(floor.id_of(at));
        --quota;
    }
}

}  // namespace lemonstair::node
