// Send: one setup. Connects to the host, writes the tunnel's line and reads the host's answer.
#pragma once

#include <string_view>

#include "tunnel/completion.h"
#include "tunnel/relay.h"
#include "tunnel/tunnel_registry.h"

namespace lemonstair::tunnel {

class Send {
  public:
    Send(Floor& floor, Book& book, Relay& relay) : floor_(floor), book_(book), relay_(relay) {}
    // The module's setup at the host in this place, to be given up after a while.
    void start(Id id, std::uint32_t place, Tenths longest_wait);
    // A tunnel that is open at its host already goes there until it is up.
    void resume_standing(Id id);
    // Whoever waits has its final answer by then, and whoever comes.
    void answer_by(Tenths when);
    void tunnel_ready(Id id, Side side, short events);
    void tunnel_due(Id id);

  private:
    void connect(Id id);
    bool may_write(Id id);
    void write_line(Id id);
    void check_written(Id id);
    void read_answer(Id id);
    void answered(Id id, std::string_view line);
    bool sends_command(const Tunnel& t) const;
    void opened(Id id);
    void failed(Id id, Ending ending);
    Floor& floor_;
    Book& book_;
    Relay& relay_;
};

}  // namespace lemonstair::tunnel
