// Book: the last stage. A tunnel's final answer, its orderly end, and what the module hears of it.
#pragma once

#include <string_view>

#include "tunnel/tunnel_registry.h"

namespace lemonstair::tunnel {

class Book {
  public:
    explicit Book(Floor& floor) : floor_(floor) {}
    // Final answers to a client that waits.
    void decline(Id id, Tenths come_back_after);
    void close_with_error(Id id);
    // The client has not sent a whole first line in its time. Whoever asked PING hears nothing more.
    void send_away(Id id);
    // The client went away while it waited.
    void client_left(Id id);
    // The client does what no client may while it waits.
    void turn_away(Id id);
    // Closes the connection that has carried nothing for longest: one whose client has said nothing yet, else
    // one that has had its last words. False where there is none that has had a moment to speak or to end.
    bool make_room();
    // The module hears, once, that an open tunnel is over.
    void over(Id id, Ending ending);
    // Its last line, then the orderly end of both sides.
    void say_last(Id id, std::string_view line);
    // Its last bytes are written: ends both sides cleanly, reads what still comes until they are gone.
    // Closing with unread input would make a reset, and that can overtake the last line.
    void part(Id id) {
        depart(id);
        end_sending(*floor_.find(id));
    }
    // Both sides are dropped at once.
    void drop(Id id);
    void tunnel_ready(Id id, Side side, short events);
    void tunnel_due(Id id) {
        if (floor_.loop.now() >= floor_.find(id)->due) drop(id);
    }

  private:
    void answer(Id id, std::string_view line);
    void depart(Id id);
    static void end_sending(Tunnel& t);
    void drain(Tunnel& t, net::Socket& socket);
    void tell_left(Id id);
    Floor& floor_;
    Tenths made_room_at_ = 0;
};

}  // namespace lemonstair::tunnel
