// GroupTable: where the tunnels of each group are known to be, and how many groups an ep holds.
#pragma once
#include <algorithm>
#include <cstdint>
#include <vector>

#include "balance/id_index.h"

namespace lemonstair {

class GroupTable {
  public:
    struct Place {
        std::uint32_t ep = 0;
        int members = 0;            // tunnels known there
        std::int64_t home_at = -1;  // when it was last told to be a home of the group; never: -1
    };
    void add(std::uint32_t group, std::uint32_t ep, int by) {
        if (group == 0) return;
        Place& p = place(group, ep);
        const bool held = p.members > 0;
        p.members = std::max(0, p.members + by);
        if (held != (p.members > 0)) groups_on_.put(ep, groups_on(ep) + (held ? -1 : 1));
        if (p.members > 0 || p.home_at >= 0) return;
        auto& places = places_[index_.find(group)];
        p = places.back();
        places.pop_back();
    }
    void set_home(std::uint32_t group, std::uint32_t ep, std::int64_t at) { place(group, ep).home_at = at; }
    const std::vector<Place>& of(std::uint32_t group) const {
        const std::uint32_t at = index_.find(group);
        return at == IdIndex::none ? nowhere_ : places_[at];
    }
    int members(std::uint32_t group, std::uint32_t ep) const {
        for (const auto& p : of(group))
            if (p.ep == ep) return p.members;
        return 0;
    }
    std::uint32_t groups_on(std::uint32_t ep) const {
        const std::uint32_t n = groups_on_.find(ep);
        return n == IdIndex::none ? 0 : n;
    }

    // Calls each(group, ep, when it was told) for each home of a group.
    template <class Each>
    void each_home(Each&& each) const {
        for (std::size_t at = 0; at < groups_.size(); ++at)
            for (const Place& p : places_[at])
                if (p.home_at >= 0) each(groups_[at], p.ep, p.home_at);
    }

  private:
    Place& place(std::uint32_t group, std::uint32_t ep) {
        std::uint32_t at = index_.find(group);
        if (at == IdIndex::none) {
            at = static_cast<std::uint32_t>(places_.size());
            places_.emplace_back();
            index_.put(group, at);
            groups_.push_back(group);
        }
        for (auto& p : places_[at])
            if (p.ep == ep) return p;
        places_[at].push_back({ep, 0, -1});
        return places_[at].back();
    }
    IdIndex index_, groups_on_;
    std::vector<std::uint32_t> groups_;  // in the order of their places
    std::vector<std::vector<Place>> places_;
    std::vector<Place> nowhere_;
};

}  // namespace lemonstair
