#include "simulation/simulation.h"

#include <algorithm>
#include <csignal>
#include <exception>
#include <functional>
#include <utility>

#include "config/source.h"
#include "fakes/admin_client.h"
#include "simnet/local_socket.h"
#include "simnet/process.h"
#include "simulation/fixture.h"

namespace lemonstair::simulation {

namespace {

using simnet::EventQueue;
using simnet::Machine;
using simnet::RandomSource;

constexpr Ticks second = 10000;
constexpr Ticks quiet = 120000;  // after the day, until the nodes must be empty
constexpr Ticks kill_after_leave = 37000;
constexpr std::uint64_t most_steps = 20'000'000;
constexpr std::size_t backlog = 1024, most_spin = 40, most_idle_timers = 120;
constexpr std::uint16_t client_port = Fixture::client_port, desk_port = 10250;
constexpr Ticks figures_every = second, ask_ready_every = second / 10, yes_within = 6 * second;
constexpr Ticks drained_by = 4 * second, back_by = 2 * second;
const std::string file_name = "node.json";

// One process of a node, and what it runs on.
struct Running {
    std::unique_ptr<log::Drain> drain;
    std::unique_ptr<log::Log> log;
    std::unique_ptr<simnet::Process> process;
    std::unique_ptr<net::System> tampered;
    std::unique_ptr<config::ConfigSource> source;
    std::unique_ptr<node::Node> node;
    net::Address desk;
    std::string inherited, desk_text;
    Ticks since = 0;
    bool mixed = false;  // another process answered some of its node's clients meanwhile
};

// One node of the tier, through its lives. `old` is the process that a new version is taking the place of.
struct ProcessSlot {
    Machine machine = 0;
    Ticks clock_ahead = 0;
    std::string file;
    Running now, old;
    std::unique_ptr<simnet::SharedListener> listener;
    std::unique_ptr<simnet::LocalSockets> nearby;
    std::uint32_t life = 0, upgrades = 0;
    Ticks said_yes = 0, upgrade_began = 0;
    bool leaving = false, drained = false;
};

class TraceDrain final : public log::Drain {
  public:
    TraceDrain(fakes::TestEnvironment& town, Invariants& rules, std::uint32_t node)
        : town_(town), rules_(rules), node_(node) {}
    std::size_t take(std::string_view text) override {
        town_.note("log", node_, 0, text.substr(0, text.size() - (text.empty() ? 0 : 1)));
        if (const auto at = text.find(metrics::violation_prefix); at != std::string_view::npos)
            rules_.broke("self_check",
                         "node " + std::to_string(node_) + ": " + std::string(text.substr(at, 100)));
        return text.size();
    }

  private:
    fakes::TestEnvironment& town_;
    Invariants& rules_;
    std::uint32_t node_;
};

class Simulation final : public simnet::EventTarget, public Topology {
  public:
    Simulation(const Scenario& day, std::ostream* trace, Tamper* tamper);
    ~Simulation() override {
        for (ProcessSlot& s : seats_) s.now.node.reset(), s.old.node.reset();
    }
    Verdict run();
    void on_event(std::uint64_t token) override;

    // ---- Ground
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

  private:
    enum Kind : std::uint64_t {
        begin_fault,
        end_fault,
        late_fault,
        restart,
        kill_late,
        ask_figures,
        ask_ready,
        kill_old,
        look_drained,
        look_back,
        afterwards
    };
    static std::uint64_t token(Kind kind, std::uint64_t at, std::uint64_t life = 0) {
        return std::uint64_t{kind} << 56 | life << 24 | at;
    }
    void start_node(std::uint32_t node);
    bool start_process(std::uint32_t node);
    void end_process(std::uint32_t node, Running& r);
    // Whether a node is one process, and was all the time since.
    bool is_one(std::uint32_t node, std::uint32_t life, std::uint32_t upgrades) const {
        const ProcessSlot& s = seats_[node];
        return s.now.node && s.now.process->runs() && !s.old.process && !s.leaving && s.life == life &&
               s.upgrades == upgrades;
    }
    void upgrade(std::uint32_t node, std::uint64_t fault);
    void new_one_dies(std::uint32_t node);
    void look_ready(std::uint32_t node, bool goes_on);
    void call(std::uint32_t node, const char* line, fakes::Operators::Told told);
    void look_at_figures(std::uint32_t node);
    void drain(const Fault& f, std::uint64_t at);
    void look_if_drained(const Fault& f, std::uint64_t at, std::uint32_t life);
    void look_if_back(const Fault& f, std::uint32_t life);
    bool starved(std::uint32_t node) const;
    void end_node(std::uint32_t node, Invariants::NodeEnd how);
    bool pass(std::uint32_t node, const simnet::Process* process);
    void begin(const Fault& f, std::uint64_t at);
    void end(const Fault& f);
    void later(const Fault& f);
    void signal(std::uint32_t node, int number) {
        if (seats_[node].now.process && seats_[node].now.process->runs())
            seats_[node].now.process->signal(number);
    }
    void check_leftovers();

