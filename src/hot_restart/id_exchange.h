/// Exchanges request ids between the two processes of a node during a hot restart: carries the reports,
/// requests and answers of request_ids::IdRegistry over the packet channel. A process of an earlier protocol
/// revision takes no part; then each process decides by what it alone knows.
#pragma once

#include <cstdint>

#include "hot_restart/packet_channel.h"
#include "hot_restart/packets.h"
#include "hot_restart/state_machine.h"
#include "request_ids/id_registry.h"

namespace lemonstair::hot_restart {

class IdExchange {
  public:
    IdExchange(request_ids::IdRegistry& ids, PacketChannel& channel) : ids_(ids), channel_(channel) {}
    /// Whether the other process takes part in the exchange.
    bool active() const { return active_; }
    /// Old process: a new one of this protocol revision has asked for the state.
    void on_peer_revision(std::uint64_t revision) { active_ = revision >= id_exchange_revision; }
    /// The connection to the other process has ended.
    void on_disconnect();
    void on_role_changed(Role role);

    /// Both return false if the packet is malformed.
    bool handle_report(const Packet& packet);
    bool handle_request(const Packet& packet);
    /// Sends reports and requests while the channel takes them.
    void send_pending();
    /// Sends, or queues, all reports, so that each later packet arrives after them.
    void send_all_reports();

  private:
    bool send_report();
    void send(const Packet& packet) { channel_.send(encode(packet)); }

    request_ids::IdRegistry& ids_;
    PacketChannel& channel_;
    bool active_ = false;
};

}  // namespace lemonstair::hot_restart
