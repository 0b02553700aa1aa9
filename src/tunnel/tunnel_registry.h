// What the stages of a tunnel share: the loop, the buffers, the slab of tunnels, the module, the hosts; and
// the one function through which every change of a tunnel's state goes.
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
#include "tunnel/tunnel.h"

namespace lemonstair::tunnel {

// A tunnel's number: its place in the slab and the use of that place, so that a late word about one never
// reaches the next. It is the module's number for it too, and with the side the token of its sockets.
using TunnelId = std::uint64_t;
enum class Side : std::uint8_t { client, host };

struct TunnelTotals {
    std::uint64_t taken = 0, opened = 0, declined = 0, failed = 0, busy = 0, moved = 0, silent = 0, bad = 0,
                  gave_way = 0;
};

struct TunnelRegistry {
    TunnelRegistry(net::EventLoop& with, net::EventHandler& stages, const config::NodeConfig& by,
                   discovery::EndpointDirectory& of, log::Log& to, metrics::ResourceCounters& counts)
        : loop(with),
          waiter(stages),
          launch(by),
          hosts(of),
          log(to),
          costs(counts),
          outcomes(by.traffic_class_names.size()) {}

    TunnelId id_of(std::uint32_t at) const { return TunnelId{tunnels.serial(at) & 0x7fffffffU} << 32 | at; }
    // Nothing where the tunnel is no more.
    Tunnel* find(TunnelId id) {
        const auto at = static_cast<std::uint32_t>(id);
        return tunnels.used(at) && id_of(at) == id ? &tunnels[at] : nullptr;
    }
    TunnelId open(net::Fd client, bool by_the_door) {
        const std::uint32_t at = tunnels.take();
        tunnels[at].at_door = by_the_door;
        at_door += by_the_door ? 1 : 0;
        tunnels[at].client = socket(id_of(at), Side::client, std::move(client), POLLIN);
        ++in_hand;
        return id_of(at);
    }
    net::Socket socket(TunnelId id, Side side, net::Fd fd, short events) {
        return {loop, std::move(fd), events, waiter, id << 1 | static_cast<std::uint64_t>(side)};
    }
    // The module, with the time told.
    Balancer& mind() {
        balancer->set_time(loop.now());
        return *balancer;
    }
    void set_due(TunnelId id, Tunnel& t, Ticks when) {
        t.due = when;
        loop.schedule(when, waiter, id << 1);
    }
    // Descriptors that are left when no more connections are accepted, if only to be told to go: for what the
    // node needs beside tunnels, the listener, discovery, the peers, the log and others, and for setups.
    static constexpr std::size_t fewest_left = 12;
    // That a process has beside those in its loop: the standard ones and the spares.
    static constexpr std::size_t outside_loop = 6;
    // Whether only so many of the descriptors granted are left, those outside the loop among them.
    bool down_to(std::size_t left) const { return loop.descriptors() + for_other + left >= granted(); }
    // Another process of this node may hold a part of what both are granted together.
    std::size_t granted() const {
        return launch.max_descriptors > elsewhere ? launch.max_descriptors - elsewhere : 0;
    }
    std::size_t taking_in() const { return in_hand - admitted - departing; }
    void go(TunnelId id, TunnelState to);
    // Counts and tells an effect that should not have been.
    void violated(metrics::Invariant rule, TunnelId id, std::string_view detail);
    // Whether the client has ended its sending or its connection, asked of the system just now.
    bool client_is_gone(const Tunnel& t) const;

    net::EventLoop& loop;
    net::EventHandler& waiter;
    const config::NodeConfig& launch;
    discovery::EndpointDirectory& hosts;
    log::Log& log;
    metrics::ResourceCounters& costs;
    Balancer* balancer = nullptr;
    net::BufferPool pool;
    Slab<Tunnel> tunnels;
    // Of the tunnels between admission and their last words: name -> place; of those that were open lately:
    // spent.
    static constexpr std::uint32_t spent = IdIndex::none - 1;
    IdIndex names;
    metrics::TunnelCounters outcomes;
    TunnelTotals tally;
    bool ready = false;  // what PING is told
    // A node that empties: final answers are due by then, and moved tunnels are over.
    static constexpr Ticks no_end = std::numeric_limits<Ticks>::max() / 4;
    Ticks answer_by = no_end, over_by = no_end;
    std::size_t elsewhere = 0;  // descriptors that another process of this node holds
    std::size_t for_other = 0;  // left to one that may come, or for what it takes before it can say so
    std::size_t in_hand = 0;    // tunnels that are not free
    std::size_t admitted = 0;   // of these, those past their first line and before their last words
    std::size_t departing = 0;
    std::size_t at_door = 0;  // in hand only to be declined

    // Guards against a system without descriptors: some are held that are given up for clients who can then
    // be told; what such a client gives back is held again at once.
    void keep_spares();
    bool give_up_spare();
    // There are descriptors again, also for a tunnel that was let in only to be declined.
    bool comes_in(Tunnel& t);

  private:
    void check_ending(TunnelId id, const Tunnel& t, TunnelState to);
    void count_outcome(Tunnel& t, TunnelState to);
    void let_go(Tunnel& t, std::uint32_t place);
    std::array<std::uint64_t, 1024> spent_names_{};
    std::size_t next_spent_ = 0;
    std::array<net::Fd, 3> spares_;
};

}  // namespace lemonstair::tunnel
