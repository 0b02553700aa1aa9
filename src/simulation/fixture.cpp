#include "simulation/fixture.h"

#include <algorithm>

namespace lemonstair::simulation {

namespace {

using simnet::Machine;
using K = FaultKind;
using Phase = fakes::Listed::Phase;

constexpr Ticks second = 10000;
constexpr double idle_below = 0.5;  // of what a host can do

std::string flag(bool b) { return b ? "true" : "false"; }
std::string in_seconds(Ticks t) { return std::to_string(static_cast<double>(t) / second); }

}  // namespace

Fixture::Fixture(const Scenario& day, simnet::EventQueue& events, simnet::Trace& trace,
                 simnet::Streams& network, Invariants& rules, simnet::RandomSource& chance, Topology& ground)
    : day_(day),
      events_(events),
      network_(network),
      rules_(rules),
      chance_(chance),
      ground_(ground),
      town_{events, network, trace, rules, {}, day.packet_passthrough} {
    using fakes::DeduplicationScope;
    using fakes::Idempotency;
    town_.profiles = {
        {"chat", Idempotency::idempotent, DeduplicationScope::all, 5000, 20000, 0},
        {"profil", Idempotency::idempotent_with_key, DeduplicationScope::all, 5000, 30000, 50000},
        {"suggestion", Idempotency::idempotent_with_key, DeduplicationScope::cell, 4000, 20000, 30000},
        {"carte", Idempotency::non_idempotent, DeduplicationScope::all, 5000, 30000, 0}};
    rules_.begin(town_);
    rules_.ask_idle([this] {
        return std::any_of(hosts_.begin(), hosts_.end(),
                           [](const auto& h) { return h->takes_setups() && h->load() < idle_below; });
    });
    // Of tunnels that fill it over its warm-up, or over their lives where these are shorter.
    rules_.ask_budget([this](std::uint32_t h) {
        const fakes::FakeServer& host = *hosts_[h];
        const Ticks fills = std::min(day_.host.cold, day_.least_life + day_.more_life);
        if (!host.is_cold() || !host.runs() || mean_load_ <= 0 || fills <= 0) return 0.0;
        return host.bears() / mean_load_ * static_cast<double>(day_.host.fall) / static_cast<double>(fills);
    });
    double cores = 0;
    for (std::uint32_t h = 0; h < day_.hosts; ++h) {
        fakes::ServerTraits traits = day_.host;
        if (!day_.alike) traits.cores *= chance_.between(0.6, 1.4);
        traits.zone = traits.cell = h % 2;
        cores += traits.cores;
        const Machine m = network_.add_machine();
        hosts_.push_back(std::make_unique<fakes::FakeServer>(town_, h, m, traits, chance_.part(100 + h)));
        fakes::Listed entry;
        entry.id.append(1, 'h').append(std::to_string(h));
        entry.zone.assign(1, h % 2 == 0 ? 'a' : 'b');
        entry.cell = h % 2;
        entry.at = hosts_.back()->address();
        entry.size = traits.cores / day_.host.cores;
        entries_.push_back(entry);
    }
    mean_load_ = day_.load * cores / std::max<std::uint32_t>(day_.members, 1);
    if (day_.tunnel_load > 0) mean_load_ = day_.tunnel_load;
    first_service_ = network_.add_machine();
    rosters_.push_back(
        std::make_unique<fakes::Roster>(town_, first_service_, discovery_port, 5, chance_.part(2)));
    const Machine front = network_.add_machine();
    std::vector<Machine> phones;
    for (int i = 0; i < 3; ++i) phones.push_back(network_.add_machine());
    std::vector<net::Address> doors;
    for (std::uint32_t n = 0; n < day_.nodes; ++n) doors.push_back(network_.place(n, client_port));
    front_ = std::make_unique<fakes::Front>(town_, front, doors, day_.notices_after, chance_.part(3));
    members_ = std::make_unique<fakes::FakeClients>(town_, *front_, phones,
                                                    wishes(day_.members, 0, day_.arrive_within, 0),
                                                    day_.manners, chance_.part(4));
    rude_ = std::make_unique<fakes::Rude>(town_, *front_, phones[0], chance_.part(5));
}

void Fixture::open() {
    for (std::uint32_t h = 0; h < hosts_.size(); ++h) {
        const bool cold = h + day_.cold_hosts >= hosts_.size();
        hosts_[h]->start(cold, events_.start_time());
        rules_.ledger().host_stands(h, cold);
        entries_[h].up_since_ms = hosts_[h]->up_since_ms();
    }
    rosters_[0]->open(entries_);
}

void Fixture::let_clients_come() {
    front_->start();
    members_->start();
}

void Fixture::go_home() {
    members_->go_home();
    rude_->go_home();
}

std::vector<fakes::Wish> Fixture::wishes(std::uint32_t count, Ticks from, Ticks within, std::uint32_t first) {
    std::vector<fakes::Wish> out;
    for (std::uint32_t i = 0; i < count; ++i) {
        fakes::Wish w;
        w.key.append(1, 'k').append(std::to_string(first + i));
        w.group = day_.groups && chance_.odds(0.5)
                      ? static_cast<std::uint32_t>(chance_.between(std::int64_t{1}, std::int64_t{12}))
                      : 0;
        w.profile = static_cast<std::uint32_t>(
            chance_.odds(0.6) ? 0 : chance_.between(std::int64_t{1}, std::int64_t{3}));
        w.load = mean_load_ * (day_.alike ? 1 : chance_.between(0.3, 1.7));
        w.from = from + chance_.between(Ticks{0}, std::max<Ticks>(within, 1));
        w.until = w.from + day_.least_life +
                  static_cast<Ticks>(chance_.exponential(static_cast<double>(day_.more_life)));
        out.push_back(w);
    }
    wished_ += count;
    return out;
}

std::string Fixture::file_for(std::uint32_t node) const {
    std::string known, peers, profiles;
    const auto n_known = static_cast<std::uint32_t>(day_.known * day_.hosts + 0.5);
    for (std::uint32_t h = 0; h < n_known; ++h)
        known.append(h > 0 ? "," : "")
            .append(fakes::member_json(entries_[h], network_.seen_by(node, entries_[h].at)));
    for (std::uint32_t n = 0; n < day_.nodes; ++n)
        peers.append(n > 0 ? ",\"" : "\"")
            .append(net::address_text(network_.seen_by(node, network_.place(n, peer_port))))
            .append("\"");
    for (const fakes::Profile& p : town_.profiles) {
        constexpr const char* effects[] = {"read_like", "idempotency_key", "non_idempotent"};
        constexpr const char* scopes[] = {"all", "zone", "cell"};
        profiles += std::string(profiles.empty() ? "" : ",") + R"({"name":")" + std::string(p.name) +
                    R"(","setup_goal":)" + in_seconds(p.latency_objective) + R"(,"client_timeout":)" +
                    in_seconds(p.client_timeout) + R"(,"window":)" + in_seconds(p.window) +
                    R"(,"credit":1,"effect":")" + effects[static_cast<std::size_t>(p.effect)] +
                    R"(","dedup_scope":")" + scopes[static_cast<std::size_t>(p.scope)] +
                    R"(","stream":true})";
    }
    const net::Address discovery = network_.seen_by(node, rosters_.back()->address());
    std::string text = R"({"name":"n)" + std::to_string(node) + R"(","listen":")" +
                       net::address_text(network_.place(node, client_port)) + R"(","discovery":")" +
                       net::address_text(discovery) + R"(","seed":")" +
                       std::to_string(10000000 + day_.seed % 1000000 * 10 + node) +
                       R"(","limits":{"sockets":)" + std::to_string(day_.sockets) +
                       R"(},"known":{"revision":5,"complete":)" + flag(n_known == day_.hosts) +
                       R"(,"members":[)" + known + "]}";
    if (day_.peers)
        text += R"(,"peer_listen":")" + net::address_text(network_.place(node, peer_port)) +
                R"(","peers":[)" + peers + "]";
    text += R"(,"settings":{"balancers":)" + std::to_string(day_.nodes) + R"(,"me":)" + std::to_string(node) +
            R"(,"zone":)" + std::to_string(node % 2) +
            R"(,"zones":["a","b"],"granularity":0.005,"membership_mode":")" +
            (day_.must_poll ? "ask" : "push") + R"(","weight_kind":"nominal",)" + R"("domain":{"mode":")" +
            (day_.packet_passthrough ? "pass" : "proxy") + R"(","groups":)" + flag(day_.groups) +
            R"(,"tells_delay":true,"message_aim":[0.25,0.25,0.25,0.25]},)" + R"("limits":{"max_setups":)" +
            std::to_string(day_.max_attempts) + R"(,"connect_timeout":0.25,"probing":)" + flag(day_.probing) +
            R"(,"peers":)" + flag(day_.peers) + R"(},"report":{"via":"probe","columns":["x0"]},)" +
            R"("rules":{"stop_sending_within":3.0,"cold":)" + in_seconds(day_.host.cold) +
            R"(,"cold_from":)" + std::to_string(day_.host.slow_start_initial_factor) + R"(,"fall":)" +
            in_seconds(day_.host.fall) + R"(,"tip_multiple":)" + std::to_string(day_.host.overload_multiple) +
            R"(},"costs":{"probe":)" + std::to_string(day_.probe_price) + R"(,"peer":)" +
            std::to_string(day_.peer_price) + R"(},"profiles":[)" + profiles + "]}}";
    return text;
}

