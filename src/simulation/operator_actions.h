// Operators in a simulation: they upgrade and drain nodes and read their metrics each second. Reports nodes
// that do not answer as the rules require. Times are in tenths of a ms.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

#include "fakes/admin_client.h"
#include "simulation/simulated_nodes.h"

namespace lemonstair::simulation {

// Does nothing in a scenario without operators.
class OperatorActions final : public simnet::EventTarget {
  public:
    // In a scenario with operators, adds their machine and schedules the first reading of metrics.
    OperatorActions(const Scenario& scenario, simnet::EventQueue& events, simnet::Network& network,
                    fakes::TestEnvironment& environment, Invariants& invariants, SimulatedNodes& nodes);

    // Upgrades the node as the platform does: the previous process gets SIGTERM once the new one is healthy.
    // `fault_index`: of the fault in Scenario::faults.
    void upgrade(std::uint32_t node, std::uint64_t fault_index);
    // Kills the new process of an upgrade while the previous one is still running.
    void fail_upgrade(std::uint32_t node);
    // Drains the node; the drain ends 4 s and the fault's duration later.
    void drain(const Fault& fault, std::uint64_t fault_index);
    // Opens connections that send nothing or half a request.
    void open_idle_connections(std::uint32_t node, int count);
    void on_event(std::uint64_t token) override;

  private:
    enum class Kind : std::uint8_t {
        read_metrics,
        poll_health,
        kill_previous,
        check_drained,
        end_drain,
        check_undrained
    };
    struct Upgrade {
        Ticks began = 0, healthy_at = 0;  // 0: not yet
    };
    void schedule(Ticks when, Kind kind, std::uint64_t index, std::uint32_t incarnation = 0);
    void call(std::uint32_t node, const char* line, fakes::AdminClient::Callback callback);
    bool starved(std::uint32_t node) const;
    void read_metrics(std::uint32_t node);
    void poll_health(std::uint64_t fault_index, std::uint32_t upgrades);
    void check_health(std::uint32_t node, bool completes);
    void on_healthy(std::uint32_t node, bool completes);
    void check_drained(std::uint64_t fault_index, std::uint32_t incarnation);
    void end_drain(const Fault& fault, std::uint32_t incarnation);

    const Scenario& scenario_;
    simnet::EventQueue& events_;
    Invariants& invariants_;
    SimulatedNodes& nodes_;
    std::unique_ptr<fakes::AdminClient> client_;  // null in a scenario without operators
    std::vector<Upgrade> upgrades_;               // by node: the last one
    std::vector<std::function<void()>> undrained_checks_;
};

}  // namespace lemonstair::simulation
