/// Peer: what a node knows about another node.
#pragma once
#include <array>
#include <cstdint>

#include "balance/endpoint.h"

namespace lemonstair {

struct Peer {
    Ticks heard_at = 0;             // when its last message arrived, or when this node began to monitor it
    Ticks load_totals_at = -never;  // when it last published its load totals
    bool alive = true;
};

/// Two node numbers; `none` where there is no such node.
using NodePair = std::array<std::uint32_t, 2>;

}  // namespace lemonstair
