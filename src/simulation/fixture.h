// Environment of the nodes of a scenario, in the simulation and in the process harness: fakes of servers,
// discovery, front and clients, the nodes' configuration files, and all faults but those of the nodes'
// processes. Times are in tenths of a ms.
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

// The network and the nodes' configuration files that the fixture works on, simulated or real.
class Topology {
  public:
    Topology() = default;
    Topology(const Topology&) = delete;
    Topology& operator=(const Topology&) = delete;
    virtual ~Topology() = default;
    // Faults of datagrams between nodes.
    virtual simnet::DatagramFaults& datagrams() = 0;
    // Blocks all traffic to and from the machine, or ends that. Its processes keep running.
    virtual void cut_off(simnet::Machine machine, bool on) = 0;
    // Drops the machine's connections as a reboot does: their other ends are not notified.
    virtual void drop_connections(simnet::Machine machine) = 0;
    // Blocks all traffic between two machines, or ends that.
    virtual void cut_path(simnet::Machine a, simnet::Machine b, bool on) = 0;
    // Multiplies the delays to and from the machine; 1 restores them.
    virtual void scale_delays(simnet::Machine machine, double times) = 0;
    // Sends again up to `most` of the last datagrams that the machine sent.
    virtual void replay_datagrams(simnet::Machine from, std::size_t most) = 0;
    // Replaces a node's configuration file, and sends SIGHUP to the node if it is running.
    virtual void replace_config_file(std::uint32_t node, const std::string& text) = 0;
};

// Owns the fakes of one run, and applies the faults that the fault injector asks for.
class Fixture {
  public:
    static constexpr std::uint16_t client_port = 8443, peer_port = 8444, discovery_port = 8500;

    // Machines 0 to `nodes` - 1 of the network belong to the nodes; the fixture adds the others.
    Fixture(const Scenario& scenario, simnet::EventQueue& events, simnet::Trace& trace,
            simnet::Streams& network, Invariants& invariants, simnet::RandomSource& random,
            Topology& topology);
    // Starts servers and discovery. To be called before the nodes start.
    void start_services();
    void start_clients();
    // Closes all clients; no more will arrive.
    void stop_clients();

    // Text of a node's configuration file, as JSON.
    std::string config_file_for(std::uint32_t node) const;
    // Returns false for a fault of a node's process, which the owner of the processes applies.
    bool begin_fault(const Fault& fault);
    void end_fault(const Fault& fault);
    // Next step of a draining server: the first call stops it and returns true, the second starts it again
    // and returns false.
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
    bool end_at_discovery(const Fault& fault);
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
