// Send: one setup. Connects to the host, writes the tunnel's line and reads the host's answer.
#pragma once

#include <string_view>

#include "tunnel/completion.h"
#include "tunnel/relay.h"
#include "tunnel/tunnel_registry.h"

namespace lemonstair::tunnel {

class AttemptRunner {
  public:
    AttemptRunner(TunnelRegistry& floor, Completion& book, Relay& relay)
        : floor_(floor), book_(book), relay_(relay) {}
    // The module's setup at the host in this place, to be given up after a while.
    void start(TunnelId id, std::uint32_t place, Ticks longest_wait);
    // A tunnel that is open at its host already goes there until it is up.
    void resume_standing(TunnelId id);
    // Whoever waits has its final answer by then, and whoever comes.
    void answer_by(Ticks when);
    void tunnel_ready(TunnelId id, Side side, short events);
    void tunnel_due(TunnelId id);

  private:
    void connect(TunnelId id);
    bool may_write(TunnelId id);
    void write_line(TunnelId id);
    void check_written(TunnelId id);
    void read_answer(TunnelId id);
    void answered(TunnelId id, std::string_view line);
    bool sends_command(const Tunnel& t) const;
    void opened(TunnelId id);
    void failed(TunnelId id, Outcome ending);
    TunnelRegistry& floor_;
    Completion& book_;
    Relay& relay_;
};

}  // namespace lemonstair::tunnel
