// Take in: accepts clients, reads the first line of each, answers whether the node is ready.
#pragma once

#include <string_view>

#include "balance/attempt_policy.h"
#include "tunnel/admission.h"
#include "tunnel/completion.h"
#include "tunnel/tunnel_registry.h"

namespace lemonstair::tunnel {

class Acceptor final : public net::EventHandler {
  public:
    Acceptor(TunnelRegistry& floor, Admission& admit, Completion& book)
        : floor_(floor), admit_(admit), book_(book) {}
    // Clients come through a socket of the node's own, or through one that the platform holds.
    void listen_on(const net::Address& at) { listen_on(floor_.loop.system().listen_on(at)); }
    void listen_on(int inherited) { listen_on(floor_.loop.system().inherited_listener(inherited)); }
    // Whether clients are accepted; they wait in the listener's queue else, for this process or another.
    void open(bool yes);
    // What an exit in this pass would leave unanswered, in the listener's queue too.
    attempt_policy::Obligations obligations();
    void on_ready(std::uint64_t, short) override { static_cast<void>(accept_waiting()); }
    void on_timer(std::uint64_t token) override;
    // The connection of a client that has not sent its first line yet.
    void tunnel_ready(TunnelId id, Side side, short events);
    void tunnel_due(TunnelId id);

  private:
    void listen_on(net::Fd listener);
    bool accept_waiting();
    bool any_speaks() const;
    void wait();
    void rest();
    bool take_name(Tunnel& t, std::string_view id, bool mid_flow);
    static bool has_left(const Tunnel& t);
    bool line(TunnelId id, std::string_view text);
    bool say(Tunnel& t, std::string_view text);
    TunnelRegistry& floor_;
    Admission& admit_;
    Completion& book_;
    net::Socket listener_;
    bool open_ = false, resting_ = false;
    Ticks rested_at_ = 0;
};

}  // namespace lemonstair::tunnel
