#include "simulation/simulation.h"

#include <algorithm>
#include <csignal>
#include <utility>

#include "simulation/fault_injector.h"
#include "simulation/operator_actions.h"
#include "simulation/simulated_nodes.h"
#include "simulation/timed_event.h"

namespace lemonstair::simulation {

namespace {

using simnet::EventQueue;
using simnet::Machine;
using simnet::RandomSource;

constexpr Ticks second = 10000;
constexpr Ticks settling_time =
    120000;                          // after the clients have left, until nodes must hold nothing for them
constexpr Ticks kill_delay = 37000;  // from SIGTERM to SIGKILL
constexpr std::uint64_t max_steps = 20'000'000;

// One run: owns the simulated network, the nodes and all fakes, and applies the faults of the nodes'
// processes.
class Simulation final : public simnet::EventTarget, public Topology, public NodeFaults {
  public:
    Simulation(const Scenario& scenario, std::ostream* trace, TestHooks* hooks);
    Verdict run();
    void on_event(std::uint64_t token) override;

    // ---- Topology
    simnet::DatagramFaults& datagrams() override { return network_.datagram_faults(); }
    void cut_off(Machine machine, bool on) override {
        on ? network_.cut_off(machine) : network_.heal(machine);
    }
    void drop_connections(Machine machine) override { network_.forget(machine); }
    void cut_path(Machine a, Machine b, bool on) override {
        for (const auto& [from, to] : {std::pair{a, b}, std::pair{b, a}})
            on ? network_.cut_path(from, to) : network_.heal_path(from, to);
    }
    void scale_delays(Machine machine, double times) override { network_.slow_by(machine, times); }
    void replay_datagrams(Machine from, std::size_t most) override { network_.send_again(from, most); }
    void replace_config_file(std::uint32_t node, const std::string& text) override;

    // ---- NodeFaults
    void begin_node_fault(const Fault& fault, std::uint64_t index) override;
    bool end_node_fault(const Fault& fault) override;

  private:
    enum class Kind : std::uint8_t { restart, kill_late };
    void schedule(Ticks when, Kind kind, std::uint64_t index, std::uint32_t incarnation = 0) {
        events_.schedule(when, *this, encode(TimedEvent<Kind>{kind, index, incarnation}));
    }
    void leave(const Fault& fault, std::uint64_t index);
    void stall(const Fault& fault);
    void play_until(Ticks until);
    Verdict make_verdict();

