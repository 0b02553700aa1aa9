// Hot restart: a new process of a node takes over from the old one without losing an open tunnel. The session
// runs the protocol of packets.h in the order that state_machine.h allows and ends it where the peer stalls,
// fails or breaks it. What the node itself does in each step is the Delegate's part.
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

// An open tunnel on its way to the other process. The descriptors remain the sender's.
struct TransferredTunnel {
    std::uint64_t number = 0;  // the tunnel's id in the sender
    std::string bytes;         // its serialized state
    int client = -1, endpoint = -1;
};

// The process that restarts or is replaced.
class Delegate {
  public:
    Delegate() = default;
    Delegate(const Delegate&) = delete;
    Delegate& operator=(const Delegate&) = delete;
    virtual ~Delegate() = default;
    // Old process: writes the endpoint list and the balancer's state.
    virtual void export_state(std::string& endpoint_list, std::string& balancer_state) = 0;
    // How far this process's clock is ahead of the monotonic one.
    virtual net::Ticks clock_base() = 0;
    // The same of the old process; called before `begin`.
    virtual void on_peer_clock_base(net::Ticks base) = 0;
    // This process becomes the node, with the old one's state or without one (both empty).
    virtual void begin(std::string_view endpoint_list, std::string_view balancer_state) = 0;
    // Called after each change of role, except for those that `begin` follows.
    virtual void on_role_changed(Role from, Role to) = 0;
    // Old process: the next open tunnel that can be transferred; false where there is none. It is left as it
    // is until its result is known.
    virtual bool next_tunnel(TransferredTunnel& tunnel) = 0;
    // Old process: the new one has the tunnel, or it remains here.
    virtual void on_transfer_result(std::uint64_t number, bool accepted) = 0;
    // New process: false where the tunnel cannot be taken; the old process then keeps it.
    virtual bool receive_tunnel(std::string_view bytes, net::Fd client, net::Fd endpoint) = 0;
    virtual bool has_tunnels() const = 0;
    // Descriptors that this process holds, and those that both processes may hold together.
    virtual std::size_t descriptors_held() const = 0;
    virtual std::size_t descriptor_limit() const = 0;
    // The other process's count has changed; 0: there is none.
    virtual void on_peer_descriptors(std::size_t descriptors) = 0;
};

class Session final : public net::EventHandler, PacketChannel::Listener {
  public:
    // `path` is where processes of this node meet; empty: hot restart is off.
    Session(net::EventLoop& loop, Delegate& delegate, log::Log& log, std::string node_name, std::string path);
    // Connects to an old process if there is one; otherwise the node begins at once. To be called once.
    void start();
    Role role() const { return role_; }
    // Another process of this node serves beside this one, because it could not take over.
    bool displaced() const { return displaced_; }
    // Continues the transfer; called when more tunnels can be transferred.
    void transfer_tunnels();

    void on_ready(std::uint64_t, short) override {}
    void on_timer(std::uint64_t token) override;

  private:
    // The only place where the role changes; false where the event is invalid in this role.
    bool transition(Event event);
    void request_state();
    void retry_later();
    void begin_without_state();
    void abandon(std::string_view reason);
    void set_give_up_time(net::Ticks timeout);
    void check_progress();

    // Each returns false where the packet is invalid in this role.
    bool handle(const Packet& packet, std::vector<net::Fd>& descriptors);
    bool handle_request(const Packet& packet);
    void handle_reject(const Packet& packet);
    bool handle_state_part(const Packet& packet);
    bool handle_state_complete(const Packet& packet);
    bool handle_tunnel(const Packet& packet, std::vector<net::Fd>& descriptors);
    bool handle_tunnel_result(const Packet& packet);

    void send_state();
    void send_parts(PacketKind kind, std::string_view bytes);
    void send_descriptors_held();
    void send(const Packet& packet, std::vector<int> descriptors = {});
    void set_peer_descriptors(std::size_t descriptors);
    std::size_t max_in_transfer() const;

    void on_packet(std::string_view bytes, std::vector<net::Fd>& descriptors) override;
    void on_disconnect() override;
    bool accepts_connection() override;

    net::EventLoop& loop_;
    Delegate& delegate_;
    log::Log& log_;
    std::string node_name_;
    bool enabled_ = false, displaced_ = false, progress_timer_set_ = false, transferring_now_ = false;
    PacketChannel channel_;
    Role role_ = Role::standalone;
    net::Ticks give_up_at_ = 0, started_at_ = 0, role_since_ = 0;
    std::string endpoint_list_, balancer_state_;  // received so far
    std::set<std::uint64_t> in_transfer_;         // tunnels sent whose result is not known yet
    std::size_t tunnels_sent_ = 0, tunnels_received_ = 0;
    std::size_t peer_descriptors_ = 0, reported_descriptors_ = 0;
};

}  // namespace lemonstair::hot_restart
