/// The last stage of a tunnel: its final answer, the orderly close of both connections, and the report of its
/// end to the balancer.
#pragma once

#include <string_view>

#include "tunnel/tunnel_registry.h"

namespace lemonstair::tunnel {

/// The stage for TunnelState::closing. Its functions may be called from any other stage.
class Completion {
  public:
    explicit Completion(TunnelRegistry& registry) : registry_(registry) {}
    /// Final answer to a waiting client: nothing was done, and it may retry. `retry_after`: after how
    /// long; less than 1 ms: no time is named.
    void reject(TunnelId id, Ticks retry_after);
    /// Final answer to a waiting client: the request has failed, and may have been executed.
    void fail(TunnelId id);
    /// The client has not sent a complete request in time. It is rejected; if it has sent a readiness check,
    /// the connection is closed without an answer.
    void expire_request(TunnelId id);
    /// The client disconnected while it waited for its answer.
    void on_client_disconnected(TunnelId id);
    /// The client violated the protocol: closes the tunnel with an error.
    void reject_protocol_error(TunnelId id);
    /// Of the connections that were accepted for this purpose, closes the one that has been idle for longest:
    /// one that waits for its request, or else one that is closing. Returns false if there is none that has
    /// been idle for a minimum time.
    bool evict_idle_connection(AcceptedFor purpose);
    /// Reports the end of an open tunnel to the balancer, once.
    void report_end(TunnelId id, Outcome outcome);
    /// Writes the final line, then closes gracefully.
    void send_final_line(TunnelId id, std::string_view line);
    /// To be called when all bytes are written: shuts down both connections for writing, then discards input
    /// until the peers have closed. Closing with unread input would send a reset, which can overtake the last
    /// line.
    void close_gracefully(TunnelId id);
    /// Closes both connections at once.
    void close_now(TunnelId id);
    void on_tunnel_ready(TunnelId id, Side side, short events);
    void on_tunnel_timer(TunnelId id);

  private:
    struct IdleConnection {
        TunnelId id = 0;
        Ticks idle_since = 0;
        bool closing = false;
    };
    bool find_idle(AcceptedFor purpose, IdleConnection& longest);
    bool input_arrived(const IdleConnection& connection, Ticks now);
    void answer_client(TunnelId id, std::string_view line);
    void begin_closing(TunnelId id);
    static void shutdown_writes(Tunnel& tunnel);
    static void discard_input(Tunnel& tunnel, net::Socket& socket);
    void report_client_disconnected(TunnelId id);

    TunnelRegistry& registry_;
    Ticks evicted_at_ = 0;
};

}  // namespace lemonstair::tunnel
