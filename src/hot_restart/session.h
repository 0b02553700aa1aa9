// Succession: what the old process and the new one tell each other, in which order, and who gives up when.
// The node is its Party; sockets are the Line's.
#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "hot_restart/packet_channel.h"
#include "hot_restart/packets.h"
#include "hot_restart/state_machine.h"
#include "log/log.h"
#include "net/loop.h"

namespace lemonstair::hot_restart {

struct TransferredTunnel {
    std::uint64_t number = 0;
    std::string bytes;
    int client = -1, host = -1;
};

// The process itself.
class Delegate {
  public:
    Delegate() = default;
    Delegate(const Delegate&) = delete;
    Delegate& operator=(const Delegate&) = delete;
    virtual ~Delegate() = default;
    virtual void tell_state(std::string& list, std::string& memory) = 0;
    // What this process's clock is ahead of the monotonic one; and what the other one's is, before `begin`.
    virtual net::Ticks clock_base() = 0;
    virtual void other_clock_base(net::Ticks base) = 0;
    // The node's place is this process's; with what the other one told, or without (both empty).
    virtual void begin(std::string_view list, std::string_view memory) = 0;
    // This process begins or ceases to be the node.
    virtual void stand_changed(Role from, Role to) = 0;
    // An open tunnel that can go over; it stays as it is until it has gone or comes back.
    virtual bool next_tunnel(TransferredTunnel& into) = 0;
    virtual void tunnel_gone(std::uint64_t number, bool taken) = 0;
    // False where it cannot be taken; then the other process keeps it.
    virtual bool take_tunnel(std::string_view bytes, net::Fd client, net::Fd host) = 0;
    virtual bool has_tunnels() const = 0;
    virtual std::size_t held() const = 0;
    virtual std::size_t granted() const = 0;  // descriptors, to both together
    virtual void held_elsewhere(std::size_t descriptors) = 0;
};

class Session final : public net::EventHandler, PacketChannel::Hearer {
  public:
    // `nearby` empty: there is no place where another process could be found.
    Session(net::EventLoop& loop, Delegate& party, log::Log& log, std::string node, std::string nearby);
    // Looks for an old process, once, at the start.
    void start();
    Role stand() const { return stand_; }
    // A new process serves beside this one that could not take its place.
    bool displaced() const { return displaced_; }
    // Tunnels that have opened since may go over.
    void hand_over();

    void on_ready(std::uint64_t, short) override {}
    void on_timer(std::uint64_t token) override;

  private:
    bool go(Event event);
    void ask();
    void ask_later();
    void begin_alone();
    void part(std::string_view why);
    void take(const Packet& packet, std::vector<net::Fd>& descriptors);
    void tell_state();
    void tell_parts(Kind kind, std::string_view bytes);
    void take_state(std::uint64_t size);
    void send(const Packet& packet, std::vector<int> descriptors = {});
    void tell_held();
    void watch_over(net::Ticks longest);
    void heard(std::string_view packet, std::vector<net::Fd>& descriptors) override;
    void broken() override;
    bool takes_call() override;

    net::EventLoop& loop_;
    Delegate& party_;
    log::Log& log_;
    std::string node_;
    bool on_ = false, displaced_ = false, looking_ = false, handing_now_ = false;
    PacketChannel line_;
    Role stand_ = Role::alone;
    net::Ticks give_up_at_ = 0, started_ = 0, since_ = 0;
    std::string list_, memory_;
    std::set<std::uint64_t> out_;  // tunnels sent that the other has not said to have
    std::size_t went_ = 0, came_ = 0, held_there_ = 0, held_told_ = 0;
};

}  // namespace lemonstair::hot_restart
