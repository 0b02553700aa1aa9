// Book: the last stage. A tunnel's final answer, its orderly end, and what the module hears of it.
#pragma once

#include <string_view>

#include "tunnel/tunnel_registry.h"

namespace lemonstair::tunnel {

class Completion {
  public:
    explicit Completion(TunnelRegistry& floor) : floor_(floor) {}
    // Final answers to a client that waits.
    void decline(TunnelId id, Ticks come_back_after);
    void close_with_error(TunnelId id);
    // The client has not sent a whole first line in its time. Whoever asked PING hears nothing more.
    void send_away(TunnelId id);
    // The client went away while it waited.
    void client_left(TunnelId id);
    // The client does what no client may while it waits.
    void turn_away(TunnelId id);
    // Closes the connection that has carried nothing for longest: one whose client has said nothing yet, else
    // one that has had its last words. False where there is none that has had a moment to speak or to end.
    bool make_room();
    // The module hears, once, that an open tunnel is over.
    void over(TunnelId id, Outcome ending);
    // Its last line, then the orderly end of both sides.
    void say_last(TunnelId id, std::string_view line);
    // Its last bytes are written: ends both sides cleanly, reads what still comes until they are gone.
    // Closing with unread input would make a reset, and that can overtake the last line.
    void part(TunnelId id) {
        depart(id);
        shutdown_write(*floor_.find(id));
    }
    // Both sides are dropped at once.
    void drop(TunnelId id);
    void tunnel_ready(TunnelId id, Side side, short events);
    void tunnel_due(TunnelId id) {
        if (floor_.loop.now() >= floor_.find(id)->due) drop(id);
    }

  private:
    void answer(TunnelId id, std::string_view line);
    void depart(TunnelId id);
    static void shutdown_write(Tunnel& t);
    void drain(Tunnel& t, net::Socket& socket);
    void tell_left(TunnelId id);
    TunnelRegistry& floor_;
    Ticks made_room_at_ = 0;
};

}  // namespace lemonstair::tunnel
