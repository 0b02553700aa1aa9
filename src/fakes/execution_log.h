// Interface to which the fakes report what they see on the wire, so that it can be checked independently of
// the nodes. Times are tenths of a ms.
#pragma once

#include <cstdint>
#include <string_view>

#include "simnet/streams.h"

namespace lemonstair::fakes {

using simnet::End;
using simnet::Machine;
using simnet::Ticks;

// One tunnel of a client; its id on the wire is `t` and this number in hex.
using TunnelId = std::uint32_t;

// Answer to a first line (none: no answer yet). move is not an answer: it ends an open tunnel.
enum class Answer : std::uint8_t { none, up, bye, busy, error, move };

// Whether a request may run twice, and within which scope its idempotency key is known.
enum class Idempotency : std::uint8_t { idempotent, idempotent_with_key, non_idempotent };
enum class DeduplicationScope : std::uint8_t { all, zone, cell };

// Traffic class of the settings: latency objective, client timeout, deduplication window.
struct Profile {
    std::string_view name;
    Idempotency effect = Idempotency::idempotent;
    DeduplicationScope scope = DeduplicationScope::all;
    Ticks latency_objective = 5000, client_timeout = 30000, window = 50000;
};

// The first line that a client has sent on a connection.
struct TunnelRequest {
    TunnelId tunnel = 0;
    TunnelId previous = 0;  // the client's tunnel before this one; 0: its first
    std::uint32_t node = 0;
    std::uint32_t profile = 0;
    Ticks client_timeout = 0;  // as sent in the line
    bool mid_flow = false;     // an attempt to continue a tunnel that is open at a server
    bool slow_reader = false;  // the client leaves bytes unread for seconds
    End end;
};

// Callbacks of the fakes, in the order of the events.
class ExecutionLog {
  public:
    ExecutionLog() = default;
    ExecutionLog(const ExecutionLog&) = delete;
    ExecutionLog& operator=(const ExecutionLog&) = delete;
    virtual ~ExecutionLog() = default;

    // ---- clients
    virtual void tunnel_requested(const TunnelRequest& what) = 0;
    // The last byte of the request has reached the machine of the node.
    virtual void request_delivered(TunnelId tunnel) = 0;
    // Also called for MOVE on an open tunnel. written_at: when the node sent the answer.
    virtual void request_answered(TunnelId tunnel, Answer answer, Ticks written_at) = 0;
    // The client received bytes after a final answer, which is BYE, BUSY, an error or MOVE.
    virtual void data_after_final(TunnelId tunnel, std::string_view text) = 0;
    // The client left on its own initiative.
    virtual void client_left(TunnelId tunnel) = 0;
    // The client gave up: it had no answer a grace period after its timeout.
    virtual void client_timed_out(TunnelId tunnel) = 0;
    // The connection was closed or reset without MOVE. written: when the node sent the last bytes
    // that were received.
    virtual void connection_cut(TunnelId tunnel, bool by_reset, Ticks written) = 0;
    // Lines on an open tunnel have not been answered for this long.
    virtual void connection_silent(TunnelId tunnel, Ticks span) = 0;
    // A misbehaving client received neither an error or BUSY nor the end of its connection in time.
    virtual void misbehaving_client_unanswered(std::uint32_t node, std::string_view how) = 0;

    // ---- servers
    // A complete first line; its first byte was sent at `first`.
    virtual void setup_received(TunnelId tunnel, std::uint32_t server, End end, Ticks first,
                                bool mid_flow) = 0;
    // The server has decided on its answer to a setup. The answer itself may still be queued.
    virtual void setup_answered(TunnelId tunnel, std::uint32_t server, Answer answer) = 0;
    // A mid-flow setup reached a server that does not hold its tunnel.
    virtual void mid_flow_unknown(TunnelId tunnel, std::uint32_t server) = 0;
    // The server ended the connection of the tunnel, or its process died.
    virtual void server_ended(TunnelId tunnel, std::uint32_t server) = 0;
    // The server went down because its demand (in cores) was above the limit for too long in slow start.
    virtual void server_overloaded(std::uint32_t server, double demand, double overload_limit) = 0;
    // The server received a first line that is not valid in its protocol.
    virtual void invalid_line(std::uint32_t server, std::string_view line) = 0;

    // ---- discovery
    // Discovery has this state of the server from now on.
    virtual void endpoint_state_published(std::uint32_t server, bool active) = 0;
    // Whether nodes can reach discovery and are answered in full, from now on.
    virtual void discovery_reachable(bool reachable) = 0;
    // An endpoint list with this state of the server has reached the machine of a node.
    virtual void endpoint_state_delivered(std::uint32_t node, std::uint32_t server, bool active) = 0;

    // ---- both
    // A line was lost, duplicated, changed or overtaken by another one. what: the kind of fault.
    virtual void line_corrupted(TunnelId tunnel, std::string_view what, std::string_view line) = 0;
};

}  // namespace lemonstair::fakes
