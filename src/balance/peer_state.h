/// What a node knows of another node.
#pragma once
#include <array>
#include <cstdint>

#include "balance/endpoint.h"

namespace lemonstair {

struct Peer {
    Ticks heard_at = 0;
    Ticks load_totals_at = -never;  // when it last published its load totals
    bool alive = true;
};

using NodePair = std::array<std::uint32_t, 2>;

}  // namespace lemonstair
