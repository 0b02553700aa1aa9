/// What a process reports to the other process of its node about the id of a client's request.
#pragma once

#include <cstdint>

namespace lemonstair::request_ids {

/// The values are part of the hot restart protocol.
enum class IdState : std::uint8_t {
    released,        // no tunnel has the id; another request may claim it
    claimed,         // a tunnel of the reporting process has the id
    recently_closed  // the request with this id has ended, and an endpoint may have executed it
};
constexpr IdState last_id_state = IdState::recently_closed;

struct IdChange {
    std::uint64_t id_hash = 0;  // the same in all processes of a node
    IdState state = IdState::released;
    bool operator==(const IdChange&) const = default;
};

}  // namespace lemonstair::request_ids