    const Scenario scenario_;
    EventQueue events_;
    simnet::Trace trace_;
    RandomSource random_;
    simnet::Network network_;
    Invariants invariants_;
    std::unique_ptr<Fixture> fixture_;  // outlives the nodes, whose log lines go through its environment
    SimulatedNodes nodes_;
    std::unique_ptr<OperatorActions> operators_;
    std::unique_ptr<FaultInjector> injector_;
};

Simulation::Simulation(const Scenario& scenario, std::ostream* trace, TestHooks* hooks)
    : scenario_(scenario),
      trace_(trace),
      random_(scenario.seed ^ 0xda71a8),
      network_(events_, trace_, random_.fork(1), scenario.network),
      invariants_(scenario_, events_, network_),
      nodes_(scenario_, events_, network_, random_, invariants_, hooks) {
    fixture_ = std::make_unique<Fixture>(scenario_, events_, trace_, network_, invariants_, random_, *this);
    nodes_.attach(fixture_->environment());
    operators_ = std::make_unique<OperatorActions>(scenario_, events_, network_, fixture_->environment(),
                                                   invariants_, nodes_);
    injector_ = std::make_unique<FaultInjector>(scenario_, events_, *fixture_, *this);
    for (const Fault& fault : scenario_.faults)
        if (fault.kind == FaultKind::datagrams_old) network_.keep_datagrams();
}

// ---- faults of the nodes' processes

void Simulation::leave(const Fault& fault, std::uint64_t index) {
    ProcessSlot& slot = nodes_.slot(fault.target);
    if (!slot.current.node || slot.leaving || slot.previous.process) return;
    slot.leaving = true;
    invariants_.node_shutdown_requested(fault.target);
    nodes_.signal(fault.target, SIGTERM);
    fixture_->front().schedule_removal(fault.target, random_.between(second / 5, second * 2 / 5));
    schedule(events_.now() + kill_delay, Kind::kill_late, index, slot.incarnation);
}

void Simulation::stall(const Fault& fault) {
    const ProcessSlot& slot = nodes_.slot(fault.target);
    if (!slot.runs()) return;
    invariants_.node_stalled(fault.target, events_.now() + fault.duration);
    if (slot.previous.process) slot.previous.process->stall(fault.duration);
    slot.current.process->stall(fault.duration);
}

void Simulation::begin_node_fault(const Fault& fault, std::uint64_t index) {
    using K = FaultKind;
    const ProcessSlot& slot = nodes_.slot(fault.target);
    switch (fault.kind) {
        case K::node_kill:
            return nodes_.end(fault.target, Invariants::NodeEnd::killed);
        case K::node_leave:
            return leave(fault, index);
        case K::node_stall:
            return stall(fault);
        case K::node_starve:
            if (slot.current.process) slot.current.process->exhaust_descriptors(true);
            return;
        case K::node_reload:
            return nodes_.signal(fault.target, SIGHUP);
        case K::node_upgrade:
        case K::node_upgrade_fails:
            return operators_->upgrade(fault.target, index);
        case K::node_drain:
            return operators_->drain(fault, index);
        case K::node_idle_connections:
            return operators_->open_idle_connections(fault.target, static_cast<int>(fault.count));
        case K::node_reload_broken:
            if (!slot.current.process) return;
            nodes_.write_half_file(fault.target);
            return nodes_.signal(fault.target, SIGHUP);
        default:
            return;
    }
}

bool Simulation::end_node_fault(const Fault& fault) {
    using K = FaultKind;
    switch (fault.kind) {
        case K::node_kill:
            nodes_.start(fault.target);
            return true;
        case K::node_upgrade_fails:
            operators_->fail_upgrade(fault.target);
            return true;
        case K::node_starve:
            if (nodes_.slot(fault.target).current.process)
                nodes_.slot(fault.target).current.process->exhaust_descriptors(false);
            return true;
        case K::node_reload_broken:
            replace_config_file(fault.target, nodes_.slot(fault.target).file);
            return true;
        default:
            return false;
    }
}

void Simulation::replace_config_file(std::uint32_t node, const std::string& text) {
    nodes_.write_file(node, text);
    nodes_.signal(node, SIGHUP);
}

void Simulation::on_event(std::uint64_t token) {
    const auto event = decode<Kind>(token);
    switch (event.kind) {
        case Kind::restart:
            return nodes_.start(static_cast<std::uint32_t>(event.index));
        case Kind::kill_late: {
            const Fault& fault = scenario_.faults[event.index];
            if (nodes_.slot(fault.target).incarnation != event.incarnation) return;
            nodes_.end(fault.target, Invariants::NodeEnd::killed_late);
            return schedule(events_.now() + fault.duration, Kind::restart, fault.target);
        }
    }
}

// ---- the run

void Simulation::play_until(Ticks until) {
    while (events_.steps() < max_steps && events_.step(until)) continue;
    events_.advance_to(until);
    if (events_.steps() >= max_steps)
        invariants_.report("spin",
                           "the scenario took " + std::to_string(max_steps) + " events and has not ended");
}

Verdict Simulation::run() {
    fixture_->start_services();
    for (std::uint32_t n = 0; n < nodes_.size(); ++n) {
        nodes_.slot(n).file = fixture_->config_file_for(n);
        nodes_.start(n);
    }
    fixture_->start_clients();
    const Ticks last = events_.start_time() + scenario_.duration;
    injector_->schedule_all();
    play_until(last);
    fixture_->stop_clients();
    play_until(last + settling_time);
    nodes_.check_leftovers();
    invariants_.judge_bounds();
    for (std::uint32_t n = 0; n < nodes_.size(); ++n) nodes_.end(n, Invariants::NodeEnd::killed);
    return make_verdict();
}

Verdict Simulation::make_verdict() {
    Verdict verdict;
    verdict.seed = scenario_.seed;
    verdict.broken = invariants_.broken();
    verdict.tally = invariants_.tally();
    verdict.clients = fixture_->clients().tally();
    for (std::uint32_t h = 0; h < scenario_.servers; ++h)
        verdict.most_of_budget = std::max(
            verdict.most_of_budget, invariants_.ledger().most_of_budget(h, scenario_.server.overload_window));
    verdict.steps = events_.steps();
    verdict.passes = nodes_.usage().passes;
    verdict.most_descriptors = nodes_.usage().most_descriptors;
    verdict.longest_spin = nodes_.usage().longest_spin;
    verdict.most_timers = nodes_.usage().most_timers;
    verdict.simulated = scenario_.duration + settling_time;
    for (const Violation& b : verdict.broken) trace_.note(b.at, "broken", 0, 0, b.rule + ": " + b.what);
    verdict.hash = trace_.hash();
    return verdict;
}

}  // namespace

Verdict play(const Scenario& scenario, std::ostream* trace, TestHooks* hooks) {
    Simulation simulation(scenario, trace, hooks);
    return simulation.run();
}

}  // namespace lemonstair::simulation
