// GroupTable: how many tunnels of a group are known on an ep, and how many groups an ep holds.
#pragma once
#include <cstdint>

#include "balance/id_index.h"
#include "balance/slab.h"

namespace lemonstair {

class GroupTable {
  public:
    void add(std::uint32_t group, std::uint32_t ep, int by) {
        if (group == 0) return;
        const std::uint64_t id = std::uint64_t{group} << 32 | ep;
        std::uint32_t at = index_.find(id);
        if (at == IdIndex::none) {
            at = counts_.take();
            index_.put(id, at);
            groups_on_.put(ep, groups_on(ep) + 1);
        }
        counts_[at] += by;
        if (counts_[at] > 0) return;
        counts_.give_back(at);
        index_.drop(id);
        groups_on_.put(ep, groups_on(ep) - 1);
    }
    int members(std::uint32_t group, std::uint32_t ep) const {
        const std::uint32_t at = group == 0 ? IdIndex::none : index_.find(std::uint64_t{group} << 32 | ep);
        return at == IdIndex::none ? 0 : counts_[at];
    }
    std::uint32_t groups_on(std::uint32_t ep) const {
        const std::uint32_t n = groups_on_.find(ep);
        return n == IdIndex::none ? 0 : n;
    }

  private:
    IdIndex index_, groups_on_;
    Slab<int> counts_;
};

}  // namespace lemonstair
