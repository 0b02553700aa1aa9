/// The hot restart protocol between the old and the new process of a node. Each packet is one message. The
/// first bytes are the same in every version, so that each side can detect a peer of another version.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "request_ids/id_change.h"

namespace lemonstair::hot_restart {

constexpr std::uint8_t protocol_version = 1;
/// The messages that a process knows beyond those of the first programs with this protocol version. 0: none;
/// 1: the exchange of request ids.
constexpr std::uint64_t protocol_revision = 1, id_exchange_revision = 1;
/// In bytes: the size of a whole packet, and of the part of the state that one packet carries.
constexpr std::size_t max_packet_bytes = 32768, max_part_bytes = 16384;
/// In bytes: the size of all parts of the state together; a larger state is treated as a protocol violation.
constexpr std::size_t max_state_bytes = 64U << 20;

/// The values are part of the protocol.
enum class PacketKind : std::uint8_t {
    // New process: asks for the state; payload: the node's name; number: its protocol revision.
    request_state = 1,
    // From the old process: it rejects the request (flag: the new one may retry later). From the new process:
    // it continues without the old one.
    reject,
    endpoint_list_part,   // old process: a part of the endpoint list; number: the sender's clock base
    balancer_state_part,  // old process: a part of the balancer's serialized state
    state_complete,       // old process: all parts are sent; number: their size together, in bytes
    // New process: it is the node from now on. With an old process that reports ids, it accepts clients only
    // after accepting_stopped.
    ready,
    // From the old process: an open tunnel with the descriptors of client and endpoint; number: its id;
    // payload: its serialized state.
    tunnel,
    tunnel_result,     // new process: whether it accepted the tunnel (flag); number: the tunnel's id
    descriptors_held,  // either process: reports the packet's `descriptors_held` alone
    // The kinds from here on are only sent to a process of id_exchange_revision or later.
    // Either process: what it has claimed and released; payload: see encode_ids; flag: a complete report
    // begins; number: ids of that report that follow in later packets.
    ids,
    // Old process: it has stopped accepting clients and reported all its ids; from now on it asks for each.
    accepting_stopped,
    // Either process: may a request claim this id? number: the id's hash; flag: it is mid-flow; payload: see
    // encode_serial.
    id_request,
    id_result,  // either process: the answer (flag); number and payload as in the request
    kinds_end
};

struct Packet {
    PacketKind kind = PacketKind::request_state;
    bool flag = false;                   // see PacketKind
    std::uint32_t descriptors_held = 0;  // by the sending process
    std::uint64_t number = 0;            // a tunnel's id, a size or a clock base; see PacketKind
    std::string_view payload{};          // after decode(): refers to the decoded bytes
};

std::string encode(const Packet& packet);

/// The payload of PacketKind::ids.
std::string encode_ids(const std::vector<request_ids::IdChange>& changes);
/// Returns false if the payload is malformed.
bool decode_ids(std::string_view payload, std::vector<request_ids::IdChange>& changes);
/// The payload of PacketKind::id_request and id_result: the request's serial number.
std::string encode_serial(std::uint64_t serial);
/// Returns false if the payload is malformed.
bool decode_serial(std::string_view payload, std::uint64_t& serial);
/// The most changes that one packet carries.
constexpr std::size_t max_ids_per_packet = max_part_bytes / (sizeof(std::uint64_t) + 1);

enum class DecodeResult : std::uint8_t { ok, version_mismatch, malformed };
/// `packet` is complete only where the result is `ok`.
DecodeResult decode(std::string_view bytes, Packet& packet);

}  // namespace lemonstair::hot_restart
