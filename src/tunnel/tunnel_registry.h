/// The registry of all tunnels of this process, and the context that their stages share: event loop, buffers,
/// balancer, endpoint directory and counters. All state changes go through transition_to, which checks and
/// counts them.
#pragma once

#include <cstdint>
#include <limits>

#include "balance/balance.h"
#include "balance/slab.h"
#include "config/node_config.h"
#include "discovery/endpoint_directory.h"
#include "log/log.h"
#include "metrics/resource_counters.h"
#include "metrics/tunnel_counters.h"
#include "net/buffer_pool.h"
#include "net/loop.h"
#include "request_ids/id_registry.h"
#include "tunnel/descriptor_budget.h"
#include "tunnel/request_line.h"
#include "tunnel/tunnel.h"

namespace lemonstair::tunnel {

/// The id of a tunnel: its slot in the low 32 bits, and above it the serial number of the slot's use, so that
/// a late event of one tunnel never reaches the next tunnel in the slot. The balancer uses the same id.
using TunnelId = std::uint64_t;
enum class Side : std::uint8_t { client, endpoint };

/// A client is accepted for rejection if there are no descriptors to serve it: it is only told that the node
/// is full.
enum class AcceptedFor : std::uint8_t { service, rejection };

/// Totals since the start of this process.
struct TunnelTotals {
    std::uint64_t accepted = 0;         // requests that were read
    std::uint64_t opened = 0;           // attempts that an endpoint accepted
    std::uint64_t rejected = 0;         // clients told that nothing was done for them
    std::uint64_t failed = 0;           // closed with an error
    std::uint64_t over_capacity = 0;    // of those rejected: because the node was full
    std::uint64_t migrated = 0;         // clients of open tunnels told to reconnect elsewhere
    std::uint64_t stalled = 0;          // of those migrated: because the endpoint no longer answered
    std::uint64_t protocol_errors = 0;  // closed with an error because of invalid client input
    std::uint64_t evicted = 0;          // idle connections closed to free their descriptors
};

/// Members that the stages use directly are public; the counts follow from the state changes.
class TunnelRegistry {
  public:
    static constexpr Ticks no_deadline = std::numeric_limits<Ticks>::max() / 4;

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
    /// Null if the tunnel no longer exists.
    Tunnel* find(TunnelId id) {
        const auto index = static_cast<std::uint32_t>(id);
        return tunnels.in_use(index) && id_of(index) == id ? &tunnels[index] : nullptr;
    }
    /// Adds a tunnel for an accepted client. Its state is still `free`: the caller must call transition_to
    /// next.
    TunnelId add(net::Fd client, AcceptedFor purpose);
    /// Calls visit(index, tunnel) for each tunnel, in the order of slots.
    template <class Visit>
    void for_each(Visit&& visit) {
        for (std::uint32_t index = 0; index < tunnels.slot_count(); ++index)
            if (tunnels.in_use(index)) visit(index, tunnels[index]);
    }
    /// Wraps a descriptor of a tunnel; its events go to the stage for the tunnel's state.
    net::Socket make_socket(TunnelId id, Side side, net::Fd fd, short events) {
        return {loop, std::move(fd), events, event_handler, id << 1 | static_cast<std::uint64_t>(side)};
    }
    /// The balancer, with its clock set to the loop's time.
    Balancer& balancer_now() {
        balancer->set_time(loop.now());
        return *balancer;
    }
    /// Calls the tunnel's stage at `deadline`. Timers cannot be cancelled: a stage recognizes an outdated one
    /// by comparing the time with state_deadline.
    void set_state_deadline(TunnelId id, Tunnel& tunnel, Ticks deadline) {
        tunnel.state_deadline = deadline;
        loop.schedule(deadline, event_handler, id << 1);
    }
    void transition_to(TunnelId id, TunnelState to);
    /// Counts and logs the violation of an invariant.
    void report_violation(metrics::Invariant rule, TunnelId id, std::string_view detail);
    /// Whether the client has closed its sending side or its connection; asks the system.
    bool client_disconnected(const Tunnel& tunnel) const;
    /// Whether the client's end is the next thing to be read from it; asks the system. An end behind unread
    /// bytes is noticed in the next pass, before the request is sent to an endpoint.
    static bool is_at_end(const Tunnel& tunnel);
    /// Parses the tunnel's request line again, received at this time. It was valid when it was accepted, so
    /// this cannot fail.
    RequestLine request_of(const Tunnel& tunnel, Ticks received_at) const;
    /// If descriptors have become free, turns a tunnel that was accepted only for rejection into one that is
    /// served. Returns false if none are free.
    bool try_serve_reject_only(Tunnel& tunnel);

    std::size_t tunnel_count() const { return tunnel_count_; }
    /// Tunnels from their complete request to their final line.
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
    request_ids::IdRegistry ids{[this](std::uint32_t slot) { return is_at_end(tunnels[slot]); }};
    metrics::TunnelCounters tunnel_counters;
    TunnelTotals totals;
    bool ready = false;  // whether a readiness check succeeds
    // While the node shuts down: when all final answers must be given, and all migrated tunnels closed.
    Ticks answer_deadline = no_deadline, close_deadline = no_deadline;

  private:
    void check_close(TunnelId id, const Tunnel& tunnel, TunnelState to);
    void count_final_answer(Tunnel& tunnel, TunnelState to);
    void release_id(const Tunnel& tunnel, std::uint32_t slot);

    std::size_t tunnel_count_ = 0;
    std::size_t admitted_count_ = 0;
    std::size_t closing_count_ = 0;
    std::size_t reject_only_count_ = 0;
};

}  // namespace lemonstair::tunnel
