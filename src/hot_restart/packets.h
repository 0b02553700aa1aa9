// The hot restart protocol between the old and the new process of a node: one packet, one message. The first
// bytes are the same in every version, so that each side can detect a peer of another version.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace lemonstair::hot_restart {

constexpr std::uint8_t protocol_version = 1;
// Bytes of a whole packet, and of the part of the state that one packet carries.
constexpr std::size_t max_packet_bytes = 32768, max_part_bytes = 16384;
// Bytes of all parts of the state together; more is treated as a protocol violation.
constexpr std::size_t max_state_bytes = 64U << 20;

// The values travel.
enum class PacketKind : std::uint8_t {
    request_state = 1,  // new process: payload is the node's name
    reject,  // old process: not now (flag: retry later); new process: continues without the old one
    endpoint_list_part,   // old process: a part of the endpoint list; number: its clock base
    balancer_state_part,  // old process: a part of the balancer's serialized state
    state_complete,       // old process: number is the size of all parts together, in bytes
    ready,                // new process: it is the node from now on
    tunnel,               // old process: an open tunnel, with the descriptors of client and endpoint
    tunnel_result,        // new process: whether it took the tunnel (flag)
    descriptors_held,     // either: only reports `descriptors_held`
    kinds_end
};

struct Packet {
    PacketKind kind = PacketKind::request_state;
    bool flag = false;                   // see PacketKind
    std::uint32_t descriptors_held = 0;  // by the sender
    std::uint64_t number = 0;            // a tunnel's id, a size or a clock base; see PacketKind
    std::string_view payload{};          // after decode: into the decoded bytes
};

std::string encode(const Packet& packet);

enum class DecodeResult : std::uint8_t { ok, version_mismatch, malformed };
// Fills `packet` completely only where the result is `ok`.
DecodeResult decode(std::string_view bytes, Packet& packet);

}  // namespace lemonstair::hot_restart
