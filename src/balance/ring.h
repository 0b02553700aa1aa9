/// Ring: nodes on a consistent hash ring, and the chain of a key on it.
#pragma once
#include <algorithm>
#include <array>
#include <cstdint>
#include <utility>
#include <vector>

#include "balance/id_index.h"

namespace lemonstair {

class Ring {
  public:
    static constexpr std::size_t longest_chain = 8;
    using Chain = std::array<std::uint32_t, longest_chain>;

    void build(std::uint32_t nodes) {
        constexpr int points_per_node = 32;
        constexpr std::uint64_t salt = 0x9e3779b97f4a7c15ULL;
        for (std::uint32_t n = 0; n < nodes; ++n)
            for (std::uint64_t i = 0; i < points_per_node; ++i)
                points_.emplace_back(mix((std::uint64_t{n} << 32) + i + salt), n);
        std::sort(points_.begin(), points_.end());
    }
    // The first live node from a key's point on.
    template <class IsAlive>
    std::uint32_t first(std::uint64_t key, IsAlive&& is_alive) const {
        Chain nodes{};
        chain(key, 1, is_alive, nodes);
        return nodes[0];
    }
    // The chain of a key, tail first (the first live node from the key's point on), then its predecessors.
    // Returns the number of nodes.
    template <class IsAlive>
    std::size_t chain(std::uint64_t key, std::size_t length, IsAlive&& is_alive, Chain& out) const {
        const auto it =
            std::lower_bound(points_.begin(), points_.end(), std::pair(mix(key), std::uint32_t{0}));
        std::size_t i = it == points_.end() ? 0 : static_cast<std::size_t>(it - points_.begin());
        for (std::size_t step = 0; step < points_.size() && !is_alive(points_[i].second); ++step)
            i = (i + 1) % points_.size();
        std::size_t n = 0;
        for (std::size_t step = 0; step < points_.size() && n < std::min(length, out.size()); ++step) {
            const std::uint32_t node = points_[i].second;
            const auto end = out.begin() + static_cast<std::ptrdiff_t>(n);
            if (is_alive(node) && std::find(out.begin(), end, node) == end) out[n++] = node;
            i = (i + points_.size() - 1) % points_.size();
        }
        return n;
    }

  private:
    std::vector<std::pair<std::uint64_t, std::uint32_t>> points_;
};

}  // namespace lemonstair
