// The file descriptors that this process may hold, and a few spare ones. Where the system runs out of
// descriptors, a spare is closed so that one more client can be accepted and told that the node is full.
#pragma once

#include <array>
#include <cstddef>

#include "config/node_config.h"
#include "net/loop.h"

namespace lemonstair::tunnel {

class DescriptorBudget {
  public:
    // Kept free of clients that are to be served: for listener, discovery, peers, log and new attempts.
    static constexpr std::size_t reserved = 12;
    // Held by a process beside those in its loop: the standard streams and the spares.
    static constexpr std::size_t outside_loop = 6;

    DescriptorBudget(net::EventLoop& loop, const config::NodeConfig& config) : loop_(loop), config_(config) {}
    // What this process may hold: both processes of a node share what is granted to the node.
    std::size_t granted() const {
        return config_.max_descriptors > sibling_held_ ? config_.max_descriptors - sibling_held_ : 0;
    }
    // Whether no more than `margin` of them are left, those outside the loop among them.
    bool is_low(std::size_t margin) const {
        return loop_.descriptors() + sibling_reserve_ + margin >= granted();
    }
    // Descriptors that another process of this node holds.
    std::size_t sibling_held() const { return sibling_held_; }
    void set_sibling_held(std::size_t descriptors) { sibling_held_ = descriptors; }
    // Left free for a process that may start, or for what a running one takes before it can report it.
    std::size_t sibling_reserve() const { return sibling_reserve_; }
    void set_sibling_reserve(std::size_t descriptors) { sibling_reserve_ = descriptors; }

    // Opens each spare that is closed, as far as the system has descriptors.
    void refill_spares();
    // False where there was none to close.
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
