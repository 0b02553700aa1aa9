#include "simulation/simulated_nodes.h"

#include <algorithm>
#include <exception>
#include <utility>

#include "metrics/violations.h"

namespace lemonstair::simulation {

namespace {

using simnet::Process;

constexpr std::size_t backlog = 1024, max_spin = 40, max_idle_timers = 120;
constexpr std::uint16_t admin_port = 10250;
const std::string file_name = "node.json";

// Writes a node's log lines into the trace, and reports violations that the node has detected itself.
class TraceSink final : public log::Sink {
  public:
    TraceSink(fakes::TestEnvironment& environment, Invariants& invariants, std::uint32_t node)
        : environment_(environment), invariants_(invariants), node_(node) {}
    std::size_t write(std::string_view text) override {
        environment_.note("log", node_, 0, text.substr(0, text.size() - (text.empty() ? 0 : 1)));
        if (const auto at = text.find(metrics::violation_prefix); at != std::string_view::npos)
            invariants_.report("self_check",
                               "node " + std::to_string(node_) + ": " + std::string(text.substr(at, 100)));
        return text.size();
    }

  private:
    fakes::TestEnvironment& environment_;
    Invariants& invariants_;
    std::uint32_t node_;
};

}  // namespace

SimulatedNodes::SimulatedNodes(const Scenario& scenario, simnet::EventQueue& events, simnet::Network& network,
                               simnet::RandomSource& random, Invariants& invariants, TestHooks* hooks)
    : scenario_(scenario),
      events_(events),
      network_(network),
      invariants_(invariants),
      hooks_(hooks),
      slots_(scenario.nodes) {
    for (ProcessSlot& slot : slots_) {
        slot.machine = network_.add_machine();
        if (scenario_.max_clock_skew > 0)
            slot.clock_ahead = random.between(Ticks{0}, scenario_.max_clock_skew);
    }
}

// Nodes are destroyed before the processes and systems that they use.
SimulatedNodes::~SimulatedNodes() {
    for (ProcessSlot& slot : slots_) slot.current.node.reset(), slot.previous.node.reset();
}

void SimulatedNodes::share_listener(std::uint32_t node) {
    slots_[node].listener = std::make_unique<simnet::SharedListener>(
        network_, network_.address_of(node, Fixture::client_port), backlog);
    slots_[node].local_sockets = std::make_unique<simnet::LocalSockets>(network_);
}

bool SimulatedNodes::is_single_process(std::uint32_t node, std::uint32_t incarnation,
                                       std::uint32_t upgrades) const {
    const ProcessSlot& slot = slots_[node];
    return slot.current.node && slot.current.process->runs() && !slot.previous.process && !slot.leaving &&
           slot.incarnation == incarnation && slot.upgrades == upgrades;
}

// ---- start

void SimulatedNodes::start(std::uint32_t node) {
    ProcessSlot& slot = slots_[node];
    if (slot.current.node) return;
    ++slot.incarnation;
    slot.leaving = slot.drained = false;
    invariants_.node_started(node);
    if (!start_process(node)) end(node, Invariants::NodeEnd::crashed);
}

void SimulatedNodes::make_process(std::uint32_t node, NodeProcess& running) {
    const ProcessSlot& slot = slots_[node];
    const Process::Traits traits{slot.clock_ahead, scenario_.loop_pass_time, scenario_.sockets};
    running.process = std::make_unique<Process>(events_, network_, slot.machine, traits);
    running.process->files()[file_name] = slot.file;
    running.log_sink = std::make_unique<TraceSink>(*environment_, invariants_, node);
    running.log = std::make_unique<log::Log>(log::Level::info, *running.log_sink);
    running.started_at = events_.now();
    running.shared_clients = slot.previous.process != nullptr;
}

config::Environment SimulatedNodes::make_environment(ProcessSlot& slot) {
    if (!scenario_.operated) return {};
    NodeProcess& running = slot.current;
    running.process->attach_local_sockets(*slot.local_sockets);
    running.inherited = std::to_string(running.process->inherit(*slot.listener));
    // Two processes of a node must not share an admin address.
    running.admin_address = simnet::Network::address(slot.machine, admin_port);
    if (slot.previous.process && slot.previous.admin_address == running.admin_address)
        running.admin_address = simnet::Network::address(slot.machine, admin_port + 1);
    running.admin_text = net::format_address(running.admin_address);
    return {.admin_addr = running.admin_text.c_str(),
            .inherited_fd = running.inherited.c_str(),
            .tmpdir = "/tmp"};
}

std::unique_ptr<node::Node> SimulatedNodes::make_node(NodeProcess& running, net::System& system) {
    auto launch = running.source->read();
    config::ConfigSource* source = running.source.get();
    const auto decides = [this](BalancerConfig config, BalancerDelegate& delegate, Ticks now) {
        auto other = hooks_ == nullptr ? nullptr : hooks_->make_balancer(config, delegate, now);
        return other != nullptr ? std::move(other) : Balancer::start(std::move(config), delegate, now);
    };
    return std::make_unique<node::Node>(
        system, std::move(launch), source->known_endpoints(), *running.log,
        [source] { return source->read(); }, decides);
}

// Returns false if the process does not start.
bool SimulatedNodes::start_process(std::uint32_t node) {
    ProcessSlot& slot = slots_[node];
    NodeProcess& running = slot.current;
    make_process(node, running);
    const config::Environment around = make_environment(slot);
    net::System* system = running.process.get();
    if (hooks_ != nullptr && (running.wrapped_system = hooks_->wrap_system(*running.process)) != nullptr)
        system = running.wrapped_system.get();
    environment_->note("node starts", node, slot.incarnation);
    try {
        running.source = std::make_unique<config::ConfigSource>(*system, file_name, around);
        running.node = make_node(running, *system);
    } catch (const std::exception& error) {
        invariants_.report("crash", "node " + std::to_string(node) + " did not start: " + error.what());
        return false;
    }
    running.process->start([this, node, process = running.process.get()] { return pass(node, process); });
    return true;
}

// ---- run

void SimulatedNodes::check_descriptors(std::uint32_t node) {
    const ProcessSlot& slot = slots_[node];
    if (!slot.previous.process || !slot.previous.process->runs() || !slot.current.process) return;
    const std::size_t current = slot.current.process->held(), previous = slot.previous.process->held();
    if (current + previous <= scenario_.sockets) return;
    invariants_.report("descriptors", "both processes of node " + std::to_string(node) + " held " +
                                          std::to_string(current) + " and " + std::to_string(previous) +
                                          " descriptors, the limit for both together is " +
                                          std::to_string(scenario_.sockets));
}

// One pass of the node's event loop. A process that has ended is kept, because it must not be destroyed while
// one of its calls is on the stack.
bool SimulatedNodes::pass(std::uint32_t node, const Process* process) {
    ProcessSlot& slot = slots_[node];
    NodeProcess& running = slot.previous.process.get() == process ? slot.previous : slot.current;
    try {
        const bool continues = running.node->run_once();
        check_descriptors(node);
        if (continues) return true;
        environment_->note("node left", node, slot.incarnation);
        if (&running == &slot.current) invariants_.node_ended(node, Invariants::NodeEnd::left);
    } catch (const std::exception& error) {
        invariants_.report("crash",
                           "node " + std::to_string(node) + " ended with an exception: " + error.what());
        invariants_.node_ended(node, Invariants::NodeEnd::crashed);
    }
    return false;
}

void SimulatedNodes::signal(std::uint32_t node, int number) {
    if (slots_[node].runs()) slots_[node].current.process->signal(number);
}

void SimulatedNodes::write_file(std::uint32_t node, const std::string& text) {
    slots_[node].file = text;
    if (slots_[node].current.process) slots_[node].current.process->files()[file_name] = text;
}

void SimulatedNodes::write_half_file(std::uint32_t node) {
    const ProcessSlot& slot = slots_[node];
    slot.current.process->files()[file_name] = slot.file.substr(0, slot.file.size() / 2);
}

// ---- upgrade

bool SimulatedNodes::start_upgrade(std::uint32_t node) {
    ProcessSlot& slot = slots_[node];
    slot.previous = std::exchange(slot.current, {});
    ++slot.upgrades;
    slot.drained = false;  // the new process starts undrained
    invariants_.node_drained(node, false);
    const bool started = start_process(node);
    if (!started) end(node, Invariants::NodeEnd::crashed);
    return started;
}

// Clients that the new process had taken over are cut off: the node counts as disturbed, as in a stall.
void SimulatedNodes::abort_upgrade(std::uint32_t node) {
    ProcessSlot& slot = slots_[node];
    environment_->note("new process dies", node, slot.incarnation);
    invariants_.node_stalled(node, events_.now());
    end_process(node, slot.current);
    slot.current = std::exchange(slot.previous, {});
    slot.current.shared_clients = true;
}

// ---- end

void SimulatedNodes::end(std::uint32_t node, Invariants::NodeEnd how) {
    ProcessSlot& slot = slots_[node];
    if (!slot.current.process) return;
    if (slot.current.process->runs() || !slot.current.node) invariants_.node_ended(node, how);
    environment_->note("node ends", node, slot.incarnation);
    end_process(node, slot.previous);
    end_process(node, slot.current);
}

void SimulatedNodes::end_process(std::uint32_t node, NodeProcess& running) {
    if (!running.process) return;
    const Process& process = *running.process;
    usage_.passes += process.passes();
    usage_.most_descriptors = std::max(usage_.most_descriptors, process.max_held());
    usage_.longest_spin = std::max(usage_.longest_spin, process.longest_spin());
    if (process.max_held() > scenario_.sockets)
        invariants_.report("descriptors",
                           "node " + std::to_string(node) + " held " + std::to_string(process.max_held()) +
                               " descriptors, its limit is " + std::to_string(scenario_.sockets));
    if (process.longest_spin() > max_spin)
        invariants_.report("spin", "node " + std::to_string(node) + " made " +
                                       std::to_string(process.longest_spin()) +
                                       " passes of its event loop without progress, at most " +
                                       std::to_string(max_spin) + " are allowed");
    running.process->die();
    running.node.reset();
    running.source.reset();
    running.wrapped_system.reset();
    ended_.push_back(std::move(running.process));
}

void SimulatedNodes::check_leftovers() {
    constexpr std::size_t allowed = 3;  // a client may be arriving or leaving right now
    for (std::uint32_t n = 0; n < size(); ++n) {
        const ProcessSlot& slot = slots_[n];
        if (!slot.current.node || !slot.current.process->runs() || slot.leaving || slot.previous.process)
            continue;
        std::size_t clients = 0, calls = 0;
        slot.current.process->each_end([&](simnet::End end) { ++(end.side == 1 ? clients : calls); });
        const auto holds = slot.current.node->resource_usage();
        usage_.most_timers = std::max(usage_.most_timers, holds.timers);
        const auto check = [&](std::size_t held, std::size_t most, const char* what) {
            if (held > most)
                invariants_.report("left_over", "node " + std::to_string(n) + " has no clients and holds " +
                                                    std::to_string(held) + what + ", expected at most " +
                                                    std::to_string(most));
        };
        check(clients, allowed, " connections to clients");
        check(calls, scenario_.servers + 1, " connections to servers and discovery");
        check(holds.tunnels, allowed, " tunnels");
        check(holds.buffers, allowed, " buffers");
        // A tunnel leaves at most two timers behind, which expire within its client's timeout.
        const std::size_t of_tunnels = 2 * std::size_t{scenario_.clients} / scenario_.nodes;
        check(holds.timers, std::max(max_idle_timers, of_tunnels), " timers");
    }
}

}  // namespace lemonstair::simulation
