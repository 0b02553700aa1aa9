// How the fixture begins and ends faults of servers, discovery, clients and the network.
#include <algorithm>

#include "simulation/fixture.h"

namespace lemonstair::simulation {

namespace {

using simnet::Machine;
using K = FaultKind;
using Phase = fakes::DiscoveryEntry::Phase;

constexpr Ticks second = 10000;

}  // namespace

void Fixture::publish(std::uint32_t server, Phase phase) {
    fakes::DiscoveryEntry& entry = entries_[server];
    entry.phase = phase;
    entry.up_since_ms = servers_[server]->up_since_ms();
    for (auto& service : discovery_services_) service->change(server, entry, scenario_.discovery_delay);
}

bool Fixture::begin_fault(const Fault& fault) {
    return begin_at_servers(fault) || begin_at_discovery(fault) || begin_on_network(fault);
}

bool Fixture::begin_at_servers(const Fault& fault) {
    if (fault_info(fault.kind).target != FaultInfo::Target::server) return false;
    fakes::FakeServer& server = *servers_[fault.target];
    switch (fault.kind) {
        case K::server_slow:
            server.slow_down(fault.magnitude);
            break;
        case K::server_errors:
            server.fail_setups(true);
            break;
        case K::server_full:
            server.decline_setups(true);
            break;
        case K::server_hang:
            invariants_.server_silent(fault.target, true);
            server.hang(true);
            break;
        case K::server_kill:
            server.stop();
            publish(fault.target, Phase::terminated);
            break;
        case K::server_vanish:
            topology_.cut_off(server.machine(), true);
            invariants_.machine_cut(server.machine(), true);
            break;
        case K::server_drain:
            publish(fault.target, Phase::terminating);
            break;
        case K::server_resets:
            server.reset_some(fault.magnitude);
            break;
        case K::server_moves_clients:
            server.move_clients(fault.duration);
            break;
        default:
            return false;
    }
    return true;
}

bool Fixture::begin_at_discovery(const Fault& fault) {
    fakes::FakeDiscovery& discovery = *discovery_services_.back();
    switch (fault.kind) {
        case K::discovery_down:
            discovery.set_down(true);
            return true;
        case K::discovery_silent:
            discovery.set_silent(true);
            return true;
        case K::discovery_unreachable:
            discovery.set_unreachable(true);
            topology_.cut_off(first_service_, true);
            return true;
        case K::discovery_mute:
            discovery.set_mute(true);
            return true;
        case K::discovery_cuts_answers:
            discovery.cut_answers(fault.count == 1 ? fakes::FakeDiscovery::Cut::by_reset
                                                   : fakes::FakeDiscovery::Cut::by_silence);
            return true;
        case K::discovery_slow:
            invariants_.discovery_slow(true);
            discovery.answer_after(static_cast<Ticks>(fault.magnitude * second));
            return true;
        case K::discovery_corrupt:
            discovery.corrupt_next(static_cast<int>(fault.count));
            return true;
        case K::discovery_restart:
            discovery.restart(1);
            return true;
        case K::discovery_move:
            invariants_.discovery_moved();
            discovery.retire(second * 3 / 2);
            discovery_services_.push_back(std::make_unique<fakes::FakeDiscovery>(
                environment_, first_service_,
                static_cast<std::uint16_t>(discovery_port + discovery_services_.size()), 1,
                random_.fork(50 + discovery_services_.size())));
            discovery_services_.back()->open(entries_);
            for (std::uint32_t n = 0; n < scenario_.nodes; ++n)
                topology_.replace_config_file(n, config_file_for(n));
            return true;
        default:
            return false;
    }
}

bool Fixture::begin_on_network(const Fault& fault) {
    switch (fault.kind) {
        case K::node_vanish:
            topology_.cut_off(fault.target, true);
            invariants_.machine_cut(fault.target, true);
            return true;
        case K::network_slow:
            for (Machine m = 0; m < scenario_.nodes + scenario_.servers; ++m)
                topology_.scale_delays(m, fault.magnitude);
            return true;
        case K::datagrams_lost:
            topology_.datagrams().lost = fault.magnitude;
            return true;
        case K::datagrams_doubled:
            topology_.datagrams().doubled = fault.magnitude;
            return true;
        case K::datagrams_late:
            topology_.datagrams().jitter = static_cast<Ticks>(fault.magnitude * second);
            return true;
        case K::datagrams_old:
            topology_.replay_datagrams(fault.target, fault.count);
            return true;
        case K::nodes_deaf:
        case K::nodes_mute:
        case K::nodes_apart:
        case K::nodes_cut_from_servers:
        case K::path_cut:
            return set_isolation(fault, true), true;
        case K::client_surge:
            clients_->add(plans(fault.count, fault.start, fault.duration, planned_));
            return true;
        case K::misbehaving_clients:
            misbehaving_clients_->start(static_cast<int>(fault.count),
                                        static_cast<fakes::MisbehavingClients::Kind>(fault.second_target),
                                        fault.count % 2 == 0);
            return true;
        default:
            return false;
    }
}

// Faults that separate `count` nodes, from the target on, from other nodes or from servers.
void Fixture::set_isolation(const Fault& fault, bool on) {
    const std::uint32_t last = std::min(fault.target + std::max(fault.count, 1U), scenario_.nodes);
    if (fault.kind == K::nodes_apart)
        return topology_.datagrams().isolate(fault.target, last - fault.target, on);
    if (fault.kind == K::path_cut) invariants_.machine_cut(servers_[fault.second_target]->machine(), on);
    for (std::uint32_t n = fault.target; n < last; ++n) {
        if (fault.kind == K::path_cut) topology_.cut_path(n, servers_[fault.second_target]->machine(), on);
        if (fault.kind == K::nodes_deaf) topology_.datagrams().block_receiving(n, on);
        if (fault.kind == K::nodes_mute) topology_.datagrams().block_sending(n, on);
        if (fault.kind != K::nodes_cut_from_servers) continue;
        for (auto& h : servers_) topology_.cut_path(n, h->machine(), on);
        invariants_.machine_cut(n, on);  // a node that reaches no server is not judged
    }
}

bool Fixture::end_at_discovery(const Fault& fault) {
    fakes::FakeDiscovery& discovery = *discovery_services_.back();
    switch (fault.kind) {
        case K::discovery_down:
            discovery.set_down(false);
            return true;
        case K::discovery_silent:
            discovery.set_silent(false);
            return true;
        case K::discovery_unreachable:
            topology_.cut_off(first_service_, false);
            discovery.set_unreachable(false);
            return true;
        case K::discovery_mute:
            discovery.set_mute(false);
            return true;
        case K::discovery_cuts_answers:
            discovery.cut_answers(fakes::FakeDiscovery::Cut::none);
            return true;
        case K::discovery_slow:
            invariants_.discovery_slow(false);
            discovery.answer_after(5);
            return true;
        default:
            return false;
    }
}

void Fixture::end_fault(const Fault& fault) {
    if (end_at_discovery(fault)) return;
    fakes::FakeServer* server =
        fault_info(fault.kind).target == FaultInfo::Target::server ? servers_[fault.target].get() : nullptr;
    switch (fault.kind) {
        case K::node_vanish:
            topology_.cut_off(fault.target, false);
            return invariants_.machine_cut(fault.target, false);
        case K::server_slow:
            return server->slow_down(1);
        case K::server_errors:
            return server->fail_setups(false);
        case K::server_full:
            return server->decline_setups(false);
        case K::server_hang:
            invariants_.server_silent(fault.target, false);
            return server->hang(false);
        case K::server_kill:
            server->start(true);
            invariants_.server_started(fault.target);
            return publish(fault.target, Phase::active);
        case K::server_vanish:
            topology_.drop_connections(server->machine());
            server->stop();
            topology_.cut_off(server->machine(), false);
            invariants_.machine_cut(server->machine(), false);
            server->start(true);
            invariants_.server_started(fault.target);
            return publish(fault.target, Phase::active);
        case K::network_slow:
            for (Machine m = 0; m < scenario_.nodes + scenario_.servers; ++m) topology_.scale_delays(m, 1);
            return;
        case K::datagrams_lost:
            topology_.datagrams().lost = scenario_.network.lost;
            return;
        case K::datagrams_doubled:
            topology_.datagrams().doubled = scenario_.network.doubled;
            return;
        case K::datagrams_late:
            topology_.datagrams().jitter = scenario_.network.datagram_jitter;
            return;
        case K::nodes_deaf:
        case K::nodes_mute:
        case K::nodes_apart:
        case K::nodes_cut_from_servers:
        case K::path_cut:
            return set_isolation(fault, false);
        default:
            return;
    }
}

bool Fixture::advance_drain(const Fault& fault) {
    fakes::FakeServer& server = *servers_[fault.target];
    if (server.state() == fakes::FakeServer::State::up) {
        server.stop();
        publish(fault.target, Phase::terminated);
        return true;
    }
    server.start(true);
    invariants_.server_started(fault.target);
    publish(fault.target, Phase::active);
    return false;
}

}  // namespace lemonstair::simulation
