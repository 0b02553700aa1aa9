/// The ids of requests that have ended and that an endpoint may have executed. No I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>

namespace lemonstair::request_ids {

/// Ids are given by their hashes. When there are too many, those that were added longest ago are forgotten.
class ClosedIds {
  public:
    /// How many ids are remembered, in all.
    static constexpr std::size_t capacity = 65536;

    bool contains(std::uint64_t id_hash) const { return serials_.count(id_hash) > 0; }
    std::size_t size() const { return serials_.size(); }
    /// An id that is remembered already counts as added now.
    void add(std::uint64_t id_hash) {
        serials_[id_hash] = ++additions_;
        in_order_.push_back({id_hash, additions_});
        if (in_order_.size() <= capacity) return;
        if (is_current(in_order_.front())) serials_.erase(in_order_.front().id_hash);
        in_order_.pop_front();
    }
    /// Calls visit(id_hash) for each id, in the order in which they were added.
    template <class Visit>
    void for_each(Visit&& visit) const {
        for (const Addition& addition : in_order_)
            if (is_current(addition)) visit(addition.id_hash);
    }

  private:
    struct Addition {
        std::uint64_t id_hash, serial;
    };
    // Whether the id has not been added again since.
    bool is_current(const Addition& addition) const {
        const auto found = serials_.find(addition.id_hash);
        return found != serials_.end() && found->second == addition.serial;
    }

    std::deque<Addition> in_order_;
    std::unordered_map<std::uint64_t, std::uint64_t> serials_;  // by id: the serial number of its addition
    std::uint64_t additions_ = 0;
};

}  // namespace lemonstair::request_ids
