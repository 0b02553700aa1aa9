// What the old process and the new one of a node say to each other: one packet, one word. The first bytes are
// the same in every version, so that each can tell that the other is of another.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace lemonstair::hot_restart {

constexpr std::uint8_t version = 1;
constexpr std::size_t longest_packet = 32768, longest_part = 16384;
// Of all parts of a state together: more is no state.
constexpr std::size_t longest_state = 64U << 20;

enum class Kind : std::uint8_t {
    greet = 1,  // the new one: who it is (text: the node's name), what it holds
    refuse,     // the old one: not now (yes: later perhaps), or the new one: I go on without you
    list_part,  // the old one: its list of hosts (text); number: what its clock is ahead of the monotonic one
    memory_part,  // and what its module remembers (text)
    told,         // all of it was told; number: its bytes
    ready,        // the new one answers for the node from now on
    tunnel,       // the old one: an open tunnel (number, text), with the descriptors of client and host
    has,          // the new one: it has the tunnel (yes), or cannot take it
    holds,        // either: descriptors that it holds
    kinds_end
};

struct Packet {
    Kind kind = Kind::greet;
    bool yes = false;
    std::uint32_t held = 0;
    std::uint64_t number = 0;
    std::string_view text{};
};

std::string encode(const Packet& packet);

enum class Read : std::uint8_t { good, other_version, torn };
Read decode(std::string_view bytes, Packet& into);

}  // namespace lemonstair::hot_restart
