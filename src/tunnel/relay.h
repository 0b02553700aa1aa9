/// Relays the bytes of open tunnels in both directions, tracks the lines that they consist of, and migrates
/// clients.
#pragma once

#include <string_view>

#include "tunnel/completion.h"
#include "tunnel/endpoint_monitor.h"
#include "tunnel/tunnel_registry.h"

namespace lemonstair::tunnel {

/// The stage for TunnelState::open and TunnelState::migrating.
class Relay {
  public:
    Relay(TunnelRegistry& registry, Completion& completion)
        : registry_(registry), completion_(completion), monitor_(registry) {}
    /// The endpoint has opened the tunnel. Its answer and the bytes after it are in the downstream buffer.
    void begin(TunnelId id);
    /// For a tunnel that was received from another process, or could not be transferred to it.
    void resume(TunnelId id);
    /// Tells the client to reconnect elsewhere, as soon as both directions are at the end of a line.
    void migrate(TunnelId id);
    /// To be called several times a second: reports unresponsive endpoints, and migrates the clients of
    /// stalled tunnels.
    void check_endpoints();
    void on_tunnel_ready(TunnelId id, Side side, short events);
    void on_tunnel_timer(TunnelId id);

  private:
    bool read(TunnelId id, Side from);
    bool write(TunnelId id, Side to);
    void scan_client_bytes(Tunnel& tunnel, std::string_view bytes);
    void scan_endpoint_bytes(TunnelId id, std::string_view bytes);
    void handle_endpoint_line(TunnelId id, std::string_view line);
    void count_answer(TunnelId id, Tunnel& tunnel);
    void update(TunnelId id);
    static void forward_ends(Tunnel& tunnel);
    bool finish_ended(TunnelId id);
    bool finish_migration(TunnelId id);
    static void update_events(Tunnel& tunnel);
    Ticks migration_wait() const;
    bool on_broken(TunnelId id, Side side);

    TunnelRegistry& registry_;
    Completion& completion_;
    EndpointMonitor monitor_;
};

}  // namespace lemonstair::tunnel
