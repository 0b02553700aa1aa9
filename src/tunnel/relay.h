// Relay: passes the bytes of an open tunnel both ways, tells the module of its load and of slow answers, and
// moves clients.
#pragma once

#include <string_view>
#include <vector>

#include "tunnel/completion.h"
#include "tunnel/tunnel_registry.h"

namespace lemonstair::tunnel {

class Relay {
  public:
    Relay(TunnelRegistry& floor, Completion& book);
    // The host's UP and what came behind it wait to go down.
    void begin(TunnelId id);
    void tunnel_ready(TunnelId id, Side side, short events);
    void tunnel_due(TunnelId id);
    void move(TunnelId id);
    // A tunnel that came from another process, or did not go there.
    void go_on(TunnelId id);
    // Looks for hosts that answer no line any more.
    void look_over();

  private:
    bool read(TunnelId id, Side from);
    bool write(TunnelId id, Side to);
    void host_line(TunnelId id, std::string_view line);
    void host_bytes(TunnelId id, std::string_view bytes);
    void client_bytes(Tunnel& t, std::string_view bytes);
    void answered(TunnelId id, Tunnel& t);
    void settle(TunnelId id);
    Ticks patience() const;
    void broken(TunnelId id, Side side);
    void tell_slow(TunnelId id, std::uint32_t place, Ticks takes);

    // What a host said last, and what the module was told of it.
    struct Spoken {
        Ticks heard_at = 0, told_at = 0;
        bool slow = false;
    };
    Spoken& spoken(std::uint32_t place) {
        if (spoken_.size() <= place) spoken_.resize(floor_.hosts.size());
        return spoken_[place];
    }
    TunnelRegistry& floor_;
    Completion& book_;
    std::vector<Spoken> spoken_;  // by place of the host
    // How long the two tunnels of a host that wait longest have waited, with no line on any since.
    struct Unheard {
        Ticks longest = 0, second = 0;
        int tunnels = 0;
    };
    std::vector<Unheard> unheard_;  // by place of the host
    std::vector<TunnelId> silent_;
    Ticks slow_from_ = 10000;  // a message that takes longer is told: a third of the shortest goal
};

}  // namespace lemonstair::tunnel
