#include "metrics/resource_counters.h"

#include <string>
#include <string_view>

namespace lemonstair::metrics {

namespace {

constexpr std::array<std::string_view, outcome_count> ending_names{
    "opened", "error", "full", "timed_out", "unreachable", "broken", "called_off", "not_sent", "withdrawn"};

}  // namespace

void write_added(std::ostream& to, const ResourceCounters& now, const ResourceCounters& before) {
    const auto write = [&](std::string_view name, std::uint64_t a, std::uint64_t b) {
        if (a != b) to << ' ' << name << '=' << a - b;
    };
    write("setups", now.setups, before.setups);
    for (std::size_t i = 0; i < outcome_count; ++i) write(ending_names[i], now.ended[i], before.ended[i]);
    for (std::size_t i = 0; i < reasons; ++i)
        write("because_" + std::string(name_of(static_cast<Reason>(i))), now.because[i], before.because[i]);
    for (std::size_t i = 0; i < invariant_count; ++i)
        write("violated_" + std::string(name_of(static_cast<Invariant>(i))), now.violations[i],
              before.violations[i]);
    write("probes", now.probes, before.probes);
    write("probe_lines", now.probe_lines, before.probe_lines);
    write("calls", now.calls, before.calls);
    write("calls_failed", now.calls_failed, before.calls_failed);
    write("call_waited_ms", now.call_waited_ms, before.call_waited_ms);
    write("datagrams", now.datagrams, before.datagrams);
    for (std::size_t i = 0; i < now.peer_bytes.size(); ++i)
        write(peer::kind_name(i), now.peer_bytes[i], before.peer_bytes[i]);
    write("processor_us", now.processor_us, before.processor_us);
}

}  // namespace lemonstair::metrics
