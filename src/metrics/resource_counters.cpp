#include "metrics/resource_counters.h"

#include <string>
#include <string_view>

namespace lemonstair::metrics {

namespace {

constexpr std::array<std::string_view, outcome_count> outcome_names{
    "opened",          "error",     "overloaded", "timed_out", "unreachable",
    "connection_lost", "cancelled", "not_sent",   "withdrawn"};

}  // namespace

void write_difference(std::ostream& out, const ResourceCounters& now, const ResourceCounters& before) {
    const auto write = [&](std::string_view name, std::uint64_t current, std::uint64_t earlier) {
        if (current != earlier) out << ' ' << name << '=' << current - earlier;
    };
    write("setups", now.setups, before.setups);
    for (std::size_t i = 0; i < outcome_count; ++i)
        write(outcome_names[i], now.attempts[i], before.attempts[i]);
    for (std::size_t i = 0; i < reason_count; ++i)
        write("reason_" + std::string(name_of(static_cast<Reason>(i))), now.by_reason[i],
              before.by_reason[i]);
    for (std::size_t i = 0; i < invariant_count; ++i)
        write("violated_" + std::string(name_of(static_cast<Invariant>(i))), now.violations[i],
              before.violations[i]);
    write("health_checks", now.health_checks, before.health_checks);
    write("health_check_connections", now.health_check_connections, before.health_check_connections);
    write("discovery_requests", now.discovery_requests, before.discovery_requests);
    write("discovery_failures", now.discovery_failures, before.discovery_failures);
    write("discovery_wait_ms", now.discovery_wait_ms, before.discovery_wait_ms);
    write("datagrams", now.gossip_datagrams, before.gossip_datagrams);
    for (std::size_t i = 0; i < now.gossip_bytes.size(); ++i)
        write(peer::kind_name(i), now.gossip_bytes[i], before.gossip_bytes[i]);
    write("processor_us", now.processor_us, before.processor_us);
}

}  // namespace lemonstair::metrics
