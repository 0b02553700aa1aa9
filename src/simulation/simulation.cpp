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
constexpr Ticks quiet = 120000;  // after the scenario, until the nodes must be empty
constexpr Ticks kill_after_leave = 37000;
constexpr std::uint64_t most_steps = 20'000'000;

class Simulation final : public simnet::EventTarget, public Topology, public NodeFaults {
  public:
    Simulation(const Scenario& day, std::ostream* trace, Tamper* tamper);
    Verdict run();
    void on_event(std::uint64_t token) override;

    // ---- Topology
    simnet::DatagramFaults& datagrams() override { return network_.datagram_faults(); }
    void cut_off(Machine machine, bool on) override {
        on ? network_.cut_off(machine) : network_.heal(machine);
    }
    void forget(Machine machine) override { network_.forget(machine); }
    void cut_path(Machine a, Machine b, bool on) override {
        for (const auto& [from, to] : {std::pair{a, b}, std::pair{b, a}})
            on ? network_.cut_path(from, to) : network_.heal_path(from, to);
    }
    void slow_by(Machine machine, double times) override { network_.slow_by(machine, times); }
    void send_again(Machine from, std::size_t most) override { network_.send_again(from, most); }
    void new_file(std::uint32_t node, const std::string& text) override;

    // ---- NodeFaults
    void begin_node_fault(const Fault& f, std::uint64_t index) override;
    bool end_node_fault(const Fault& f) override;

  private:
    enum class Kind : std::uint8_t { restart, kill_late };
    void schedule(Ticks when, Kind kind, std::uint64_t index, std::uint32_t incarnation = 0) {
        events_.schedule(when, *this, encode(TimedEvent<Kind>{kind, index, incarnation}));
    }
    void leave(const Fault& f, std::uint64_t index);
    void stall(const Fault& f);
    void play_until(Ticks until);
    Verdict make_verdict();

    const Scenario day_;
    EventQueue events_;
    simnet::Trace trace_;
    RandomSource chance_;
    simnet::Network network_;
    Invariants rules_;
    std::unique_ptr<Fixture> stage_;  // outlives the nodes, whose logs go through it
    SimulatedNodes nodes_;
    std::unique_ptr<OperatorActions> operators_;
    std::unique_ptr<FaultInjector> injector_;
};

Simulation::Simulation(const Scenario& day, std::ostream* trace, Tamper* tamper)
    : day_(day),
      trace_(trace),
      chance_(day.seed ^ 0xda71a8),
      network_(events_, trace_, chance_.part(1), day.weather),
      rules_(day_, events_, network_),
      nodes_(day_, events_, network_, chance_, rules_, tamper) {
    stage_ = std::make_unique<Fixture>(day_, events_, trace_, network_, rules_, chance_, *this);
    nodes_.attach(stage_->town());
    operators_ = std::make_unique<OperatorActions>(day_, events_, network_, stage_->town(), rules_, nodes_);
    injector_ = std::make_unique<FaultInjector>(day_, events_, *stage_, *this);
    for (const Fault& f : day_.faults)
        if (f.kind == FaultKind::datagrams_old) network_.keep_datagrams();
}

// ---- faults of the nodes' processes

void Simulation::leave(const Fault& f, std::uint64_t index) {
    ProcessSlot& slot = nodes_.slot(f.who);
    if (!slot.current.node || slot.leaving || slot.previous.process) return;
    slot.leaving = true;
    rules_.node_told_to_leave(f.who);
    nodes_.signal(f.who, SIGTERM);
    stage_->front().leaves(f.who, chance_.between(second / 5, second * 2 / 5));
    schedule(events_.now() + kill_after_leave, Kind::kill_late, index, slot.incarnation);
}

void Simulation::stall(const Fault& f) {
    const ProcessSlot& slot = nodes_.slot(f.who);
    if (!slot.runs()) return;
    rules_.node_stalled(f.who, events_.now() + f.span);
    if (slot.previous.process) slot.previous.process->stall(f.span);
    slot.current.process->stall(f.span);
}