// ---- faults

void Fixture::tell(std::uint32_t host, Phase phase) {
    fakes::Listed& e = entries_[host];
    e.phase = phase;
    e.up_since_ms = hosts_[host]->up_since_ms();
    for (auto& r : rosters_) r->change(host, e, day_.told_after);
}

bool Fixture::begin(const Fault& f) {
    return begin_at_hosts(f) || begin_at_discovery(f) || begin_on_network(f);
}

bool Fixture::begin_at_hosts(const Fault& f) {
    if (row_of(f.kind).who != FaultRow::Who::host) return false;
    fakes::FakeServer& host = *hosts_[f.who];
    switch (f.kind) {
        case K::host_slow:
            host.slow_down(f.much);
            break;
        case K::host_errors:
            host.fail_setups(true);
            break;
        case K::host_full:
            host.refuse_setups(true);
            break;
        case K::host_hang:
            rules_.host_answers_nothing(f.who, true);
            host.hang(true);
            break;
        case K::host_kill:
            host.stop();
            tell(f.who, Phase::terminated);
            break;
        case K::host_vanish:
            ground_.cut_off(host.machine(), true);
            rules_.machine_cut(host.machine(), true);
            break;
        case K::host_drain:
            tell(f.who, Phase::terminating);
            break;
        case K::host_resets:
            host.reset_some(f.much);
            break;
        case K::host_sends_away:
            host.ask_to_leave(f.span);
            break;
        default:
            return false;
    }
    return true;
}

