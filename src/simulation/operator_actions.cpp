#include "simulation/operator_actions.h"

#include <algorithm>
#include <csignal>
#include <utility>

#include "simulation/timed_event.h"

namespace lemonstair::simulation {

namespace {

constexpr Ticks second = 10000;
constexpr Ticks metrics_interval = second, health_interval = second / 10, healthy_within = 6 * second;
constexpr Ticks kill_delay = 37000;  // from SIGTERM to SIGKILL
constexpr Ticks drained_within = 4 * second, undrained_within = 2 * second;

}  // namespace

OperatorActions::OperatorActions(const Scenario& scenario, simnet::EventQueue& events,
                                 simnet::Network& network, fakes::TestEnvironment& environment,
                                 Invariants& invariants, SimulatedNodes& nodes)
    : scenario_(scenario),
      events_(events),
      invariants_(invariants),
      nodes_(nodes),
      upgrades_(scenario.nodes) {
    if (!scenario_.operated) return;
    client_ = std::make_unique<fakes::AdminClient>(environment, network.add_machine());
    for (std::uint32_t n = 0; n < scenario_.nodes; ++n) {
        nodes_.share_listener(n);
        schedule(events_.start_time() + metrics_interval, Kind::read_metrics, n);
    }
}

void OperatorActions::schedule(Ticks when, Kind kind, std::uint64_t index, std::uint32_t incarnation) {
    events_.schedule(when, *this, encode(TimedEvent<Kind>{kind, index, incarnation}));
}

// Such a node has no descriptor left to answer operators, so their calls are not judged.
bool OperatorActions::starved(std::uint32_t node) const {
    return std::any_of(scenario_.faults.begin(), scenario_.faults.end(), [&](const Fault& fault) {
        return fault.kind == FaultKind::node_starve && fault.target == node;
    });
}

void OperatorActions::call(std::uint32_t node, const char* line, fakes::AdminClient::Callback callback) {
    client_->call(nodes_.slot(node).current.admin_address, std::string(line) + " HTTP/1.1\r\nHost: n\r\n\r\n",
                  std::move(callback));
}

void OperatorActions::open_idle_connections(std::uint32_t node, int count) {
    client_->open_idle(nodes_.slot(node).current.admin_address, count);
}

// ---- metrics

void OperatorActions::read_metrics(std::uint32_t node) {
    const ProcessSlot& slot = nodes_.slot(node);
    schedule(events_.now() + metrics_interval, Kind::read_metrics, node);
    if (!slot.current.node || !slot.current.process->runs()) return;
    call(node, "GET /stats",
         [this, node, incarnation = slot.incarnation, upgrades = slot.upgrades](const auto& answer) {
             const Ticks now = events_.now();
             if (!nodes_.is_single_process(node, incarnation, upgrades) || starved(node) ||
                 !invariants_.was_undisturbed(node, now - answer.took - second, now))
                 return;
             if (answer.status != 200)
                 return invariants_.report("call",
                                           "node " + std::to_string(node) +
                                               " did not answer GET /stats with 200 within 1 s: status " +
                                               std::to_string(answer.status));
             const NodeProcess& current = nodes_.slot(node).current;
             invariants_.judge_metrics(node, answer.body, current.started_at, current.shared_clients);
         });
}

// ---- upgrade

void OperatorActions::upgrade(std::uint32_t node, std::uint64_t fault_index) {
    const ProcessSlot& slot = nodes_.slot(node);
    if (!slot.current.node || !slot.current.process->runs() || slot.leaving || slot.previous.process) return;
    upgrades_[node] = {events_.now(), 0};
    if (!nodes_.start_upgrade(node)) return;
    schedule(events_.now() + health_interval, Kind::poll_health, fault_index, slot.upgrades);
}

void OperatorActions::poll_health(std::uint64_t fault_index, std::uint32_t upgrades) {
    const Fault& fault = scenario_.faults[fault_index];
    const ProcessSlot& slot = nodes_.slot(fault.target);
    if (slot.upgrades != upgrades || !slot.previous.process) return;
    check_health(fault.target, fault.kind == FaultKind::node_upgrade);
    schedule(events_.now() + health_interval, Kind::poll_health, fault_index, upgrades);
}

// `completes`: the previous process gets SIGTERM once the new one is healthy; false where the new one is to
// die.
void OperatorActions::check_health(std::uint32_t node, bool completes) {
    const ProcessSlot& slot = nodes_.slot(node);
    Upgrade& upgrade = upgrades_[node];
    if (!slot.previous.process || !slot.current.process || upgrade.healthy_at != 0) return;
    const Ticks now = events_.now();
    if (now - upgrade.began <= healthy_within) {
        call(node, "GET /healthcheck", [this, node, upgrades = slot.upgrades, completes](const auto& answer) {
            if (answer.status == 200 && nodes_.slot(node).upgrades == upgrades) on_healthy(node, completes);
        });
        return;
    }
    if (!starved(node) && invariants_.was_undisturbed(node, upgrade.began, now))
        invariants_.report("upgrade",
                           "the new process of node " + std::to_string(node) + " was not healthy within 6 s");
    upgrade.healthy_at = now;
}

void OperatorActions::on_healthy(std::uint32_t node, bool completes) {
    const ProcessSlot& slot = nodes_.slot(node);
    if (upgrades_[node].healthy_at != 0 || !slot.previous.process) return;
    upgrades_[node].healthy_at = events_.now();
    if (!completes) return;
    slot.previous.process->signal(SIGTERM);
    schedule(events_.now() + kill_delay, Kind::kill_previous, node, slot.upgrades);
}

void OperatorActions::fail_upgrade(std::uint32_t node) {
    const ProcessSlot& slot = nodes_.slot(node);
    if (!slot.previous.process || !slot.current.process || !slot.previous.process->runs()) return;
    nodes_.abort_upgrade(node);
    call(node, "POST /healthcheck/ok", [](const auto&) {});
    upgrades_[node].healthy_at = 0;
}

// ---- drain

void OperatorActions::drain(const Fault& fault, std::uint64_t fault_index) {
    ProcessSlot& slot = nodes_.slot(fault.target);
    if (!nodes_.is_single_process(fault.target, slot.incarnation, slot.upgrades) || slot.drained) return;
    slot.drained = true;
    invariants_.node_drained(fault.target, true);
    call(fault.target, "POST /healthcheck/fail", [](const auto&) {});
    schedule(events_.now() + drained_within, Kind::check_drained, fault_index, slot.incarnation);
}

// By now the front sends the node no clients, and the node holds none unless it passes packets through.
void OperatorActions::check_drained(std::uint64_t fault_index, std::uint32_t incarnation) {
    const Fault& fault = scenario_.faults[fault_index];
    const ProcessSlot& slot = nodes_.slot(fault.target);
    const Ticks now = events_.now();
    if (!slot.current.node || slot.incarnation != incarnation) return;
    const bool same = nodes_.is_single_process(fault.target, incarnation, slot.upgrades) &&
                      invariants_.was_undisturbed(fault.target, now - drained_within - second, now);
    if (same && slot.drained && !starved(fault.target)) {
        invariants_.judge_drained(fault.target);
        call(fault.target, "GET /healthcheck", [this, node = fault.target](const auto& answer) {
            if (answer.status == 200 && nodes_.slot(node).drained)
                invariants_.report(
                    "drained", "node " + std::to_string(node) + " is still healthy 4 s after the drain call");
        });
    }
    schedule(now + fault.duration, Kind::end_drain, fault_index, incarnation);
}

void OperatorActions::end_drain(const Fault& fault, std::uint32_t incarnation) {
    ProcessSlot& slot = nodes_.slot(fault.target);
    if (!slot.current.node || slot.incarnation != incarnation || !slot.drained) return;
    slot.drained = false;
    invariants_.node_drained(fault.target, false);
    call(fault.target, "POST /healthcheck/ok", [](const auto&) {});
    const auto check = [this, node = fault.target, incarnation, upgrades = slot.upgrades] {
        call(node, "GET /healthcheck", [this, node, incarnation, upgrades](const auto& answer) {
            const Ticks now = events_.now();
            if (answer.status != 200 && nodes_.is_single_process(node, incarnation, upgrades) &&
                !nodes_.slot(node).drained && !starved(node) &&
                invariants_.was_undisturbed(node, now - undrained_within - second, now))
                invariants_.report("drained", "node " + std::to_string(node) +
                                                  " is not healthy 2 s after the end of its drain");
        });
    };
    undrained_checks_.emplace_back(check);
    schedule(events_.now() + undrained_within, Kind::check_undrained, undrained_checks_.size() - 1);
}

void OperatorActions::on_event(std::uint64_t token) {
    const auto event = decode<Kind>(token);
    const auto node = static_cast<std::uint32_t>(event.index);
    switch (event.kind) {
        case Kind::read_metrics:
            return read_metrics(node);
        case Kind::poll_health:
            return poll_health(event.index, event.incarnation);
        case Kind::kill_previous:
            if (nodes_.slot(node).upgrades == event.incarnation) nodes_.end_previous(node);
            return;
        case Kind::check_drained:
            return check_drained(event.index, event.incarnation);
        case Kind::end_drain:
            return end_drain(scenario_.faults[event.index], event.incarnation);
        case Kind::check_undrained:
            return undrained_checks_[event.index]();
    }
}

}  // namespace lemonstair::simulation
