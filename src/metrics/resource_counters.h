/// Counters, since a node's start, of its processor time and of what it costs others: gossip, health checks,
/// requests to discovery and setup attempts. Once a second the node logs the increments; tools/fleet_costs.py
/// sums these lines over a fleet.
#pragma once

#include <array>
#include <cstdint>
#include <ostream>
#include <span>

#include "balance/balance.h"
#include "metrics/violations.h"
#include "peer/codec.h"

namespace lemonstair::metrics {

struct ResourceCounters {
    std::uint64_t gossip_datagrams = 0;  // a message counts once for each receiver
    peer::BytesByKind gossip_bytes{};    // by kind of item; a message counts once for each receiver
    std::uint64_t health_checks = 0, health_check_connections = 0;  // sent, and connections opened for them
    std::uint64_t discovery_requests = 0, discovery_failures = 0;
    std::uint64_t discovery_wait_ms = 0;                  // from a request to its response
    std::uint64_t setups = 0;                             // attempts begun
    std::array<std::uint64_t, outcome_count> attempts{};  // ended, by Outcome
    // By Reason: final answers other than an opened tunnel, and attempts withdrawn before anything was
    // written.
    std::array<std::uint64_t, reason_count> by_reason{};
    Violations violations{};
    std::uint64_t processor_us = 0;

    void count_gossip(std::span<const std::uint8_t> message, std::size_t receivers) {
        gossip_datagrams += receivers;
        peer::add_bytes_by_kind(message, receivers, gossip_bytes);
    }
    void count_reason(Reason reason) { ++by_reason[static_cast<std::size_t>(reason)]; }
    void count_attempt(Outcome outcome) { ++attempts[static_cast<std::size_t>(outcome)]; }
    void count_violation(Invariant invariant) { ++violations[static_cast<std::size_t>(invariant)]; }
    bool operator==(const ResourceCounters&) const = default;
};

/// Writes " name=difference" for each counter that differs between `now` and the earlier value `before`.
void write_difference(std::ostream& out, const ResourceCounters& now, const ResourceCounters& before);

}  // namespace lemonstair::metrics
