/// The number of file descriptors that this process may hold, and a few spare ones. When the system runs out
/// of descriptors, a spare is closed so that another client can be accepted and told that the node is full.
#pragma once

#include <array>
#include <cstddef>

#include "config/node_config.h"
#include "net/loop.h"

namespace lemonstair::tunnel {

class DescriptorBudget {
  public:
    /// Not available to clients that are to be served: for listener, discovery, peers, log and new attempts.
    static constexpr std::size_t reserved = 12;
    /// Descriptors that the event loop does not count: the standard streams and the spares.
    static constexpr std::size_t outside_loop = 6;
    /// Of the reserved ones, not available to connections of clients and endpoints: for two calls to
    /// discovery at a time and for the configuration file, with those outside the loop.
    static constexpr std::size_t reserved_for_node = outside_loop + 3;

    DescriptorBudget(net::EventLoop& loop, const config::NodeConfig& config) : loop_(loop), config_(config) {}
    /// The limit of this process. The two processes of a node share the limit of the node.
    std::size_t granted() const {
        return config_.max_descriptors > sibling_held_ ? config_.max_descriptors - sibling_held_ : 0;
    }
    /// Whether at most `margin` of the granted descriptors are neither held by the event loop nor left free
    /// for the sibling. Those outside the loop are not counted as held, so `margin` must include them.
    bool is_low(std::size_t margin) const {
        return loop_.descriptors() + sibling_reserve_ + margin >= granted();
    }
    /// Descriptors that the sibling, the other process of this node, holds.
    std::size_t sibling_held() const { return sibling_held_; }
    void set_sibling_held(std::size_t descriptors) { sibling_held_ = descriptors; }
    /// Left free for a sibling that may start, or for what a running one takes before it can report that.
    std::size_t sibling_reserve() const { return sibling_reserve_; }
    void set_sibling_reserve(std::size_t descriptors) { sibling_reserve_ = descriptors; }

    /// Opens each missing spare, as far as the system has descriptors.
    void refill_spares();
    /// Closes a spare. Returns false if there is none.
    bool release_spare();
    bool has_all_spares() const;

  private:
    net::EventLoop& loop_;
    const config::NodeConfig& config_;
    std::size_t sibling_held_ = 0;
    std::size_t sibling_reserve_ = 0;
    std::array<net::Fd, 3> spares_;
};

}  // namespace lemonstair::tunnel
