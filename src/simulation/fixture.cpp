#include "simulation/fixture.h"

#include <algorithm>
#include <cmath>

namespace lemonstair::simulation {

namespace {

using simnet::Machine;

constexpr Ticks second = 10000;
constexpr double idle_below = 0.5;  // a server is idle below this share of its capacity

std::string flag(bool b) { return b ? "true" : "false"; }
std::string in_seconds(Ticks t) { return std::to_string(static_cast<double>(t) / second); }

}  // namespace

Fixture::Fixture(const Scenario& scenario, simnet::EventQueue& events, simnet::Trace& trace,
                 simnet::Streams& network, Invariants& invariants, simnet::RandomSource& random,
                 Topology& topology)
    : scenario_(scenario),
      events_(events),
      network_(network),
      invariants_(invariants),
      random_(random),
      topology_(topology),
      environment_{events, network, trace, invariants, {}, scenario.packet_passthrough} {
    using fakes::DeduplicationScope;
    using fakes::Idempotency;
    environment_.profiles = {
        {"chat", Idempotency::idempotent, DeduplicationScope::all, 5000, 20000, 0},
        {"profil", Idempotency::idempotent_with_key, DeduplicationScope::all, 5000, 30000, 50000},
        {"suggestion", Idempotency::idempotent_with_key, DeduplicationScope::cell, 4000, 20000, 30000},
        {"carte", Idempotency::non_idempotent, DeduplicationScope::all, 5000, 30000, 0}};
    invariants_.begin(environment_);
    invariants_.set_idle_query([this] {
        return std::any_of(servers_.begin(), servers_.end(),
                           [](const auto& h) { return h->accepts_setups() && h->load() < idle_below; });
    });
    // Budget of a window: the tunnels that would fill the server up within its slow start, or within a
    // tunnel's mean lifetime where that is shorter, times the window's share of that period.
    invariants_.set_budget_query([this](std::uint32_t h) {
        const fakes::FakeServer& server = *servers_[h];
        const Ticks fill_time = std::min(scenario_.server.slow_start_duration,
                                         scenario_.min_lifetime + scenario_.mean_extra_lifetime);
        if (!server.in_slow_start() || !server.runs() || mean_load_ <= 0 || fill_time <= 0) return 0.0;
        return server.overload_limit() / mean_load_ * static_cast<double>(scenario_.server.overload_window) /
               static_cast<double>(fill_time);
    });
    double cores = 0;
    for (std::uint32_t h = 0; h < scenario_.servers; ++h) {
        fakes::ServerTraits traits = scenario_.server;
        if (!scenario_.uniform) traits.cores *= random_.between(0.6, 1.4);
        traits.zone = traits.cell = h % 2;
        cores += traits.cores;
        const Machine m = network_.add_machine();
        servers_.push_back(
            std::make_unique<fakes::FakeServer>(environment_, h, m, traits, random_.fork(100 + h)));
        fakes::DiscoveryEntry entry;
        entry.id.append(1, 'h').append(std::to_string(h));
        entry.zone.assign(1, h % 2 == 0 ? 'a' : 'b');
        entry.cell = h % 2;
        entry.at = servers_.back()->address();
        entry.size = traits.cores / scenario_.server.cores;
        entries_.push_back(entry);
    }
    mean_load_ = scenario_.load * cores / std::max<std::uint32_t>(scenario_.clients, 1);
    if (scenario_.tunnel_load > 0) mean_load_ = scenario_.tunnel_load;
    first_service_ = network_.add_machine();
    discovery_services_.push_back(std::make_unique<fakes::FakeDiscovery>(environment_, first_service_,
                                                                         discovery_port, 5, random_.fork(2)));
    const Machine front = network_.add_machine();
    std::vector<Machine> client_machines;
    client_machines.reserve(3);
    for (int i = 0; i < 3; ++i) client_machines.push_back(network_.add_machine());
    std::vector<net::Address> node_addresses;
    node_addresses.reserve(scenario_.nodes);
    for (std::uint32_t n = 0; n < scenario_.nodes; ++n)
        node_addresses.push_back(network_.address_of(n, client_port));
    front_ = std::make_unique<fakes::Front>(environment_, front, node_addresses, scenario_.detection_delay,
                                            random_.fork(3));
    clients_ = std::make_unique<fakes::FakeClients>(environment_, *front_, client_machines,
                                                    plans(scenario_.clients, 0, scenario_.arrival_window, 0),
                                                    scenario_.client_behavior, random_.fork(4));
    misbehaving_clients_ = std::make_unique<fakes::MisbehavingClients>(environment_, *front_, *clients_,
                                                                       client_machines[0], random_.fork(5));
}

void Fixture::start_services() {
    for (std::uint32_t h = 0; h < servers_.size(); ++h) {
        const bool cold = h + scenario_.cold_servers >= servers_.size();
        servers_[h]->start(cold, events_.start_time());
        invariants_.ledger().set_cold(h, cold);
        entries_[h].up_since_ms = servers_[h]->up_since_ms();
    }
    discovery_services_[0]->open(entries_);
}

void Fixture::start_clients() {
    front_->start();
    clients_->start();
}

void Fixture::stop_clients() {
    clients_->stop_all();
    misbehaving_clients_->stop_all();
}

std::vector<fakes::ClientPlan> Fixture::plans(std::uint32_t count, Ticks from, Ticks within,
                                              std::uint32_t first) {
    std::vector<fakes::ClientPlan> out;
    for (std::uint32_t i = 0; i < count; ++i) {
        fakes::ClientPlan plan;
        plan.key.append(1, 'k').append(std::to_string(first + i));
        plan.group = scenario_.groups && random_.odds(0.5)
                         ? static_cast<std::uint32_t>(random_.between(std::int64_t{1}, std::int64_t{12}))
                         : 0;
        plan.profile = static_cast<std::uint32_t>(
            random_.odds(0.6) ? 0 : random_.between(std::int64_t{1}, std::int64_t{3}));
        plan.load = mean_load_ * (scenario_.uniform ? 1 : random_.between(0.3, 1.7));
        plan.from = from + random_.between(Ticks{0}, std::max<Ticks>(within, 1));
        plan.until =
            plan.from + scenario_.min_lifetime +
            static_cast<Ticks>(random_.exponential(static_cast<double>(scenario_.mean_extra_lifetime)));
        out.push_back(plan);
    }
    planned_ += count;
    return out;
}

std::string Fixture::config_file_for(std::uint32_t node) const {
    std::string known, peers, profiles;
    const auto known_servers =
        static_cast<std::uint32_t>(std::floor(scenario_.known_share * scenario_.servers + 0.5));
    for (std::uint32_t h = 0; h < known_servers; ++h)
        known.append(h > 0 ? "," : "")
            .append(fakes::entry_json(entries_[h], network_.address_seen_by(node, entries_[h].at)));
    for (std::uint32_t n = 0; n < scenario_.nodes; ++n)
        peers.append(n > 0 ? ",\"" : "\"")
            .append(net::format_address(network_.address_seen_by(node, network_.address_of(n, peer_port))))
            .append("\"");
    for (const fakes::Profile& p : environment_.profiles) {
        constexpr const char* effects[] = {"read_like", "idempotency_key", "non_idempotent"};
        constexpr const char* scopes[] = {"all", "zone", "cell"};
        profiles += std::string(profiles.empty() ? "" : ",") + R"({"name":")" + std::string(p.name) +
                    R"(","setup_goal":)" + in_seconds(p.latency_objective) + R"(,"client_timeout":)" +
                    in_seconds(p.client_timeout) + R"(,"window":)" + in_seconds(p.window) +
                    R"(,"credit":1,"effect":")" + effects[static_cast<std::size_t>(p.effect)] +
                    R"(","dedup_scope":")" + scopes[static_cast<std::size_t>(p.scope)] +
                    R"(","stream":true})";
    }
    const net::Address discovery = network_.address_seen_by(node, discovery_services_.back()->address());
    std::string text = R"({"name":"n)" + std::to_string(node) + R"(","listen":")" +
                       net::format_address(network_.address_of(node, client_port)) + R"(","discovery":")" +
                       net::format_address(discovery) + R"(","seed":")" +
                       std::to_string(10000000 + scenario_.seed % 1000000 * 10 + node) +
                       R"(","limits":{"sockets":)" + std::to_string(scenario_.sockets) +
                       R"(},"known":{"revision":5,"complete":)" + flag(known_servers == scenario_.servers) +
                       R"(,"members":[)" + known + "]}";
    if (scenario_.peers)
        text += R"(,"peer_listen":")" + net::format_address(network_.address_of(node, peer_port)) +
                R"(","peers":[)" + peers + "]";
    text += R"(,"settings":{"balancers":)" + std::to_string(scenario_.nodes) + R"(,"me":)" +
            std::to_string(node) + R"(,"zone":)" + std::to_string(node % 2) +
            R"(,"zones":["a","b"],"granularity":0.005,"membership_mode":")" +
            (scenario_.must_poll ? "ask" : "push") + R"(","weight_kind":"nominal",)" +
            R"("domain":{"mode":")" + (scenario_.packet_passthrough ? "pass" : "proxy") + R"(","groups":)" +
            flag(scenario_.groups) + R"(,"tells_delay":true,"message_aim":[0.25,0.25,0.25,0.25]},)" +
            R"("limits":{"max_setups":)" + std::to_string(scenario_.max_attempts) +
            R"(,"connect_timeout":0.25,"probing":)" + flag(scenario_.probing) + R"(,"peers":)" +
            flag(scenario_.peers) + R"(},"report":{"via":"probe","columns":["x0"]},)" +
            R"("rules":{"stop_sending_within":)" + in_seconds(scenario_.drain_grace) + R"(,"cold":)" +
            in_seconds(scenario_.server.slow_start_duration) + R"(,"cold_from":)" +
            std::to_string(scenario_.server.slow_start_initial_factor) + R"(,"fall":)" +
            in_seconds(scenario_.server.overload_window) + R"(,"tip_multiple":)" +
            std::to_string(scenario_.server.overload_multiple) + R"(},"costs":{"probe":)" +
            std::to_string(scenario_.probe_price) + R"(,"peer":)" + std::to_string(scenario_.peer_price) +
            R"(},"profiles":[)" + profiles + "]}}";
    return text;
}

}  // namespace lemonstair::simulation
