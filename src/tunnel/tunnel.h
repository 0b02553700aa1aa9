/// One tunnel: the connections of a client and of an endpoint, the bytes buffered between them, and the state
/// of the tunnel.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

#include "balance/balance.h"
#include "metrics/tunnel_counters.h"
#include "net/buffer_pool.h"
#include "net/loop.h"

namespace lemonstair::tunnel {

/// The states of a tunnel. Only TunnelRegistry::transition_to changes them.
enum class TunnelState : std::uint8_t {
    free,                // the slot is not in use
    reading_request,     // waits for the client's request line
    awaiting_id,         // waits for the other process of this node to agree that the request claims its id
    awaiting_placement,  // waits for the balancer to choose an endpoint, also after a failed attempt
    connecting,          // attempt: the connection to the endpoint is being established
    sending_request,     // attempt: the request line is being written
    awaiting_answer,     // attempt: waits for the first line of the endpoint
    open,                // bytes are relayed in both directions
    migrating,           // still relays, until both directions are at the end of a line; then the client is
                         // told to reconnect elsewhere
    transferring,        // suspended while another process of this node takes it over
    closing              // the final line is being written, or was written and the peers have not closed yet
};

/// The name in log lines, which tools/tunnel_ledger.py parses.
std::string_view name_of(TunnelState state);

/// Whether an attempt at an endpoint is in progress.
constexpr bool has_attempt(TunnelState state) {
    return state == TunnelState::connecting || state == TunnelState::sending_request ||
           state == TunnelState::awaiting_answer;
}

/// Whether the client has sent its request and has no final answer yet.
constexpr bool awaits_answer(TunnelState state) {
    return state == TunnelState::awaiting_id || state == TunnelState::awaiting_placement ||
           has_attempt(state);
}

/// One direction of a tunnel: from its source, whose bytes are read, to its target.
struct Direction {
    net::Buffer buffer;                    // read from the source, not yet written to the target
    std::uint32_t partial_line_bytes = 0;  // of the current line, read so far; 0: at the end of a line
    bool source_ended = false;             // the source has closed its sending side
    bool end_forwarded = false;            // the target's connection was shut down for writing
    bool whole_lines = false;              // the beginning of a line is held back until the line is complete

    /// The beginning of the current line at the end of the buffer, in bytes, that is held back. A line whose
    /// first bytes have been written is not held back, nor what the source has sent before its end.
    std::size_t held_bytes() const {
        const bool nothing_written = partial_line_bytes <= buffer.view().size();
        return whole_lines && !source_ended && nothing_written ? partial_line_bytes : 0;
    }
    /// What may be written to the target now.
    std::string_view writable() const {
        const std::string_view buffered = buffer.view();
        return buffered.substr(0, buffered.size() - held_bytes());
    }
    /// Whether the target has all complete lines and no part of another one.
    bool target_between_lines() const { return writable().empty() && held_bytes() == partial_line_bytes; }
};

/// Times are on the event loop's clock; 0 stands for "none".
struct Tunnel {
    net::Socket client, endpoint;
    net::Buffer request_buffer;  // the request line and the bytes after it, until the tunnel opens
    Direction upstream;          // client to endpoint
    // Endpoint to client. An endpoint may hang in the middle of a line, and its client can be told to
    // reconnect only between two lines.
    Direction downstream{.buffer = {}, .whole_lines = true};
    std::uint64_t id_hash = 0;  // of the client's tunnel id; not 0 once the request was read
    Ticks deadline = 0;         // by which the client must have its final answer
    Ticks attempt_started = 0, attempt_deadline = 0;
    Ticks state_since = 0;             // when the current state began
    Ticks state_deadline = 0;          // when the current state times out
    Ticks last_input_at = 0;           // of the last bytes of the request; once open, of the endpoint's last
                                       // line that was not a load report
    Ticks unanswered_since = 0;        // since when the client has waited for a line of the endpoint
    std::uint32_t endpoint_index = 0;  // in the endpoint directory
    std::uint32_t unanswered_lines = 0;  // lines of the client that the endpoint has not answered yet
    std::uint32_t discarded_bytes = 0;   // received after the final line and dropped
    std::uint32_t traffic_class = 0;     // index into the configured classes; valid once the request was read
    int attempts = 0;
    int readiness_checks = 0;
    std::array<char, 32> line_prefix{};  // start of the endpoint's current line, enough to recognize it
    std::uint8_t line_prefix_size = 0;
    TunnelState state = TunnelState::free;
    metrics::FinalAnswer final_answer = metrics::FinalAnswer::none;
    bool answer_uncounted = false;               // the request was read, its final answer is not counted yet
    Outcome outcome = Outcome::connection_lost;  // reported to the balancer at the end of the tunnel
    bool may_have_run = false;                   // an endpoint may have executed an earlier attempt
    bool resuming = false;          // already open at its endpoint: goes there without asking the balancer
    bool reject_only = false;       // accepted only to be told that the node is full: there are too few
                                    // descriptors to serve it
    bool tracked = false;           // the balancer keeps state for this tunnel
    bool not_transferable = false;  // the other process of this node could not take it over
    bool migration_forced = false;  // the endpoint does not respond, or a line does not end: the client is
                                    // migrated even if a line of either side is not complete
};

}  // namespace lemonstair::tunnel
