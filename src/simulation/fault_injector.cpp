#include "simulation/fault_injector.h"

#include <algorithm>

#include "simulation/timed_event.h"

namespace lemonstair::simulation {

namespace {

constexpr Ticks second = 10000;
// A draining server must not stop before the nodes have had time to learn of the drain.
constexpr Ticks min_drain_duration = 3 * second, restart_after_drain = 2 * second;

}  // namespace

void FaultInjector::schedule(Ticks when, Kind kind, std::uint64_t index) {
    events_.schedule(when, *this, encode(TimedEvent<Kind>{kind, index}));
}

void FaultInjector::schedule_all() {
    const Ticks start = events_.start_time(), last = start + scenario_.duration;
    for (std::uint64_t i = 0; i < scenario_.faults.size(); ++i) {
        const Fault& fault = scenario_.faults[i];
        schedule(start + fault.start, Kind::begin, i);
        if (fault_info(fault.kind).has_duration)
            schedule(std::min(last, start + fault.start + fault.duration), Kind::end, i);
    }
}

void FaultInjector::begin(const Fault& fault, std::uint64_t index) {
    fixture_.environment().note("fault", index, fault.target, fault_info(fault.kind).name);
    if (fault.kind == FaultKind::server_drain)
        schedule(events_.now() + std::max(fault.duration, min_drain_duration), Kind::drain_step, index);
    if (!fixture_.begin_fault(fault)) nodes_.begin_node_fault(fault, index);
}

void FaultInjector::on_event(std::uint64_t token) {
    const auto event = decode<Kind>(token);
    const Fault& fault = scenario_.faults[event.index];
    switch (event.kind) {
        case Kind::begin:
            return begin(fault, event.index);
        case Kind::end:
            if (!nodes_.end_node_fault(fault)) fixture_.end_fault(fault);
            return;
        case Kind::drain_step:
            if (fixture_.advance_drain(fault))
                schedule(events_.now() + restart_after_drain, Kind::drain_step, event.index);
            return;
    }
}

}  // namespace lemonstair::simulation
