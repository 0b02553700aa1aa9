// The last stage: a tunnel's final answer, the orderly close of both connections, and the report of its end
// to the balancer.
#pragma once

#include <string_view>

#include "tunnel/tunnel_registry.h"

namespace lemonstair::tunnel {

// The stage of tunnels in TunnelState::closing.
class Completion {
  public:
    explicit Completion(TunnelRegistry& registry) : registry_(registry) {}
    // Final answers to a client that waits: "nothing was done, try again" (after `retry_after`; 0: no
    // advice), and "failed, it may have been done".
    void reject(TunnelId id, Ticks retry_after);
    void fail(TunnelId id);
    // The client has not sent a whole request in its time. One that has sent a readiness check is told
    // nothing.
    void expire_request(TunnelId id);
    // The client closed while it waited for its answer.
    void on_client_disconnected(TunnelId id);
    // The client sent what no client may send: closed with an error.
    void reject_protocol_error(TunnelId id);
    // Closes the connection that has been idle for longest: one whose client has sent nothing yet, else one
    // that is closing. False where there is none that has had a moment to send or to close.
    bool evict_idle_connection();
    // Reports the end of an open tunnel to the balancer, once.
    void report_end(TunnelId id, Outcome outcome);
    // Writes the final line, then closes gracefully.
    void send_final_line(TunnelId id, std::string_view line);
    // All bytes are written: ends both sending sides, and reads what still comes until the peers have closed.
    // Closing with unread input would make a reset, and that can overtake the last line.
    void close_gracefully(TunnelId id);
    // Both connections at once.
    void close_now(TunnelId id);
    void on_tunnel_ready(TunnelId id, Side side, short events);
    void on_tunnel_timer(TunnelId id);

  private:
    struct IdleConnection {
        TunnelId id = 0;
        Ticks idle_since = 0;
        bool closing = false;
    };
    bool find_idle(IdleConnection& longest);
    void answer_client(TunnelId id, std::string_view line);
    void begin_closing(TunnelId id);
    static void shutdown_writes(Tunnel& tunnel);
    static void discard_input(Tunnel& tunnel, net::Socket& socket);
    void report_client_disconnected(TunnelId id);

    TunnelRegistry& registry_;
    Ticks evicted_at_ = 0;
};

}  // namespace lemonstair::tunnel
