/// The hot restart protocol between the old and the new process of a node. Each packet is one message. The
/// first bytes are the same in every version, so that each side can detect a peer of another version.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace lemonstair::hot_restart {

constexpr std::uint8_t protocol_version = 1;
/// In bytes: the size of a whole packet, and of the part of the state that one packet carries.
constexpr std::size_t max_packet_bytes = 32768, max_part_bytes = 16384;
/// In bytes: the size of all parts of the state together; a larger state is treated as a protocol violation.
constexpr std::size_t max_state_bytes = 64U << 20;

/// The values are part of the protocol.
enum class PacketKind : std::uint8_t {
    request_state = 1,  // new process: asks for the state; payload: the node's name
    // From the old process: it rejects the request (flag: the new one may retry later). From the new process:
    // it continues without the old one.
    reject,
    endpoint_list_part,   // old process: a part of the endpoint list; number: the sender's clock base
    balancer_state_part,  // old process: a part of the balancer's serialized state
    state_complete,       // old process: all parts are sent; number: their size together, in bytes
    ready,                // new process: it is the node from now on
    // From the old process: an open tunnel with the descriptors of client and endpoint; number: its id;
    // payload: its serialized state.
    tunnel,
    tunnel_result,     // new process: whether it accepted the tunnel (flag); number: the tunnel's id
    descriptors_held,  // either process: reports the packet's `descriptors_held` alone
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

enum class DecodeResult : std::uint8_t { ok, version_mismatch, malformed };
/// `packet` is complete only where the result is `ok`.
DecodeResult decode(std::string_view bytes, Packet& packet);

}  // namespace lemonstair::hot_restart