bool Fixture::begin_at_discovery(const Fault& f) {
    fakes::Roster& roster = *rosters_.back();
    switch (f.kind) {
        case K::discovery_down:
            roster.down(true);
            return true;
        case K::discovery_silent:
            roster.silent(true);
            return true;
        case K::discovery_slow:
            roster.answer_after(static_cast<Ticks>(f.much * second));
            return true;
        case K::discovery_spoilt:
            roster.spoil_next(static_cast<int>(f.count));
            return true;
        case K::discovery_anew:
            roster.begin_anew(1);
            return true;
        case K::discovery_move:
            roster.retire(second * 3 / 2);
            rosters_.push_back(std::make_unique<fakes::Roster>(
                town_, first_service_, static_cast<std::uint16_t>(discovery_port + rosters_.size()), 1,
                chance_.part(50 + rosters_.size())));
            rosters_.back()->open(entries_);
            for (std::uint32_t n = 0; n < day_.nodes; ++n) ground_.new_file(n, file_for(n));
            return true;
        default:
            return false;
    }
}

bool Fixture::begin_on_network(const Fault& f) {
    switch (f.kind) {
        case K::node_vanish:
            ground_.cut_off(f.who, true);
            rules_.machine_cut(f.who, true);
            return true;
        case K::network_slow:
            for (Machine m = 0; m < day_.nodes + day_.hosts; ++m) ground_.slow_by(m, f.much);
            return true;
        case K::datagrams_lost:
            ground_.datagrams().lost = f.much;
            return true;
        case K::datagrams_doubled:
            ground_.datagrams().doubled = f.much;
            return true;
        case K::datagrams_late:
            ground_.datagrams().jitter = static_cast<Ticks>(f.much * second);
            return true;
        case K::datagrams_old:
            ground_.send_again(f.who, f.count);
            return true;
        case K::nodes_deaf:
        case K::nodes_mute:
        case K::nodes_apart:
        case K::nodes_cut_from_hosts:
        case K::path_cut:
            return set_apart(f, true), true;
        case K::crowd:
            members_->add(wishes(f.count, f.at, f.span, wished_));
            return true;
        case K::rude:
            rude_->come(static_cast<int>(f.count), static_cast<fakes::Rude::Kind>(f.other), f.count % 2 == 0);
            return true;
        default:
            return false;
    }
}

