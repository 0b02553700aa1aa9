// Fault plan: what the fault shim does to one process. It travels in an environment variable as "name=value"
// pairs with commas; a name that is left out keeps its default, which does nothing.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace lemonstair::soak {

// The variable that the shim reads.
constexpr const char* plan_variable = "LEMONSTAIR_FAULT_PLAN";

struct FaultPlan {
    std::uint64_t seed = 1;
    // The wall clock; the monotonic one is left alone.
    std::int64_t wall_offset_ms = 0;      // from the start of the process
    std::int64_t wall_step_after_ms = 0;  // of its run; 0: no step
    std::int64_t wall_step_ms = 0;
    // Calls fail, each with this probability, within a window of the run.
    std::int64_t calls_from_ms = 0, calls_until_ms = 0;
    double accept = 0, socket = 0, connect = 0, poll = 0, send = 0, recv = 0, file = 0;
    double short_io = 0;  // the whole run: a read or write takes less than it could
    // The process stands still after it has read the monotonic clock: for up to so long, so often.
    std::int64_t hold_every_ms = 0, hold_ms = 0;
};

std::string write_plan(const FaultPlan& plan);
// What cannot be read is passed over: the shim runs inside a process that it must not end.
FaultPlan read_plan(std::string_view text);

}  // namespace lemonstair::soak
