/// GroupTable: on which endpoints the tunnels of each group are known to be, and how many groups each
/// endpoint holds.
#pragma once
#include <algorithm>
#include <cstdint>
#include <vector>

#include "balance/id_index.h"

namespace lemonstair {

class GroupTable {
  public:
    /// A group's state on one endpoint.
    struct Place {
        std::uint32_t endpoint_id = 0;
        int members = 0;                       // tunnels of the group known there
        std::int64_t affinity_target_at = -1;  // when it last became an affinity target; -1: never
    };
    /// Changes the number of the group's tunnels on an endpoint by `by`. Group 0 stands for no group.
    void add(std::uint32_t group, std::uint32_t endpoint_id, int by) {
        if (group == 0) return;
        Place& entry = place(group, endpoint_id);
        const bool held = entry.members > 0;
        entry.members = std::max(0, entry.members + by);
        if (held != (entry.members > 0))
            group_counts_.put(endpoint_id, group_count(endpoint_id) + (held ? -1 : 1));
        if (entry.members > 0 || entry.affinity_target_at >= 0) return;  // the place is still in use
        auto& places = places_[index_.find(group)];
        entry = places.back();
        places.pop_back();
    }
    void set_affinity_target(std::uint32_t group, std::uint32_t endpoint_id, std::int64_t at) {
        place(group, endpoint_id).affinity_target_at = at;
    }
    const std::vector<Place>& places_of(std::uint32_t group) const {
        const std::uint32_t index = index_.find(group);
        return index == IdIndex::none ? no_places_ : places_[index];
    }
    int members(std::uint32_t group, std::uint32_t endpoint_id) const {
        for (const auto& p : places_of(group))
            if (p.endpoint_id == endpoint_id) return p.members;
        return 0;
    }
    /// The number of groups with tunnels on an endpoint.
    std::uint32_t group_count(std::uint32_t endpoint_id) const {
        const std::uint32_t count = group_counts_.find(endpoint_id);
        return count == IdIndex::none ? 0 : count;
    }

    /// Calls each(group, endpoint_id, affinity_target_at) for each affinity target, expired ones included.
    template <class Each>
    void each_affinity_target(Each&& each) const {
        for (std::size_t index = 0; index < groups_.size(); ++index)
            for (const Place& p : places_[index])
                if (p.affinity_target_at >= 0) each(groups_[index], p.endpoint_id, p.affinity_target_at);
    }

  private:
    Place& place(std::uint32_t group, std::uint32_t endpoint_id) {
        std::uint32_t index = index_.find(group);
        if (index == IdIndex::none) {
            index = static_cast<std::uint32_t>(places_.size());
            places_.emplace_back();
            index_.put(group, index);
            groups_.push_back(group);
        }
        for (auto& p : places_[index])
            if (p.endpoint_id == endpoint_id) return p;
        places_[index].push_back({endpoint_id, 0, -1});
        return places_[index].back();
    }
    IdIndex index_, group_counts_;       // index into places_ by group id; number of groups by endpoint id
    std::vector<std::uint32_t> groups_;  // group ids, in the order of places_
    std::vector<std::vector<Place>> places_;
    std::vector<Place> no_places_;  // returned for an unknown group; always empty
};

}  // namespace lemonstair
