// Begins and ends the faults of a scenario at their times, in the simulation and the process harness. The
// fixture applies faults of servers, discovery, clients and the network; the owner of the nodes' processes
// applies faults of those. Times are in tenths of a ms.
#pragma once

#include <cstdint>
#include <vector>

#include "simnet/event_queue.h"
#include "simulation/fixture.h"
#include "simulation/scenario.h"

namespace lemonstair::simulation {

// Applies faults of the nodes' processes; implemented by their owner.
class NodeFaults {
  public:
    NodeFaults() = default;
    NodeFaults(const NodeFaults&) = delete;
    NodeFaults& operator=(const NodeFaults&) = delete;
    virtual ~NodeFaults() = default;
    // `index`: of the fault in Scenario::faults.
    virtual void begin_node_fault(const Fault& fault, std::uint64_t index) = 0;
    // Returns false for a fault that is not of a node's process or has nothing to undo.
    virtual bool end_node_fault(const Fault& fault) = 0;
};

// Schedules the faults of one scenario on the event queue.
class FaultInjector final : public simnet::EventTarget {
  public:
    FaultInjector(const Scenario& scenario, simnet::EventQueue& events, Fixture& fixture, NodeFaults& nodes)
        : scenario_(scenario), events_(events), fixture_(fixture), nodes_(nodes) {}
    // Schedules the start and the end of every fault, the end no later than that of the scenario.
    void schedule_all();
    void on_event(std::uint64_t token) override;

  private:
    enum class Kind : std::uint8_t { begin, end, drain_step };
    void schedule(Ticks when, Kind kind, std::uint64_t index);
    void begin(const Fault& fault, std::uint64_t index);

    const Scenario& scenario_;
    simnet::EventQueue& events_;
    Fixture& fixture_;
    NodeFaults& nodes_;
};

}  // namespace lemonstair::simulation
