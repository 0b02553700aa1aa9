/// GroupTable: on which endpoints the tunnels of each group are known to be, and how many groups each
/// endpoint holds. Clients choose the names of groups, so a group is kept only while it has a place.
#pragma once
#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "balance/id_index.h"
#include "balance/slab.h"

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
        if (!is_in_use(entry)) erase_unused_places(index_.find(group));
    }
    void set_affinity_target(std::uint32_t group, std::uint32_t endpoint_id, std::int64_t at) {
        place(group, endpoint_id).affinity_target_at = at;
    }
    const std::vector<Place>& places_of(std::uint32_t group) const {
        const std::uint32_t index = index_.find(group);
        return index == IdIndex::none ? no_places_ : groups_[index].places;
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

    /// Forgets the affinity targets that have not become one again since `when`.
    void erase_affinity_targets_before(std::int64_t when) {
        for (std::uint32_t index = 0; index < groups_.slot_count(); ++index) {
            if (!groups_.in_use(index)) continue;
            for (Place& p : groups_[index].places)
                if (p.affinity_target_at < when) p.affinity_target_at = -1;
            erase_unused_places(index);
        }
    }
    /// The number of groups that have a place.
    std::size_t size() const { return size_; }

    /// Calls each(group, endpoint_id, affinity_target_at) for each affinity target, expired ones included.
    template <class Each>
    void each_affinity_target(Each&& each) const {
        for (std::uint32_t index = 0; index < groups_.slot_count(); ++index)
            for (const Place& p : groups_[index].places)
                if (p.affinity_target_at >= 0) each(groups_[index].id, p.endpoint_id, p.affinity_target_at);
    }

  private:
    struct Group {
        std::uint32_t id = 0;
        std::vector<Place> places;
    };
    static bool is_in_use(const Place& place) { return place.members > 0 || place.affinity_target_at >= 0; }
    Place& place(std::uint32_t group, std::uint32_t endpoint_id) {
        std::uint32_t index = index_.find(group);
        if (index == IdIndex::none) {
            index = groups_.allocate();
            ++size_;
            index_.put(group, index);
            groups_[index].id = group;
        }
        std::vector<Place>& places = groups_[index].places;
        for (Place& p : places)
            if (p.endpoint_id == endpoint_id) return p;
        places.push_back({endpoint_id, 0, -1});
        return places.back();
    }
    // The last place takes the position of one that is erased. The group goes with its last place.
    void erase_unused_places(std::uint32_t index) {
        std::vector<Place>& places = groups_[index].places;
        for (std::size_t i = places.size(); i-- > 0;) {
            if (is_in_use(places[i])) continue;
            places[i] = places.back();
            places.pop_back();
        }
        if (!places.empty()) return;
        index_.erase(groups_[index].id);
        groups_.release(index);
        --size_;
    }
    IdIndex index_, group_counts_;  // index into groups_ by group id; number of groups by endpoint id
    Slab<Group> groups_;
    std::size_t size_ = 0;
    std::vector<Place> no_places_;  // returned for an unknown group; always empty
};

}  // namespace lemonstair
