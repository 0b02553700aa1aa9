// The states of a hot restart: which role a process has while a new version takes over its node, and which
// events change it. A pure transition table without sockets or timers; session.h drives it.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace lemonstair::hot_restart {

// Sequence of the new process: standalone, requesting_state, receiving, standalone. Sequence of the old one:
// standalone, offering_state, transferring, transferred, and its exit.
enum class Role : std::uint8_t {
    standalone,        // no other process takes part
    requesting_state,  // new process: waits for the state of the old one
    offering_state,    // old process: sends its state and is still the node
    transferring,      // old process: replaced, still has tunnels to transfer
    transferred,       // old process: replaced, no tunnels left
    receiving          // new process: is the node, tunnels are still arriving
};

enum class Event : std::uint8_t {
    peer_found,        // new process: an old process is connected, the request is about to be sent
    request_received,  // old process: a new process asked for the state
    state_received,    // new process: the state is complete
    peer_ready,        // old process: the new one has become the node
    all_transferred,   // old process: no tunnel is left
    tunnel_pending,    // old process: a tunnel that opened late can be transferred
    disconnected       // the connection is lost, or one side abandoned the restart
};

// The role's name in log lines.
std::string_view name_of(Role role);

// The role after `event`; nothing where the event is invalid in role `from`, so the peer is not to be
// trusted.
std::optional<Role> next(Role from, Event event);

// Whether the process in this role is the node: accepts clients, answers PING, and talks to peers, discovery
// and health checks. During a restart exactly one of the two processes is, but for the overlap between the
// new one's start and the old one's receipt of `ready`.
constexpr bool is_active(Role role) {
    return role == Role::standalone || role == Role::offering_state || role == Role::receiving;
}

// Whether the process has been replaced and hands its tunnels to its successor.
constexpr bool is_replaced(Role role) { return role == Role::transferring || role == Role::transferred; }

}  // namespace lemonstair::hot_restart
