#include "process_harness/process_harness.h"

#include <sys/resource.h>

#include <algorithm>
#include <csignal>
#include <memory>
#include <sstream>

#include "process_harness/datagram_proxy.h"
#include "process_harness/process.h"
#include "process_harness/stream_proxy.h"
#include "simulation/fault_injector.h"
#include "simulation/fixture.h"
#include "simulation/timed_event.h"

namespace lemonstair::process_harness {

namespace {

using simulation::Fault;
using simulation::FaultKind;
using simulation::Fixture;

constexpr Ticks second = 10000;
constexpr Ticks kill_after_leave = 37000, settle_time = 15000;
constexpr Ticks longest_wait = 500;
constexpr Ticks max_lag_allowed = 400;            // of the slack of 50 ms
constexpr double max_core_wait_allowed_s = 0.06;  // s, of a node within a second

// The scenario starts when the processes have had time to start.
constexpr Ticks start_takes = 2 * second, start_takes_each = 100;

void allow_descriptors(std::uint64_t wanted) {
    rlimit now{};
    if (::getrlimit(RLIMIT_NOFILE, &now) != 0) return;
    now.rlim_cur = std::min<rlim_t>(now.rlim_max, std::max<rlim_t>(now.rlim_cur, wanted));
    static_cast<void>(::setrlimit(RLIMIT_NOFILE, &now));
}

struct ProcessSlot {
    std::unique_ptr<Process> process;
    std::string file;
    std::uint32_t incarnation = 0;
    Process::Used last_use{};  // at the last look
    double processor_s = 0;    // of earlier incarnations
    bool leaving = false, stalled = false;
};

class ProcessHarness final : public simnet::EventTarget,
                             public simulation::Topology,
                             public simulation::NodeFaults {
  public:
    ProcessHarness(const Scenario& scenario, const HarnessOptions& options);
    RunResult run(const volatile bool& stop);
    void on_event(std::uint64_t token) override;

    // ---- Topology
    simnet::DatagramFaults& datagrams() override { return datagram_proxy_.faults(); }
    void cut_off(Machine machine, bool on) override { stream_proxy_.cut_off(machine, on); }
    void drop_connections(Machine machine) override { stream_proxy_.forget(machine); }
    void cut_path(Machine a, Machine b, bool on) override { stream_proxy_.cut_path(a, b, on); }
    void scale_delays(Machine, double times) override { datagram_proxy_.slow_by(times); }
    void replay_datagrams(Machine from, std::size_t most) override { datagram_proxy_.send_again(from, most); }
    void replace_config_file(std::uint32_t node, const std::string& text) override;

    // ---- NodeFaults: of `count` nodes from the fault's node on
    void begin_node_fault(const Fault& fault, std::uint64_t index) override;
    bool end_node_fault(const Fault& fault) override;

  private:
    enum class Kind : std::uint8_t { restart, kill_late, check_nodes };
    void schedule(Ticks when, Kind kind, std::uint64_t index = 0, std::uint32_t incarnation = 0) {
        events_.schedule(when, *this,
                         simulation::encode(simulation::TimedEvent<Kind>{kind, index, incarnation}));
    }
    void start_node(std::uint32_t node);
    void end_node(std::uint32_t node, simulation::Invariants::NodeEnd how);
    void begin_at(std::uint32_t node, const Fault& fault);
    void leave(std::uint32_t node, const Fault& fault);
    void check_nodes();
    bool check_ended(std::uint32_t node);
    std::uint32_t last_node(const Fault& fault) const {
        return std::min(fault.target + std::max(fault.count, 1U), scenario_.nodes);
    }
    bool play_until(Ticks until, const volatile bool& stop);
    RunResult make_result(Ticks played_for);

    const Scenario scenario_;
    const HarnessOptions wish_;
    net::Clock clock_;
    EventQueue events_;
    Poller poller_;
    AddressPlan addresses_;
    simnet::Trace trace_;
    simnet::RandomSource random_;
    StreamProxy stream_proxy_;
    DatagramProxy datagram_proxy_;
    simulation::Invariants invariants_;
    std::unique_ptr<Fixture> fixture_;
    std::unique_ptr<simulation::FaultInjector> injector_;
    std::vector<ProcessSlot> slots_;
    RunResult outcome_;
    Ticks played_from_ = 0;
};

ProcessHarness::ProcessHarness(const Scenario& scenario, const HarnessOptions& options)
    : scenario_(scenario),
      wish_(options),
      events_(clock_.now(), clock_.now() + start_takes + start_takes_each * scenario.nodes),
      addresses_(scenario.nodes),
      random_(scenario.seed ^ 0xda71a8),
      stream_proxy_(events_, poller_, addresses_),
      datagram_proxy_(events_, poller_, addresses_, Fixture::peer_port, random_.fork(1),
                      [this](Machine from, Machine to) {
                          return !stream_proxy_.is_cut(from) && !stream_proxy_.is_cut(to);
                      }),
      invariants_(scenario_, events_, stream_proxy_),
      slots_(scenario.nodes) {
    datagram_proxy_.faults().lost = scenario_.network.lost;
    datagram_proxy_.faults().doubled = scenario_.network.doubled;
    datagram_proxy_.faults().jitter = scenario_.network.datagram_jitter;
    for (std::uint32_t n = 0; n < scenario_.nodes; ++n) stream_proxy_.add_machine();
    fixture_ =
        std::make_unique<Fixture>(scenario_, events_, trace_, stream_proxy_, invariants_, random_, *this);
    injector_ = std::make_unique<simulation::FaultInjector>(scenario_, events_, *fixture_, *this);
}

// ---- nodes

void ProcessHarness::start_node(std::uint32_t node) {
    ProcessSlot& slot = slots_[node];
    if (slot.process) return;
    ++slot.incarnation;
    slot.leaving = slot.stalled = false;
    slot.last_use = {};
    invariants_.node_started(node);
    slot.process = std::make_unique<Process>(
        wish_.program, std::string(1, 'n').append(std::to_string(node)), slot.file, wish_.log_folder,
        wish_.environment ? wish_.environment(node, slot.incarnation) : std::vector<std::string>{});
}

void ProcessHarness::end_node(std::uint32_t node, simulation::Invariants::NodeEnd how) {
    ProcessSlot& slot = slots_[node];
    if (!slot.process) return;
    slot.processor_s += slot.process->used().processor_s;
    invariants_.node_ended(node, how);
    slot.process.reset();
}

void ProcessHarness::replace_config_file(std::uint32_t node, const std::string& text) {
    ProcessSlot& slot = slots_[node];
    slot.file = text;
    if (!slot.process) return;
    slot.process->configure(text);
    slot.process->signal(SIGHUP);
}

// True: its process had ended, by request or by itself.
bool ProcessHarness::check_ended(std::uint32_t node) {
    ProcessSlot& slot = slots_[node];
    if (slot.process->runs()) return false;
    const bool left = slot.leaving && slot.process->ended_well();
    if (!left)
        invariants_.report("crash", "node " + std::to_string(node) + " " + slot.process->how_it_ended());
    end_node(node, left ? simulation::Invariants::NodeEnd::left : simulation::Invariants::NodeEnd::crashed);
    return true;
}

// Ends that nobody asked for, and what the nodes used since the last check.
void ProcessHarness::check_nodes() {
    schedule(events_.now() + second, Kind::check_nodes);
    for (std::uint32_t n = 0; n < slots_.size(); ++n) {
        ProcessSlot& slot = slots_[n];
        if (!slot.process || check_ended(n)) continue;
        const Process::Used used = slot.process->used();
        if (slot.last_use.waited_s > 0 && !slot.stalled)
            outcome_.max_core_wait_s =
                std::max(outcome_.max_core_wait_s, used.waited_s - slot.last_use.waited_s);
        outcome_.costs.memory_kb = std::max(outcome_.costs.memory_kb, used.memory_kb);
        slot.last_use = used;
    }
}

// ---- faults

void ProcessHarness::leave(std::uint32_t node, const Fault& fault) {
    ProcessSlot& slot = slots_[node];
    slot.leaving = true;
    invariants_.node_shutdown_requested(node);
    slot.process->signal(SIGTERM);
    fixture_->front().schedule_removal(node, random_.between(second / 5, second * 2 / 5));
    schedule(events_.now() + kill_after_leave, Kind::kill_late, node, slot.incarnation);
    schedule(events_.now() + kill_after_leave + fault.duration, Kind::restart, node, slot.incarnation);
}

void ProcessHarness::begin_at(std::uint32_t node, const Fault& fault) {
    using K = FaultKind;
    ProcessSlot& slot = slots_[node];
    switch (fault.kind) {
        case K::node_kill:
            return end_node(node, simulation::Invariants::NodeEnd::killed);
        case K::node_leave:
            return leave(node, fault);
        case K::node_stall:
            slot.stalled = true;
            invariants_.node_stalled(node, events_.now() + fault.duration + second / 2);
            return slot.process->signal(SIGSTOP);
        case K::node_reload:
            return slot.process->signal(SIGHUP);
        case K::node_reload_broken:
            slot.process->configure(slot.file.substr(0, slot.file.size() / 2));
            return slot.process->signal(SIGHUP);
        default:
            return;
    }
}

void ProcessHarness::begin_node_fault(const Fault& fault, std::uint64_t) {
    const std::uint32_t last = last_node(fault);
    for (std::uint32_t n = fault.target; n < last; ++n)
        if (slots_[n].process) begin_at(n, fault);
}

bool ProcessHarness::end_node_fault(const Fault& fault) {
    using K = FaultKind;
    const std::uint32_t last = last_node(fault);
    switch (fault.kind) {
        case K::node_kill:
            for (std::uint32_t n = fault.target; n < last; ++n) start_node(n);
            return true;
        case K::node_stall:
            for (std::uint32_t n = fault.target; n < last; ++n) {
                if (slots_[n].process) slots_[n].process->signal(SIGCONT);
                slots_[n].stalled = false;
                slots_[n].last_use = {};
            }
            return true;
        case K::node_reload_broken:
            for (std::uint32_t n = fault.target; n < last; ++n) replace_config_file(n, slots_[n].file);
            return true;
        default:
            return false;
    }
}

void ProcessHarness::on_event(std::uint64_t token) {
    const auto event = simulation::decode<Kind>(token);
    const auto node = static_cast<std::uint32_t>(event.index);
    switch (event.kind) {
        case Kind::kill_late:
            if (slots_[node].incarnation == event.incarnation && slots_[node].process)
                end_node(node, simulation::Invariants::NodeEnd::killed_late);
            return;
        case Kind::restart:
            if (slots_[node].incarnation == event.incarnation) start_node(node);
            return;
        case Kind::check_nodes:
            return check_nodes();
    }
}

// ---- the run

// Delivers events by the real clock. False where the run was interrupted.
bool ProcessHarness::play_until(Ticks until, const volatile bool& stop) {
    while (!stop) {
        const Ticks now = clock_.now();
        while (events_.next() && *events_.next() <= now) {
            if (events_.now() > played_from_ && played_from_ != 0)
                outcome_.max_lag = std::max(outcome_.max_lag, clock_.now() - *events_.next());
            events_.step(now);
        }
        events_.advance_to(now);
        if (now >= until) return true;
        const Ticks next = std::min(until, events_.next().value_or(until));
        poller_.turn(std::clamp<Ticks>(next - clock_.now(), 0, longest_wait),
                     [this] { events_.advance_to(clock_.now()); });
    }
    return false;
}

RunResult ProcessHarness::run(const volatile bool& stop) {
    fixture_->start_services();
    for (std::uint32_t n = 0; n < slots_.size(); ++n) slots_[n].file = fixture_->config_file_for(n);
    const Ticks start_time = events_.start_time();
    bool played = true;
    for (std::uint32_t n = 0; n < slots_.size() && !stop; ++n) start_node(n);
    fixture_->start_clients();
    check_nodes();
    injector_->schedule_all();
    played_from_ = start_time;
    played = play_until(start_time + scenario_.duration, stop);
    fixture_->stop_clients();
    if (played) played = play_until(start_time + scenario_.duration + settle_time, stop);
    outcome_.interrupted = !played;
    return make_result(scenario_.duration + settle_time);
}

RunResult ProcessHarness::make_result(Ticks played_for) {
    RunResult& o = outcome_;
    const double seconds = static_cast<double>(played_for) / second;
    const double node_seconds = seconds * static_cast<double>(scenario_.nodes);
    for (std::uint32_t n = 0; n < slots_.size(); ++n) {
        end_node(n, simulation::Invariants::NodeEnd::killed);
        o.costs.processor_ms += slots_[n].processor_s * 1000 / node_seconds;
        o.costs.datagrams += static_cast<double>(datagram_proxy_.counts(n).sent) / node_seconds;
        o.costs.bytes += static_cast<double>(datagram_proxy_.counts(n).bytes) / node_seconds;
    }
    invariants_.judge_bounds();
    const simulation::Ledger& ledger = invariants_.ledger();
    for (std::uint32_t h = 0; h < ledger.servers(); ++h)
        o.servers.push_back({ledger.cold(h), ledger.setups(h),
                             ledger.most_within(h, scenario_.server.overload_window),
                             ledger.most_of_budget(h, scenario_.server.overload_window)});
    o.declined = ledger.declined();
    o.declined_idle = ledger.declined_idle();
    o.seed = scenario_.seed;
    o.nodes = scenario_.nodes;
    o.broken = invariants_.broken();
    o.tally = invariants_.tally();
    o.clients = fixture_->clients().tally();
    o.calls_of_nodes = stream_proxy_.calls_of_nodes();
    o.too_long = datagram_proxy_.too_long();
    o.took_s = seconds;
    return o;
}

}  // namespace

bool RunResult::is_conclusive() const {
    return max_lag <= max_lag_allowed && max_core_wait_s <= max_core_wait_allowed_s;
}

RunResult play(const Scenario& scenario, const HarnessOptions& options, const volatile bool& stop) {
    allow_descriptors(1U << 18);
    ProcessHarness field(scenario, options);
    return field.run(stop);
}

std::string json_of(const RunResult& o) {
    std::ostringstream out;
    out << R"({"seed":)" << o.seed << R"(,"nodes":)" << o.nodes << R"(,"taken":)" << o.tally.taken
        << R"(,"opened":)" << o.tally.opened << R"(,"declined":)" << o.tally.declined
        << R"(,"declined_beside_idle":)" << o.declined_idle << R"(,"closed_with_error":)" << o.tally.failed
        << R"(,"setups":)" << o.tally.setups << R"(,"moved":)" << o.clients.moved << R"(,"hosts":[)";
    for (std::size_t h = 0; h < o.servers.size(); ++h)
        out << (h > 0 ? "," : "") << R"({"cold":)" << (o.servers[h].cold ? "true" : "false")
            << R"(,"setups":)" << o.servers[h].setups << R"(,"most_at_once":)" << o.servers[h].most_at_once
            << R"(,"most_of_budget":)" << o.servers[h].most_of_budget << '}';
    out << R"(],"datagrams_a_node_s":)" << o.costs.datagrams << R"(,"bytes_a_node_s":)" << o.costs.bytes
        << R"(,"processor_ms_a_node_s":)" << o.costs.processor_ms << R"(,"memory_kb":)" << o.costs.memory_kb
        << R"(,"calls_of_nodes":)" << o.calls_of_nodes << R"(,"latest_ms":)"
        << static_cast<double>(o.max_lag) / 10 << R"(,"waited_most_ms":)" << o.max_core_wait_s * 1000
        << R"(,"broken":[)";
    for (std::size_t i = 0; i < o.broken.size(); ++i)
        out << (i > 0 ? "," : "") << R"({"at_s":)" << static_cast<double>(o.broken[i].at) / second
            << R"(,"rule":")" << o.broken[i].rule << "\"}";
    out << "]}\n";
    return out.str();
}

}  // namespace lemonstair::process_harness