    const Scenario day_;
    EventQueue events_;
    simnet::Trace trace_;
    RandomSource chance_;
    simnet::Network network_;
    Invariants rules_;
    Tamper* tamper_;
    std::unique_ptr<Fixture> stage_;
    std::unique_ptr<fakes::Operators> operators_;
    std::vector<ProcessSlot> seats_;
    std::vector<std::function<void()>> afterwards_;
    std::vector<std::unique_ptr<simnet::Process>> gone_;
    Verdict verdict_;
};

Simulation::Simulation(const Scenario& day, std::ostream* trace, Tamper* tamper)
    : day_(day),
      trace_(trace),
      chance_(day.seed ^ 0xda71a8),
      network_(events_, trace_, chance_.part(1), day.weather),
      rules_(day_, events_, network_),
      tamper_(tamper) {
    seats_.resize(day_.nodes);
    for (ProcessSlot& s : seats_) {
        s.machine = network_.add_machine();
        if (day_.clocks_apart > 0) s.clock_ahead = chance_.between(Ticks{0}, day_.clocks_apart);
    }
    stage_ = std::make_unique<Fixture>(day_, events_, trace_, network_, rules_, chance_, *this);
    if (day_.operated) {
        operators_ = std::make_unique<fakes::Operators>(stage_->town(), network_.add_machine());
        for (std::uint32_t n = 0; n < day_.nodes; ++n) {
            seats_[n].listener =
                std::make_unique<simnet::SharedListener>(network_, network_.place(n, client_port), backlog);
            seats_[n].nearby = std::make_unique<simnet::LocalSockets>(network_);
            events_.schedule(events_.start_time() + figures_every, *this, token(ask_figures, n));
        }
    }
    for (const Fault& f : day_.faults)
        if (f.kind == FaultKind::datagrams_old) network_.keep_datagrams();
}

// ---- nodes

void Simulation::start_node(std::uint32_t node) {
    ProcessSlot& s = seats_[node];
    if (s.now.node) return;
    ++s.life;
    s.leaving = s.drained = false;
    rules_.node_started(node);
    if (!start_process(node)) end_node(node, Invariants::NodeEnd::crashed);
}

// False where it does not start.
bool Simulation::start_process(std::uint32_t node) {
    ProcessSlot& s = seats_[node];
    Running& r = s.now;
    const simnet::Process::Traits traits{s.clock_ahead, day_.pass_takes, day_.sockets};
    r.process = std::make_unique<simnet::Process>(events_, network_, s.machine, traits);
    r.process->files()[file_name] = s.file;
    r.drain = std::make_unique<TraceDrain>(stage_->town(), rules_, node);
    r.log = std::make_unique<log::Log>(log::Level::info, *r.drain);
    r.since = events_.now();
    r.mixed = s.old.process != nullptr;
    config::Environment around;
    if (day_.operated) {
        r.process->live_beside(*s.nearby);
        r.inherited = std::to_string(r.process->inherit(*s.listener));
        // Two processes of a node have addresses for operators of their own.
        r.desk = simnet::Network::address(s.machine, desk_port);
        if (s.old.process && s.old.desk == r.desk)
            r.desk = simnet::Network::address(s.machine, desk_port + 1);
        r.desk_text = net::address_text(r.desk);
        around = {.admin_addr = r.desk_text.c_str(), .inherited_fd = r.inherited.c_str(), .tmpdir = "/tmp"};
    }
    net::System* system = r.process.get();
    if (tamper_ != nullptr && (r.tampered = tamper_->between(*r.process)) != nullptr)
        system = r.tampered.get();
    stage_->town().note("node starts", node, s.life);
    try {
        r.source = std::make_unique<config::ConfigSource>(*system, file_name, around);
        auto launch = r.source->read();
        config::ConfigSource* source = r.source.get();
        const auto decides = [this](BalancerConfig terms, BalancerDelegate& host, Ticks now) {
            auto other = tamper_ == nullptr ? nullptr : tamper_->decides(terms, host, now);
            return other != nullptr ? std::move(other) : Balancer::start(std::move(terms), host, now);
        };
        r.node = std::make_unique<node::Node>(
            *system, std::move(launch), r.source->known_endpoints(), *r.log,
            [source] { return source->read(); }, decides);
    } catch (const std::exception& e) {
        rules_.broke("crash", "node " + std::to_string(node) + " does not start: " + e.what());
        return false;
    }
    r.process->start([this, node, process = r.process.get()] { return pass(node, process); });
    return true;
}

// The process of a node that has left is over; what plays it goes when nothing of it is being called.
bool Simulation::pass(std::uint32_t node, const simnet::Process* process) {
    ProcessSlot& s = seats_[node];
    Running& r = s.old.process.get() == process ? s.old : s.now;
    try {
        const bool goes_on = r.node->turn();
        if (s.old.process && s.old.process->runs() && s.now.process &&
            s.now.process->held() + s.old.process->held() > day_.sockets)
            rules_.broke("descriptors", "both processes of node " + std::to_string(node) + " held " +
                                            std::to_string(s.now.process->held()) + " and " +
                                            std::to_string(s.old.process->held()) + " of " +
                                            std::to_string(day_.sockets));
        if (goes_on) return true;
        stage_->town().note("node left", node, s.life);
        if (&r == &s.now) rules_.node_ended(node, Invariants::NodeEnd::left);
    } catch (const std::exception& e) {
        rules_.broke("crash", "node " + std::to_string(node) + ": " + e.what());
        rules_.node_ended(node, Invariants::NodeEnd::crashed);
    }
    return false;
}

void Simulation::end_node(std::uint32_t node, Invariants::NodeEnd how) {
    ProcessSlot& s = seats_[node];
    if (!s.now.process) return;
    if (s.now.process->runs() || !s.now.node) rules_.node_ended(node, how);
    stage_->town().note("node ends", node, s.life);
    end_process(node, s.old);
    end_process(node, s.now);
}

void Simulation::end_process(std::uint32_t node, Running& r) {
    if (!r.process) return;
    verdict_.passes += r.process->passes();
    verdict_.most_descriptors = std::max(verdict_.most_descriptors, r.process->most_held());
    verdict_.longest_spin = std::max(verdict_.longest_spin, r.process->longest_spin());
    if (r.process->most_held() > day_.sockets)
        rules_.broke("descriptors", "node " + std::to_string(node) + " held " +
                                        std::to_string(r.process->most_held()) + " of " +
                                        std::to_string(day_.sockets));
    if (r.process->longest_spin() > most_spin)
        rules_.broke("spin", "node " + std::to_string(node) + " made " +
                                 std::to_string(r.process->longest_spin()) + " passes for nothing");
    r.process->die();
    r.node.reset();
    r.source.reset();
    r.tampered.reset();
    gone_.push_back(std::move(r.process));  // the agenda may still name it
}

// ---- operators

bool Simulation::starved(std::uint32_t node) const {
    return std::any_of(day_.faults.begin(), day_.faults.end(),
                       [&](const Fault& f) { return f.kind == FaultKind::node_starve && f.who == node; });
}

void Simulation::call(std::uint32_t node, const char* line, fakes::Operators::Told told) {
    operators_->call(seats_[node].now.desk, std::string(line) + " HTTP/1.1\r\nHost: n\r\n\r\n",
                     std::move(told));
}

// As the platform does it: the old process has SIGTERM once the new one has said yes.
void Simulation::upgrade(std::uint32_t node, std::uint64_t fault) {
    ProcessSlot& s = seats_[node];
    if (!s.now.node || !s.now.process->runs() || s.leaving || s.old.process) return;
    s.old = std::exchange(s.now, {});
    ++s.upgrades;
    s.upgrade_began = events_.now();
    s.said_yes = 0;
    s.drained = false;  // the new one begins serving
    rules_.node_drained(node, false);
    if (!start_process(node)) return end_node(node, Invariants::NodeEnd::crashed);
    events_.schedule(events_.now() + ask_ready_every, *this, token(ask_ready, fault, s.upgrades));
}

void Simulation::look_ready(std::uint32_t node, bool goes_on) {
    ProcessSlot& s = seats_[node];
    if (!s.old.process || !s.now.process || s.said_yes != 0) return;
    const Ticks now = events_.now();
    if (now - s.upgrade_began > yes_within) {
        if (!starved(node) && rules_.undisturbed(node, s.upgrade_began, now))
            rules_.broke("upgrade",
                         "the new process of node " + std::to_string(node) + " says no yes in 6 s");
        s.said_yes = now;
    } else {
        call(node, "GET /healthcheck", [this, node, upgrades = s.upgrades, goes_on](const auto& answer) {
            ProcessSlot& seat = seats_[node];
            if (answer.status != 200 || seat.upgrades != upgrades || seat.said_yes != 0 || !seat.old.process)
                return;
            seat.said_yes = events_.now();
            if (!goes_on) return;
            seat.old.process->signal(SIGTERM);
            events_.schedule(events_.now() + kill_after_leave, *this, token(kill_old, node, seat.upgrades));
        });
    }
}

// The old one is the node again, but for what the new one had taken.
void Simulation::new_one_dies(std::uint32_t node) {
    ProcessSlot& s = seats_[node];
    if (!s.old.process || !s.now.process || !s.old.process->runs()) return;
    stage_->town().note("new process dies", node, s.life);
    rules_.node_stalled(node, events_.now());
    end_process(node, s.now);
    s.now = std::exchange(s.old, {});
    s.now.mixed = true;
    call(node, "POST /healthcheck/ok", [](const auto&) {});
    s.said_yes = 0;
}

void Simulation::look_at_figures(std::uint32_t node) {
    const ProcessSlot& s = seats_[node];
    events_.schedule(events_.now() + figures_every, *this, token(ask_figures, node));
    if (!s.now.node || !s.now.process->runs()) return;
    call(node, "GET /stats", [this, node, life = s.life, upgrades = s.upgrades](const auto& answer) {
        const Ticks now = events_.now();
        if (!is_one(node, life, upgrades) || starved(node) ||
            !rules_.undisturbed(node, now - answer.took - second, now))
            return;
        if (answer.status != 200)
            return rules_.broke("call", "node " + std::to_string(node) + " gave no figures in a second");
        const Running& r = seats_[node].now;
        rules_.figures_told(node, answer.body, r.since, r.mixed);
    });
}

void Simulation::drain(const Fault& f, std::uint64_t at) {
    ProcessSlot& s = seats_[f.who];
    if (!is_one(f.who, s.life, s.upgrades) || s.drained) return;
    s.drained = true;
    rules_.node_drained(f.who, true);
    call(f.who, "POST /healthcheck/fail", [](const auto&) {});
    events_.schedule(events_.now() + drained_by, *this, token(look_drained, at, s.life));
}

// Four seconds after the call nobody is sent there, and nobody is held there but where packets pass.
void Simulation::look_if_drained(const Fault& f, std::uint64_t at, std::uint32_t life) {
    ProcessSlot& s = seats_[f.who];
    const Ticks now = events_.now();
    if (!s.now.node || s.life != life) return;
    const bool same =
        is_one(f.who, life, s.upgrades) && rules_.undisturbed(f.who, now - drained_by - second, now);
    if (same && s.drained && !starved(f.who)) {
        rules_.judge_drained(f.who);
        call(f.who, "GET /healthcheck", [this, node = f.who](const auto& answer) {
            if (answer.status == 200 && seats_[node].drained)
                rules_.broke("drained",
                             "node " + std::to_string(node) + " still says yes 4 s after the call");
        });
    }
    events_.schedule(now + f.span, *this, token(look_back, at, life));
}

void Simulation::look_if_back(const Fault& f, std::uint32_t life) {
    ProcessSlot& s = seats_[f.who];
    if (!s.now.node || s.life != life || !s.drained) return;
    s.drained = false;
    rules_.node_drained(f.who, false);
    call(f.who, "POST /healthcheck/ok", [](const auto&) {});
    const auto ask = [this, node = f.who, life, upgrades = s.upgrades] {
        call(node, "GET /healthcheck", [this, node, life, upgrades](const auto& answer) {
            const Ticks now = events_.now();
            if (answer.status != 200 && is_one(node, life, upgrades) && !seats_[node].drained &&
                !starved(node) && rules_.undisturbed(node, now - back_by - second, now))
                rules_.broke("drained",
                             "node " + std::to_string(node) + " says no 2 s after the drain's end");
        });
    };
    afterwards_.push_back(ask);
    events_.schedule(events_.now() + back_by, *this, token(afterwards, afterwards_.size() - 1));
}

// ---- faults

void Simulation::begin(const Fault& f, std::uint64_t at) {
    using K = FaultKind;
    stage_->town().note("fault", at, f.who, row_of(f.kind).name);
    if (f.kind == K::host_drain)
        events_.schedule(events_.now() + std::max(f.span, 3 * second), *this, token(late_fault, at));
    if (stage_->begin(f)) return;
    const ProcessSlot& seat = seats_[f.who];
    switch (f.kind) {
        case K::node_kill:
            return end_node(f.who, Invariants::NodeEnd::killed);
        case K::node_leave:
            if (!seat.now.node || seat.leaving || seat.old.process) return;
            seats_[f.who].leaving = true;
            rules_.node_told_to_leave(f.who);
            signal(f.who, SIGTERM);
            stage_->front().leaves(f.who, chance_.between(second / 5, second * 2 / 5));
            return events_.schedule(events_.now() + kill_after_leave, *this, token(kill_late, at, seat.life));
        case K::node_stall:
            if (!seat.now.process || !seat.now.process->runs()) return;
            rules_.node_stalled(f.who, events_.now() + f.span);
            if (seat.old.process) seats_[f.who].old.process->stall(f.span);
            return seats_[f.who].now.process->stall(f.span);
        case K::node_starve:
            if (seat.now.process) seats_[f.who].now.process->starve(true);
            return;
        case K::node_reload:
            return signal(f.who, SIGHUP);
        case K::node_upgrade:
        case K::node_upgrade_fails:
            return upgrade(f.who, at);
        case K::node_drain:
            return drain(f, at);
        case K::node_callers:
            return operators_->come_and_stay(seat.now.desk, static_cast<int>(f.count));
        case K::node_reload_broken:
            if (!seat.now.process) return;
            seats_[f.who].now.process->files()[file_name] = seat.file.substr(0, seat.file.size() / 2);
            return signal(f.who, SIGHUP);
        default:
            return;
    }
}

void Simulation::end(const Fault& f) {
    using K = FaultKind;
    switch (f.kind) {
        case K::node_kill:
            return start_node(f.who);
        case K::node_upgrade_fails:
            return new_one_dies(f.who);
        case K::node_starve:
            if (seats_[f.who].now.process) seats_[f.who].now.process->starve(false);
            return;
        case K::node_reload_broken:
            if (seats_[f.who].now.process) seats_[f.who].now.process->files()[file_name] = seats_[f.who].file;
            return signal(f.who, SIGHUP);
        default:
            return stage_->end(f);
    }
}

void Simulation::later(const Fault& f) {
    if (stage_->later(f))
        events_.schedule(events_.now() + 2 * second, *this,
                         token(late_fault, static_cast<std::uint64_t>(&f - day_.faults.data())));
}

void Simulation::new_file(std::uint32_t node, const std::string& text) {
    seats_[node].file = text;
    if (seats_[node].now.process) seats_[node].now.process->files()[file_name] = text;
    signal(node, SIGHUP);
}

void Simulation::on_event(std::uint64_t what) {
    const auto kind = static_cast<Kind>(what >> 56);
    const std::uint64_t at = what & 0xffffffU;
    const auto life = static_cast<std::uint32_t>(what >> 24 & 0xffffffffU);
    switch (kind) {
        case begin_fault:
            return begin(day_.faults[at], at);
        case end_fault:
            return end(day_.faults[at]);
        case late_fault:
            return later(day_.faults[at]);
        case kill_late: {
            const std::uint32_t node = day_.faults[at].who;
            if (seats_[node].life != life) return;
            end_node(node, Invariants::NodeEnd::killed_late);
            return events_.schedule(events_.now() + day_.faults[at].span, *this, token(restart, node));
        }
        case restart:
            return start_node(static_cast<std::uint32_t>(at));
        case ask_figures:
            return look_at_figures(static_cast<std::uint32_t>(at));
        case ask_ready: {
            const Fault& f = day_.faults[at];
            if (seats_[f.who].upgrades != life || !seats_[f.who].old.process) return;
            look_ready(f.who, f.kind == FaultKind::node_upgrade);
            return events_.schedule(events_.now() + ask_ready_every, *this, token(ask_ready, at, life));
        }
        case kill_old:
            if (seats_[at].upgrades == life) end_process(static_cast<std::uint32_t>(at), seats_[at].old);
            return;
        case look_drained:
            return look_if_drained(day_.faults[at], at, life);
        case look_back:
            return look_if_back(day_.faults[at], life);
        case afterwards:
            return afterwards_[at]();
    }
}

void Simulation::check_leftovers() {
    for (std::uint32_t n = 0; n < seats_.size(); ++n) {
        const ProcessSlot& s = seats_[n];
        if (!s.now.node || !s.now.process->runs() || s.leaving || s.old.process) continue;
        std::size_t clients = 0, calls = 0;
        s.now.process->each_end([&](simnet::End e) { ++(e.side == 1 ? clients : calls); });
        const auto holds = s.now.node->holds();
        verdict_.most_timers = std::max(verdict_.most_timers, holds.timers);
        const std::string who = "node " + std::to_string(n) + " is empty and holds ";
        if (clients > 3) rules_.broke("left_over", who + std::to_string(clients) + " connections of clients");
        if (calls > day_.hosts + 1) rules_.broke("left_over", who + std::to_string(calls) + " calls");
        if (holds.tunnels > 3) rules_.broke("left_over", who + std::to_string(holds.tunnels) + " tunnels");
        if (holds.buffers > 3) rules_.broke("left_over", who + std::to_string(holds.buffers) + " buffers");
        // Timers of tunnels that are gone fall due within their clients' time: two for each tunnel at most.
        const std::size_t of_tunnels = 2 * std::size_t{day_.members} / day_.nodes;
        if (holds.timers > std::max(most_idle_timers, of_tunnels))
            rules_.broke("left_over", who + std::to_string(holds.timers) + " timers");
    }
}

Verdict Simulation::run() {
    stage_->open();
    for (std::uint32_t n = 0; n < seats_.size(); ++n) {
        seats_[n].file = stage_->file_for(n);
        start_node(n);
    }
    stage_->let_clients_come();
    const Ticks evening = events_.start_time() + day_.span;
    for (std::uint64_t i = 0; i < day_.faults.size(); ++i) {
        const Fault& f = day_.faults[i];
        events_.schedule(events_.start_time() + f.at, *this, token(begin_fault, i));
        if (row_of(f.kind).spans)
            events_.schedule(std::min(evening, events_.start_time() + f.at + f.span), *this,
                             token(end_fault, i));
    }
    const auto go_on = [&](Ticks until) {
        while (events_.steps() < most_steps && events_.step(until)) continue;
        events_.pass_to(until);
        if (events_.steps() >= most_steps) rules_.broke("spin", "the day does not end");
    };
    go_on(evening);
    stage_->go_home();
    go_on(evening + quiet);
    check_leftovers();
    rules_.judge_bounds();
    for (std::uint32_t n = 0; n < seats_.size(); ++n) end_node(n, Invariants::NodeEnd::killed);
    verdict_.seed = day_.seed;
    verdict_.broken = rules_.broken();
    verdict_.tally = rules_.tally();
    verdict_.members = stage_->members().tally();
    for (std::uint32_t h = 0; h < day_.hosts; ++h)
        verdict_.most_of_budget =
            std::max(verdict_.most_of_budget, rules_.ledger().most_of_budget(h, day_.host.fall));
    verdict_.steps = events_.steps();
    verdict_.simulated = day_.span + quiet;
    for (const Broken& b : verdict_.broken) trace_.note(b.at, "broken", 0, 0, b.rule + ": " + b.what);
    verdict_.hash = trace_.hash();
    return verdict_;
}

}  // namespace

Verdict play(const Scenario& day, std::ostream* trace, Tamper* tamper) {
    Simulation world(day, trace, tamper);
    return world.run();
}

}  // namespace lemonstair::simulation
