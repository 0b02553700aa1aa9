// One tunnel: a client's connection and an endpoint's, the bytes buffered between them, and its state.
#pragma once

#include <array>
#include <cstdint>
#include <string_view>

#include "balance/balance.h"
#include "metrics/tunnel_counters.h"
#include "net/buffer_pool.h"
#include "net/loop.h"

namespace lemonstair::tunnel {

// The life of a tunnel. Every change goes through TunnelRegistry::transition_to.
enum class TunnelState : std::uint8_t {
    free,                // the slot is not in use
    reading_request,     // the client's request line is awaited
    awaiting_placement,  // the balancer chooses an endpoint, or the next one after a failed attempt
    connecting,          // an attempt: its connection is coming up
    sending_request,     // an attempt: the request line is being written
    awaiting_answer,     // an attempt: the endpoint's first line is awaited
    open,                // bytes are relayed both ways
    migrating,           // open, until both directions stand between two lines; then the client is sent away
    transferring,        // frozen, on its way to another process of this node
    closing              // the final line is on its way out, or was written and the peers have yet to close
};

// For log lines; tools/tunnel_ledger.py reads them.
std::string_view name_of(TunnelState state);

// Whether the client has sent its request and has no final answer yet.
constexpr bool awaits_answer(TunnelState state) {
    return state == TunnelState::awaiting_placement || state == TunnelState::connecting ||
           state == TunnelState::sending_request || state == TunnelState::awaiting_answer;
}

// Whether a connection to an endpoint is being set up.
constexpr bool has_attempt(TunnelState state) {
    return awaits_answer(state) && state != TunnelState::awaiting_placement;
}

// One direction of a tunnel, between two reads.
struct Direction {
    net::Buffer buffer;                    // read from the source and not yet taken by the target
    std::uint32_t partial_line_bytes = 0;  // read of the current line; 0: between two lines
    bool source_ended = false;             // the source has ended its sending
    bool end_forwarded = false;            // the target was told so
};

// All times are of the loop's clock; 0 stands for "none".
struct Tunnel {
    net::Socket client, endpoint;
    net::Buffer request_buffer;      // the request line and what came behind it, until the tunnel opens
    Direction upstream, downstream;  // client to endpoint; endpoint to client
    std::uint64_t id_hash = 0;       // of the id that the client gave; never 0 once it was read
    Ticks deadline = 0;              // the client's final answer is due by then
    Ticks attempt_started = 0, attempt_deadline = 0;
    Ticks state_since = 0;               // when the current state began
    Ticks state_deadline = 0;            // when the current state has lasted too long
    Ticks last_input_at = 0;             // the last bytes of the request; once open, the last line of the
                                         // endpoint that was not a load report
    Ticks unanswered_since = 0;          // since when a line of the endpoint is awaited
    std::uint32_t endpoint_index = 0;    // in the endpoint directory
    std::uint32_t unanswered_lines = 0;  // of the client, that no line of the endpoint has followed
    std::uint32_t discarded_bytes = 0;   // that came after the final line
    std::uint32_t traffic_class = 0;     // valid once the request was read
    int attempts = 0;
    int readiness_checks = 0;
    std::array<char, 32> line_prefix{};  // of the endpoint's current line: all that a known word needs
    std::uint8_t line_prefix_size = 0;
    TunnelState state = TunnelState::free;
    metrics::FinalAnswer final_answer = metrics::FinalAnswer::none;
    bool answer_uncounted = false;  // the request was read; its final answer is yet to be counted
    Outcome outcome = Outcome::connection_lost;  // reported to the balancer when the tunnel ends
    bool resuming = false;          // open at its endpoint before the start: goes there without a decision
    bool reject_only = false;       // accepted without descriptors to serve it, so that it can be rejected
    bool tracked = false;           // by the balancer
    bool not_transferable = false;  // the other process of this node cannot take it
    bool migration_forced = false;  // the endpoint does not answer: the client is migrated without waiting
};

}  // namespace lemonstair::tunnel
