// A tunnel in the node's hands: its two connections, the bytes that wait between them and where it stands.
#pragma once

#include <array>
#include <cstdint>
#include <string_view>

#include "balance/balance.h"
#include "metrics/tunnel_counters.h"
#include "net/buffer_pool.h"
#include "net/loop.h"

namespace lemonstair::tunnel {

// Free; its first line is awaited; the module decides; a setup is out, in three steps; open; being moved,
// until both sides stand between two lines; on its way to another process of the node; its last words are on
// their way out.
enum class TunnelState : std::uint8_t {
    free,
    taking_in,
    deciding,
    connecting,
    sending_line,
    awaiting_answer,
    relaying,
    moving,
    handing,
    departing
};

std::string_view name_of(TunnelState s);

// What of one direction matters between two reads.
struct Direction {
    net::Buffer waiting;          // read from one side, not yet taken by the other
    std::uint32_t line_size = 0;  // bytes read of the line at hand; 0: it stands between two lines
    bool ended = false;           // its source has ended its sending
    bool end_passed = false;      // and its target was told
};

struct Tunnel {
    net::Socket client, host;
    net::Buffer opening;     // the client's first line, and what came behind it, until the host's UP
    Direction up, down;      // client to host; host to client
    std::uint64_t name = 0;  // the hash of the id that its client gave it
    Ticks give_up_at = 0, setup_from = 0, setup_until = 0;
    Ticks since = 0;  // when it came to the state it is in
    Ticks due = 0;    // when the state it is in has lasted too long
    Ticks heard_at =
        0;  // the last bytes of its first line; then the last line from the host, but for its load
    Ticks waiting_since = 0;      // for a line from the host; 0: none is owed
    std::uint32_t place = 0;      // of the host that it is set up at
    std::uint32_t owed = 0;       // client lines that no line from the host has followed
    std::uint32_t discarded = 0;  // bytes that came after its last words
    std::uint32_t profile = 0;    // once its first line was read
    int setups = 0;
    int pings = 0;
    std::array<char, 32> head{};  // the beginning of the host's line at hand
    std::uint8_t head_size = 0;
    TunnelState state = TunnelState::free;
    metrics::FinalAnswer outcome =
        metrics::FinalAnswer::none;             // its client's final answer; counted once it has it
    bool classed = false;                       // its first line was read, and named a profile
    Outcome ending = Outcome::connection_lost;  // what the module hears when it is over
    bool standing = false;  // open at its host before the start: goes there, without a decision
    bool at_door = false;   // there was no descriptor for it: it is told so and let go
    bool known = false;     // the module knows of it
    bool stays = false;     // another process of the node does not take it
    bool moves_on = false;  // its host is silent: the client is moved without waiting for it
};

}  // namespace lemonstair::tunnel
