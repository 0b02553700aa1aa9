// Everything around the nodes of a scenario, in the simulation and in the process harness: servers,
// discovery, front and clients, the nodes' configuration files, and the faults that meet all but the nodes'
// processes.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "fakes/clients.h"
#include "fakes/discovery.h"
#include "fakes/front.h"
#include "fakes/misbehaving_clients.h"
#include "simnet/datagram_faults.h"
#include "simulation/invariants.h"
#include "simulation/scenario.h"

namespace lemonstair::simulation {

// The network and the nodes' processes below the fixture, simulated or real.
class Topology {
  public:
    Topology() = default;
    Topology(const Topology&) = delete;
    Topology& operator=(const Topology&) = delete;
    virtual ~Topology() = default;
    virtual simnet::DatagramFaults& datagrams() = 0;
    // Nothing passes to or from the machine; its processes go on.
    virtual void cut_off(simnet::Machine machine, bool on) = 0;
    // As in a reboot: its connections are gone, and the peers are not told.
    virtual void drop_connections(simnet::Machine machine) = 0;
    // Nothing passes between two machines.
    virtual void cut_path(simnet::Machine a, simnet::Machine b, bool on) = 0;
    // Delays to and from the machine are so many times as long.
    virtual void scale_delays(simnet::Machine machine, double times) = 0;
    // Replays up to `most` of the datagrams that a machine sent last.
    virtual void replay_datagrams(simnet::Machine from, std::size_t most) = 0;
    // Replaces a node's configuration file, and sends SIGHUP where it runs.
    virtual void replace_config_file(std::uint32_t node, const std::string& text) = 0;
};

// Created once a run; begins and ends faults as the injector asks.
class Fixture {
  public:
    static constexpr std::uint16_t client_port = 8443, peer_port = 8444, discovery_port = 8500;

    // Machines 0 to `nodes` - 1 of the network are the nodes'; the fixture adds the others.
    Fixture(const Scenario& scenario, simnet::EventQueue& events, simnet::Trace& trace,
            simnet::Streams& network, Invariants& invariants, simnet::RandomSource& random,
            Topology& topology);
    // Starts servers and discovery: before the nodes.
    void start_services();
    void start_clients();
    // Clients leave, and none comes any more.
    void stop_clients();

    // The configuration file of a node, as JSON.
    std::string config_file_for(std::uint32_t node) const;
    // False: the fault is one of a node's process, and is left to whoever runs it.
    bool begin_fault(const Fault& fault);
    void end_fault(const Fault& fault);
    // Next step of a draining server: it stops, then it is back. True: there is another step.
    bool advance_drain(const Fault& fault);

    fakes::TestEnvironment& environment() { return environment_; }
    fakes::Front& front() { return *front_; }
    fakes::FakeClients& clients() { return *clients_; }
    fakes::FakeServer& server(std::uint32_t n) { return *servers_[n]; }

  private:
    std::vector<fakes::ClientPlan> plans(std::uint32_t count, Ticks from, Ticks within, std::uint32_t first);
    void publish(std::uint32_t server, fakes::DiscoveryEntry::Phase phase);
    bool begin_at_servers(const Fault& fault);
    bool begin_at_discovery(const Fault& fault);
    bool begin_on_network(const Fault& fault);
    void set_isolation(const Fault& fault, bool on);

    const Scenario& scenario_;
    simnet::EventQueue& events_;
    simnet::Streams& network_;
    Invariants& invariants_;
    simnet::RandomSource& random_;
    Topology& topology_;
    fakes::TestEnvironment environment_;
    std::vector<std::unique_ptr<fakes::FakeServer>> servers_;
    std::vector<fakes::DiscoveryEntry> entries_;
    std::vector<std::unique_ptr<fakes::FakeDiscovery>> discovery_services_;
    std::unique_ptr<fakes::Front> front_;
    std::unique_ptr<fakes::FakeClients> clients_;
    std::unique_ptr<fakes::MisbehavingClients> misbehaving_clients_;
    double mean_load_ = 0.02;
    std::uint32_t planned_ = 0;
    simnet::Machine first_service_ = 0;
};

}  // namespace lemonstair::simulation
