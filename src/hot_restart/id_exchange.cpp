#include "hot_restart/id_exchange.h"

#include <utility>

namespace lemonstair::hot_restart {

namespace {

// Who decides which request may claim an id: the process that accepts clients.
request_ids::Authority authority_in(Role role) {
    if (is_replaced(role)) return request_ids::Authority::asks;
    const bool alone = role == Role::standalone || role == Role::requesting_state;
    return alone ? request_ids::Authority::alone : request_ids::Authority::decides;
}

}  // namespace

void IdExchange::on_disconnect() {
    active_ = false;
    ids_.set_authority(request_ids::Authority::alone);
    ids_.forget_peer();
}

void IdExchange::on_role_changed(Role role) {
    if (active_) ids_.set_authority(authority_in(role));
}

bool IdExchange::handle_report(const Packet& packet) {
    active_ = true;
    request_ids::IdReport report{.begins_complete = packet.flag, .left = packet.number, .changes = {}};
    return decode_ids(packet.payload, report.changes) && ids_.on_peer_report(report);
}

bool IdExchange::handle_request(const Packet& packet) {
    request_ids::IdRequest request{.id_hash = packet.number, .serial = 0, .mid_flow = packet.flag};
    if (!active_ || !decode_serial(packet.payload, request.serial)) return false;
    send({.kind = PacketKind::id_result,
          .flag = ids_.grant_to_peer(request),
          .number = packet.number,
          .payload = packet.payload});
    return true;
}

void IdExchange::send_pending() {
    if (!active_) return;
    const auto may_send = [&] { return channel_.is_connected() && channel_.queued_packets() == 0; };
    while (may_send() && send_report()) continue;
    request_ids::IdRequest request;
    while (may_send() && ids_.next_request(request)) {
        const std::string serial = encode_serial(request.serial);
        send({.kind = PacketKind::id_request,
              .flag = request.mid_flow,
              .number = request.id_hash,
              .payload = serial});
    }
}

void IdExchange::send_all_reports() {
    while (active_ && send_report()) continue;
}

bool IdExchange::send_report() {
    request_ids::IdReport report;
    if (!ids_.next_report(max_ids_per_packet, report)) return false;
    const std::string payload = encode_ids(report.changes);
    send(
        {.kind = PacketKind::ids, .flag = report.begins_complete, .number = report.left, .payload = payload});
    return true;
}

}  // namespace lemonstair::hot_restart
