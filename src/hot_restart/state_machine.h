/// The states of a hot restart: the role that a process has while a new process takes over its node, and the
/// events that change the role. This is a transition table without sockets or timers; session.h drives it.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace lemonstair::hot_restart {

/// The new process goes through standalone, requesting_state, taking_over, receiving and standalone; the old
/// process through standalone, offering_state, transferring and transferred, and exits.
enum class Role : std::uint8_t {
    standalone,        // no other process takes part
    requesting_state,  // new process: waits for the state of the old process
    offering_state,    // old process: has sent its state and is still the node
    transferring,      // old process: is replaced and still has tunnels to transfer
    transferred,       // old process: is replaced and has no tunnels left
    taking_over,       // new process: is the node, but the old one may still accept clients
    receiving          // new process: is the node and still receives tunnels
};

enum class Event : std::uint8_t {
    peer_found,        // new process: it is connected to an old process and about to send its request
    request_received,  // old process: a new process asked for the state
    state_received,    // new process: the state is complete
    peer_ready,        // old process: the new one has become the node
    peer_stopped,      // new process: the old one accepts no clients any more
    all_transferred,   // old process: it has no tunnels left
    tunnel_pending,    // old process: a tunnel can be transferred that opened after the others had left
    disconnected       // the connection is lost, or one side abandoned the restart
};

/// The role's name in log lines.
std::string_view name_of(Role role);

/// The role after `event`; nothing where the event is invalid in role `from`. The peer then violates the
/// protocol.
std::optional<Role> next(Role from, Event event);

/// Whether a process in this role is the node: it exchanges gossip with peers, follows discovery and sends
/// health checks. During a restart exactly one of the two processes is the node, except that both are from
/// the moment when the new one begins until the old one receives `ready`.
constexpr bool is_active(Role role) {
    return role == Role::standalone || role == Role::offering_state || role == Role::taking_over ||
           role == Role::receiving;
}

/// Whether a process in this role accepts clients and answers PING. Never both do: clients wait in the queue
/// of the listening socket from the moment when the old process stops until the new one hears of it.
constexpr bool accepts_clients(Role role) { return is_active(role) && role != Role::taking_over; }

/// Whether a process in this role has been replaced and transfers its tunnels to the new process.
constexpr bool is_replaced(Role role) { return role == Role::transferring || role == Role::transferred; }

}  // namespace lemonstair::hot_restart