// Faults of `count` nodes from one on.
void Fixture::set_apart(const Fault& f, bool on) {
    const std::uint32_t last = std::min(f.who + std::max(f.count, 1U), day_.nodes);
    if (f.kind == K::nodes_apart) return ground_.datagrams().apart(f.who, last - f.who, on);
    if (f.kind == K::path_cut) rules_.machine_cut(hosts_[f.other]->machine(), on);
    for (std::uint32_t n = f.who; n < last; ++n) {
        if (f.kind == K::path_cut) ground_.cut_path(n, hosts_[f.other]->machine(), on);
        if (f.kind == K::nodes_deaf) ground_.datagrams().deaf(n, on);
        if (f.kind == K::nodes_mute) ground_.datagrams().mute(n, on);
        if (f.kind != K::nodes_cut_from_hosts) continue;
        for (auto& h : hosts_) ground_.cut_path(n, h->machine(), on);
        rules_.machine_cut(n, on);  // what it cannot do for want of hosts is not held against it
    }
}

void Fixture::end(const Fault& f) {
    fakes::FakeServer* host = row_of(f.kind).who == FaultRow::Who::host ? hosts_[f.who].get() : nullptr;
    switch (f.kind) {
        case K::node_vanish:
            ground_.cut_off(f.who, false);
            return rules_.machine_cut(f.who, false);
        case K::host_slow:
            return host->slow_down(1);
        case K::host_errors:
            return host->fail_setups(false);
        case K::host_full:
            return host->refuse_setups(false);
        case K::host_hang:
            rules_.host_answers_nothing(f.who, false);
            return host->hang(false);
        case K::host_kill:
            host->start(true);
            rules_.host_started(f.who);
            return tell(f.who, Phase::active);
        case K::host_vanish:
            ground_.forget(host->machine());
            host->stop();
            ground_.cut_off(host->machine(), false);
            rules_.machine_cut(host->machine(), false);
            host->start(true);
            rules_.host_started(f.who);
            return tell(f.who, Phase::active);
        case K::discovery_down:
            return rosters_.back()->down(false);
        case K::discovery_silent:
            return rosters_.back()->silent(false);
        case K::discovery_slow:
            return rosters_.back()->answer_after(5);
        case K::network_slow:
            for (Machine m = 0; m < day_.nodes + day_.hosts; ++m) ground_.slow_by(m, 1);
            return;
        case K::datagrams_lost:
            ground_.datagrams().lost = day_.weather.lost;
            return;
        case K::datagrams_doubled:
            ground_.datagrams().doubled = day_.weather.doubled;
            return;
        case K::datagrams_late:
            ground_.datagrams().jitter = day_.weather.datagram_jitter;
            return;
        case K::nodes_deaf:
        case K::nodes_mute:
        case K::nodes_apart:
        case K::nodes_cut_from_hosts:
        case K::path_cut:
            return set_apart(f, false);
        default:
            return;
    }
}

// A host that drains stops in the end, and comes back.
bool Fixture::later(const Fault& f) {
    fakes::FakeServer& host = *hosts_[f.who];
    if (host.state() == fakes::FakeServer::State::up) {
        host.stop();
        tell(f.who, Phase::terminated);
        return true;
    }
    host.start(true);
    rules_.host_started(f.who);
    tell(f.who, Phase::active);
    return false;
}

}  // namespace lemonstair::simulation
