// The nodes of a simulation: the product's node code, each node in a simulated process on a simulated
// machine. Starts, kills, restarts and upgrades the processes, and judges the rules about a process by itself
// (crash, descriptors, spin, left_over). Times are in tenths of a ms.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "config/source.h"
#include "node/node.h"
#include "simnet/local_socket.h"
#include "simnet/process.h"
#include "simulation/fixture.h"
#include "simulation/simulation.h"

namespace lemonstair::simulation {

// One process of a node, with what it runs on.
struct NodeProcess {
    std::unique_ptr<log::Sink> log_sink;
    std::unique_ptr<log::Log> log;
    std::unique_ptr<simnet::Process> process;
    std::unique_ptr<net::System> wrapped_system;
    std::unique_ptr<config::ConfigSource> source;
    std::unique_ptr<node::Node> node;
    net::Address admin_address;
    std::string inherited, admin_text;
    Ticks started_at = 0;
    bool shared_clients =
        false;  // another process of the node ran at the same time and answered some of its clients
};

// One node, through all its incarnations.
struct ProcessSlot {
    simnet::Machine machine = 0;
    Ticks clock_ahead = 0;
    std::string file;  // configuration file
    NodeProcess current;
    NodeProcess previous;  // the process that an upgrade is replacing
    std::unique_ptr<simnet::SharedListener> listener;
    std::unique_ptr<simnet::LocalSockets> local_sockets;
    std::uint32_t incarnation = 0, upgrades = 0;
    bool leaving = false, drained = false;

    bool runs() const { return current.process && current.process->runs(); }
};

// Owns all nodes of a simulation.
class SimulatedNodes {
  public:
    // Passes of all processes together, and the largest values of any; part of the verdict.
    struct Usage {
        std::uint64_t passes = 0;
        std::size_t most_descriptors = 0, longest_spin = 0, most_timers = 0;
    };

    // Adds a machine for each node to the network.
    SimulatedNodes(const Scenario& scenario, simnet::EventQueue& events, simnet::Network& network,
                   simnet::RandomSource& random, Invariants& invariants, TestHooks* hooks);
    SimulatedNodes(const SimulatedNodes&) = delete;
    SimulatedNodes& operator=(const SimulatedNodes&) = delete;
    ~SimulatedNodes();
    // To be called before the first start.
    void attach(fakes::TestEnvironment& environment) { environment_ = &environment; }
    // Lets the platform hold the node's client listener, so that two of its processes can run at the same
    // time.
    void share_listener(std::uint32_t node);

    std::uint32_t size() const { return static_cast<std::uint32_t>(slots_.size()); }
    ProcessSlot& slot(std::uint32_t node) { return slots_[node]; }
    const ProcessSlot& slot(std::uint32_t node) const { return slots_[node]; }
    const Usage& usage() const { return usage_; }
    // Whether the node runs as a single process, still in that incarnation and after that count of upgrades.
    bool is_single_process(std::uint32_t node, std::uint32_t incarnation, std::uint32_t upgrades) const;

    // Starts the node. Does nothing if it is running.
    void start(std::uint32_t node);
    // Kills all processes of the node.
    void end(std::uint32_t node, Invariants::NodeEnd how);
    // Starts a new process beside the current one, which becomes the previous one. Returns false if the new
    // one does not start; the node has ended then.
    bool start_upgrade(std::uint32_t node);
    // Kills the new process of an upgrade: the previous one becomes the current one again.
    void abort_upgrade(std::uint32_t node);
    // Kills the previous process of an upgrade.
    void end_previous(std::uint32_t node) { end_process(node, slots_[node].previous); }
    void signal(std::uint32_t node, int number);
    void write_file(std::uint32_t node, const std::string& text);
    // Truncates the configuration file that the process sees to its half. The slot keeps the complete one.
    void write_half_file(std::uint32_t node);
    // Rule left_over, after all clients have left: reports what the nodes still hold for them.
    void check_leftovers();

  private:
    bool start_process(std::uint32_t node);
    void make_process(std::uint32_t node, NodeProcess& running);
    std::unique_ptr<node::Node> make_node(NodeProcess& running, net::System& system);
    config::Environment make_environment(ProcessSlot& slot);
    void end_process(std::uint32_t node, NodeProcess& running);
    bool pass(std::uint32_t node, const simnet::Process* process);
    void check_descriptors(std::uint32_t node);

    const Scenario& scenario_;
    simnet::EventQueue& events_;
    simnet::Network& network_;
    Invariants& invariants_;
    TestHooks* hooks_;
    fakes::TestEnvironment* environment_ = nullptr;
    std::vector<ProcessSlot> slots_;
    std::vector<std::unique_ptr<simnet::Process>>
        ended_;  // kept, because events in the queue may still refer to them
    Usage usage_;
};

}  // namespace lemonstair::simulation
