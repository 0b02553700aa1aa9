// What a node does that others pay for, counted since its start: datagrams by what they say, probes, calls to
// discovery, setups by their ending. Once a second the node writes what was added in one line.
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
    std::uint64_t datagrams = 0;                // to one node each
    peer::BytesByKind peer_bytes{};             // by kind, once for each node that is to hear them
    std::uint64_t probes = 0, probe_lines = 0;  // asked; connections opened for them
    std::uint64_t calls = 0, calls_failed = 0;  // to discovery
    std::uint64_t call_waited_ms = 0;           // for its answers
    std::uint64_t setups = 0;
    std::array<std::uint64_t, outcome_count> ended{};  // setups; opened is one of them
    std::array<std::uint64_t, reasons>
        because{};  // final answers that open nothing, and attempts not written
    Violations violations{};
    std::uint64_t processor_us = 0;

    void told(std::span<const std::uint8_t> bytes, std::size_t hearers) {
        datagrams += hearers;
        peer::add_bytes_by_kind(bytes, hearers, peer_bytes);
    }
    void explained(Reason reason) { ++because[static_cast<std::size_t>(reason)]; }
    void setup_ended(Outcome ending) { ++ended[static_cast<std::size_t>(ending)]; }
    bool operator==(const ResourceCounters&) const = default;
};

// The figures of `now` that are above those of `before`, as "name=more" with a blank before each.
void write_added(std::ostream& to, const ResourceCounters& now, const ResourceCounters& before);

}  // namespace lemonstair::metrics
