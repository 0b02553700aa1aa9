/// Ring: a consistent hash ring of nodes. A key selects a chain of nodes on it.
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

    /// Places the nodes numbered 0 to nodes - 1 on an empty ring.
    void build(std::uint32_t nodes) {
        constexpr int points_per_node = 32;
        constexpr std::uint64_t salt = 0x9e3779b97f4a7c15ULL;
        for (std::uint32_t node = 0; node < nodes; ++node)
            for (std::uint64_t i = 0; i < points_per_node; ++i)
                points_.emplace_back(mix((std::uint64_t{node} << 32) + i + salt), node);
        std::sort(points_.begin(), points_.end());
    }
    /// The first live node from the point of a key. At least one node must be alive.
    template <class IsAlive>
    std::uint32_t first(std::uint64_t key, IsAlive&& is_alive) const {
        Chain nodes{};
        chain(key, 1, is_alive, nodes);
        return nodes[0];
    }
    /// Writes the chain of a key to `out`: the tail, which is the first live node from the point of the key,
    /// then the live nodes before it on the ring. Returns the number of nodes, at most `length` and
    /// longest_chain.
    template <class IsAlive>
    std::size_t chain(std::uint64_t key, std::size_t length, IsAlive&& is_alive, Chain& out) const {
        const auto it =
            std::lower_bound(points_.begin(), points_.end(), std::pair(mix(key), std::uint32_t{0}));
        std::size_t i = it == points_.end() ? 0 : static_cast<std::size_t>(it - points_.begin());
        for (std::size_t step = 0; step < points_.size() && !is_alive(points_[i].second); ++step)
            i = (i + 1) % points_.size();
        std::size_t count = 0;
        for (std::size_t step = 0; step < points_.size() && count < std::min(length, out.size()); ++step) {
            const std::uint32_t node = points_[i].second;
            const auto end = out.begin() + static_cast<std::ptrdiff_t>(count);
            if (is_alive(node) && std::find(out.begin(), end, node) == end) out[count++] = node;
            i = (i + points_.size() - 1) % points_.size();
        }
        return count;
    }

  private:
    std::vector<std::pair<std::uint64_t, std::uint32_t>> points_;  // hash and node, sorted
};

}  // namespace lemonstair
