/// Hot restart: a new process of a node takes over from the old one without losing an open tunnel. The
/// session runs the protocol of packets.h in the order that state_machine.h allows, and abandons the restart
/// where the peer stalls, fails or violates the protocol. The Delegate carries out each step for the node
/// itself.
#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "hot_restart/id_exchange.h"
#include "hot_restart/packet_channel.h"
#include "hot_restart/packets.h"
#include "hot_restart/state_machine.h"
#include "log/log.h"
#include "net/loop.h"

namespace lemonstair::hot_restart {

/// An open tunnel in transfer to the other process. The sender keeps ownership of the descriptors.
struct TransferredTunnel {
    std::uint64_t number = 0;  // the tunnel's id in the sending process
    std::string bytes;         // its serialized state
    int client = -1, endpoint = -1;
};

/// The node whose process takes over or is replaced.
class Delegate {
  public:
    Delegate() = default;
    Delegate(const Delegate&) = delete;
    Delegate& operator=(const Delegate&) = delete;
    virtual ~Delegate() = default;
    // Old process: writes the endpoint list and the balancer's state.
    virtual void export_state(std::string& endpoint_list, std::string& balancer_state) = 0;
    // How far this process's clock is ahead of the monotonic clock, in tenths of a ms.
    virtual net::Ticks clock_base() = 0;
    // New process: the clock base of the old process; called before `begin`.
    virtual void on_peer_clock_base(net::Ticks base) = 0;
    // This process becomes the node, with the state of the old process or without one (both are empty). In
    // role taking_over it does not accept clients yet: on_role_changed follows.
    virtual void begin(std::string_view endpoint_list, std::string_view balancer_state) = 0;
    // Called after each change of role, except for the changes that `begin` follows.
    virtual void on_role_changed(Role from, Role to) = 0;
    // Old process: fills in the next open tunnel that can be transferred; false where there is none. The
    // tunnel must then not change until on_transfer_result.
    virtual bool next_tunnel(TransferredTunnel& tunnel) = 0;
    // Old process: the new process has the tunnel, or (not accepted) the tunnel remains in this one.
    virtual void on_transfer_result(std::uint64_t number, bool accepted) = 0;
    // New process: false where the tunnel cannot be accepted; the old process then keeps it.
    virtual bool receive_tunnel(std::string_view bytes, net::Fd client, net::Fd endpoint) = 0;
    virtual bool has_tunnels() const = 0;
    // Descriptors that this process holds, and the number that both processes may hold together.
    virtual std::size_t descriptors_held() const = 0;
    virtual std::size_t descriptor_limit() const = 0;
    // The other process has answered whether a request of this one may claim an id.
    virtual void on_id_result(const request_ids::IdResult& result) = 0;
    // The number of descriptors that the other process holds has changed; 0: there is no other process.
    virtual void on_peer_descriptors(std::size_t descriptors) = 0;
};

class Session final : public net::EventHandler, PacketChannel::Listener {
  public:
    // `path` is that of the local socket on which the processes of this node connect; empty: hot restart is
    // off.
    Session(net::EventLoop& loop, Delegate& delegate, log::Log& log, request_ids::IdRegistry& ids,
            std::string node_name, std::string path);
    // Connects to an old process if there is one; otherwise the node begins at once. Must be called once.
    void start();
    Role role() const { return role_; }
    // Another process of this node serves clients beside this one, because it could not take over from it.
    bool displaced() const { return displaced_; }
    // Continues the transfer. To be called when more tunnels can be transferred.
    void transfer_tunnels();
    // Reports to the other process which ids this one has claimed and released. To be called at the end of
    // each pass of the event loop: an attempt must not be written before its tunnel's id is reported.
    void send_ids() { id_exchange_.send_pending(); }

    void on_ready(std::uint64_t, short) override {}
    void on_timer(std::uint64_t token) override;

  private:
    // Changes the role; no other function does. False where the event is invalid in this role.
    bool transition(Event event);
    void request_state();
    void retry_later();
    void begin_without_state();
    void abandon(std::string_view reason);
    void set_give_up_time(net::Ticks timeout);
    void check_progress();
    void give_up_waiting();

    // Each returns false where the packet is invalid in this role.
    bool handle(const Packet& packet, std::vector<net::Fd>& descriptors);
    bool handle_request(const Packet& packet);
    void handle_reject(const Packet& packet);
    bool handle_state_part(const Packet& packet);
    bool handle_state_complete(const Packet& packet);
    bool handle_ready();
    bool handle_accepting_stopped();
    bool handle_ids(const Packet& packet);
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
    IdExchange id_exchange_;
    Role role_ = Role::standalone;
    net::Ticks give_up_at_ = 0, started_at_ = 0, role_since_ = 0;
    std::string endpoint_list_, balancer_state_;  // received so far
    std::set<std::uint64_t> in_transfer_;         // ids of tunnels sent whose result is not known yet
    std::size_t tunnels_sent_ = 0, tunnels_received_ = 0;
    std::size_t peer_descriptors_ = 0, reported_descriptors_ = 0;
};

}  // namespace lemonstair::hot_restart
