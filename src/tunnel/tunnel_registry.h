// The registry of all tunnels of this process, and what their stages share: loop, buffers, balancer, endpoint
// directory, counters. Every change of a tunnel's state goes through transition_to, which checks and counts
// it.
#pragma once

#include <array>
#include <cstdint>
#include <limits>

#include "balance/balance.h"
#include "balance/id_index.h"
#include "balance/slab.h"
#include "config/node_config.h"
#include "discovery/endpoint_directory.h"
#include "log/log.h"
#include "metrics/resource_counters.h"
#include "metrics/tunnel_counters.h"
#include "net/buffer_pool.h"
#include "net/loop.h"
#include "tunnel/descriptor_budget.h"
#include "tunnel/tunnel.h"

namespace lemonstair::tunnel {

// A tunnel's number: its slot, and above it the serial of the slot's use, so that a late event of one tunnel
// never reaches the next. The balancer uses the same number; with the side it is the token of a socket.
using TunnelId = std::uint64_t;
enum class Side : std::uint8_t { client, endpoint };

// A client is accepted for rejection where there are no descriptors to serve it: it is only told so.
enum class AcceptedFor : std::uint8_t { service, rejection };

// Since the start of this process.
struct TunnelTotals {
    std::uint64_t accepted = 0;         // requests that were read
    std::uint64_t opened = 0;           // attempts that an endpoint took
    std::uint64_t rejected = 0;         // told that nothing was done
    std::uint64_t failed = 0;           // closed with an error
    std::uint64_t over_capacity = 0;    // of those rejected: the node was full
    std::uint64_t migrated = 0;         // clients that were sent away from an open tunnel
    std::uint64_t stalled = 0;          // of those migrated: the endpoint answered no line any more
    std::uint64_t protocol_errors = 0;  // closed with an error for what the client sent
    std::uint64_t evicted = 0;          // idle connections that were closed for their descriptors
};

class TunnelRegistry {
  public:
    static constexpr Ticks no_deadline = std::numeric_limits<Ticks>::max() / 4;
    // In `by_id_hash`: the id belonged to a tunnel that was open lately.
    static constexpr std::uint32_t recently_closed = IdIndex::none - 1;

    TunnelRegistry(net::EventLoop& event_loop, net::EventHandler& handler,
                   const config::NodeConfig& node_config, discovery::EndpointDirectory& directory,
                   log::Log& node_log, metrics::ResourceCounters& counters)
        : loop(event_loop),
          event_handler(handler),
          config(node_config),
          endpoints(directory),
          log(node_log),
          resource_counters(counters),
          descriptors(event_loop, node_config),
          tunnel_counters(node_config.traffic_class_names.size()) {}

    TunnelId id_of(std::uint32_t index) const {
        return TunnelId{tunnels.generation(index) & 0x7fffffffU} << 32 | index;
    }
    // Null where the tunnel is gone.
    Tunnel* find(TunnelId id) {
        const auto index = static_cast<std::uint32_t>(id);
        return tunnels.in_use(index) && id_of(index) == id ? &tunnels[index] : nullptr;
    }
    // A tunnel for an accepted client, in no state yet: a transition must follow.
    TunnelId add(net::Fd client, AcceptedFor purpose);
    // Calls visit(index, tunnel) for each tunnel in use, in the order of slots.
    template <class Visit>
    void for_each(Visit&& visit) {
        for (std::uint32_t index = 0; index < tunnels.slot_count(); ++index)
            if (tunnels.in_use(index)) visit(index, tunnels[index]);
    }
    // A socket of a tunnel, whose events go to the stage that the tunnel's state names.
    net::Socket make_socket(TunnelId id, Side side, net::Fd fd, short events) {
        return {loop, std::move(fd), events, event_handler, id << 1 | static_cast<std::uint64_t>(side)};
    }
    // The balancer, its clock set to the loop's.
    Balancer& balancer_now() {
        balancer->set_time(loop.now());
        return *balancer;
    }
    // The stage of the tunnel is called at `deadline`; an earlier timer that is still out is told by this.
    void set_state_deadline(TunnelId id, Tunnel& tunnel, Ticks deadline) {
        tunnel.state_deadline = deadline;
        loop.schedule(deadline, event_handler, id << 1);
    }
    void transition_to(TunnelId id, TunnelState to);
    // Counts and logs an effect that the code must never have.
    void report_violation(metrics::Invariant rule, TunnelId id, std::string_view detail);
    // Whether the client has ended its sending or its connection; asks the system.
    bool client_disconnected(const Tunnel& tunnel) const;
    // Once there are descriptors again: lets a tunnel that was accepted only to be rejected be served. False
    // where there are none.
    bool try_serve_reject_only(Tunnel& tunnel);

    std::size_t tunnel_count() const { return tunnel_count_; }
    // From a complete request to the final line.
    std::size_t admitted_count() const { return admitted_count_; }
    std::size_t closing_count() const { return closing_count_; }
    std::size_t reading_request_count() const { return tunnel_count_ - admitted_count_ - closing_count_; }
    std::size_t reject_only_count() const { return reject_only_count_; }

    net::EventLoop& loop;
    net::EventHandler& event_handler;
    const config::NodeConfig& config;
    discovery::EndpointDirectory& endpoints;
    log::Log& log;
    metrics::ResourceCounters& resource_counters;
    Balancer* balancer = nullptr;
    DescriptorBudget descriptors;
    net::BufferPool pool;
    Slab<Tunnel> tunnels;
    IdIndex by_id_hash;  // admitted tunnels -> slot; ids of tunnels open lately -> recently_closed
    metrics::TunnelCounters tunnel_counters;
    TunnelTotals totals;
    bool ready = false;  // the answer to a readiness check
    // While the node drains: final answers are due, and migrated tunnels are closed, by these.
    Ticks answer_deadline = no_deadline, close_deadline = no_deadline;

  private:
    void check_close(TunnelId id, const Tunnel& tunnel, TunnelState to);
    void count_final_answer(Tunnel& tunnel, TunnelState to);
    void release_id(const Tunnel& tunnel, std::uint32_t index);

    std::size_t tunnel_count_ = 0;
    std::size_t admitted_count_ = 0;
    std::size_t closing_count_ = 0;
    std::size_t reject_only_count_ = 0;
    std::array<std::uint64_t, 1024> recent_id_hashes_{};  // a ring
    std::size_t next_recent_ = 0;
};

}  // namespace lemonstair::tunnel
