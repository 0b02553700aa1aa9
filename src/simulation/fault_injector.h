// Begins and ends the faults of a scenario at their times, for the simulation and the process harness alike.
// What meets servers, discovery or the network is done by the fixture; what meets a node's own process is
// left to whoever runs the processes. Times are tenths of a ms.
#pragma once

#include <cstdint>
#include <vector>

#include "simnet/event_queue.h"
#include "simulation/fixture.h"
#include "simulation/scenario.h"

namespace lemonstair::simulation {

// Faults of the nodes' processes, done by whoever runs them.
class NodeFaults {
  public:
    NodeFaults() = default;
    NodeFaults(const NodeFaults&) = delete;
    NodeFaults& operator=(const NodeFaults&) = delete;
    virtual ~NodeFaults() = default;
    // `index`: the fault's place in the scenario.
    virtual void begin_node_fault(const Fault& fault, std::uint64_t index) = 0;
    // False: it is no fault of a node's process, or one that needs no end.
    virtual bool end_node_fault(const Fault& fault) = 0;
};

class FaultInjector final : public simnet::EventTarget {
  public:
    FaultInjector(const Scenario& scenario, simnet::EventQueue& events, Fixture& fixture, NodeFaults& nodes)
        : scenario_(scenario), events_(events), fixture_(fixture), nodes_(nodes) {}
    // Schedules begin and end of every fault; all are over when the scenario's span is.
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