void Simulation::begin_node_fault(const Fault& f, std::uint64_t index) {
    using K = FaultKind;
    const ProcessSlot& slot = nodes_.slot(f.who);
    switch (f.kind) {
        case K::node_kill:
            return nodes_.end(f.who, Invariants::NodeEnd::killed);
        case K::node_leave:
            return leave(f, index);
        case K::node_stall:
            return stall(f);
        case K::node_starve:
            if (slot.current.process) slot.current.process->starve(true);
            return;
        case K::node_reload:
            return nodes_.signal(f.who, SIGHUP);
        case K::node_upgrade:
        case K::node_upgrade_fails:
            return operators_->upgrade(f.who, index);
        case K::node_drain:
            return operators_->drain(f, index);
        case K::node_callers:
            return operators_->open_idle_connections(f.who, static_cast<int>(f.count));
        case K::node_reload_broken:
            if (!slot.current.process) return;
            nodes_.write_half_file(f.who);
            return nodes_.signal(f.who, SIGHUP);
        default:
            return;
    }
}

bool Simulation::end_node_fault(const Fault& f) {
    using K = FaultKind;
    switch (f.kind) {
        case K::node_kill:
            nodes_.start(f.who);
            return true;
        case K::node_upgrade_fails:
            operators_->fail_upgrade(f.who);
            return true;
        case K::node_starve:
            if (nodes_.slot(f.who).current.process) nodes_.slot(f.who).current.process->starve(false);
            return true;
        case K::node_reload_broken:
            new_file(f.who, nodes_.slot(f.who).file);
            return true;
        default:
            return false;
    }
}

void Simulation::new_file(std::uint32_t node, const std::string& text) {
    nodes_.write_file(node, text);
    nodes_.signal(node, SIGHUP);
}

void Simulation::on_event(std::uint64_t token) {
    const auto event = decode<Kind>(token);
    switch (event.kind) {
        case Kind::restart:
            return nodes_.start(static_cast<std::uint32_t>(event.index));
        case Kind::kill_late: {
            const Fault& f = day_.faults[event.index];
            if (nodes_.slot(f.who).incarnation != event.incarnation) return;
            nodes_.end(f.who, Invariants::NodeEnd::killed_late);
            return schedule(events_.now() + f.span, Kind::restart, f.who);
        }
    }
}

// ---- the run

void Simulation::play_until(Ticks until) {
    while (events_.steps() < most_steps && events_.step(until)) continue;
    events_.pass_to(until);
    if (events_.steps() >= most_steps) rules_.broke("spin", "the day does not end");
}

Verdict Simulation::run() {
    stage_->open();
    for (std::uint32_t n = 0; n < nodes_.size(); ++n) {
        nodes_.slot(n).file = stage_->file_for(n);
        nodes_.start(n);
    }
    stage_->let_clients_come();
    const Ticks last = events_.start_time() + day_.span;
    injector_->schedule_all();
    play_until(last);
    stage_->go_home();
    play_until(last + quiet);
    nodes_.check_leftovers();
    rules_.judge_bounds();
    for (std::uint32_t n = 0; n < nodes_.size(); ++n) nodes_.end(n, Invariants::NodeEnd::killed);
    return make_verdict();
}

Verdict Simulation::make_verdict() {
    Verdict verdict;
    verdict.seed = day_.seed;
    verdict.broken = rules_.broken();
    verdict.tally = rules_.tally();
    verdict.members = stage_->members().tally();
    for (std::uint32_t h = 0; h < day_.hosts; ++h)
        verdict.most_of_budget =
            std::max(verdict.most_of_budget, rules_.ledger().most_of_budget(h, day_.host.fall));
    verdict.steps = events_.steps();
    verdict.passes = nodes_.usage().passes;
    verdict.most_descriptors = nodes_.usage().most_descriptors;
    verdict.longest_spin = nodes_.usage().longest_spin;
    verdict.most_timers = nodes_.usage().most_timers;
    verdict.simulated = day_.span + quiet;
    for (const Broken& b : verdict.broken) trace_.note(b.at, "broken", 0, 0, b.rule + ": " + b.what);
    verdict.hash = trace_.hash();
    return verdict;
}

}  // namespace

Verdict play(const Scenario& day, std::ostream* trace, Tamper* tamper) {
    Simulation simulation(day, trace, tamper);
    return simulation.run();
}

}  // namespace lemonstair::simulation
