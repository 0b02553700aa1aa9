// RecordTable: the newest record of each key, and what these records add up to. Of equal stamps the larger ep
// id stays, so that every node settles on the same.
#pragma once
#include <cstdint>

#include "balance/balance.h"
#include "balance/group_table.h"
#include "balance/id_index.h"
#include "balance/slab.h"

namespace lemonstair {

struct Record {
    std::uint64_t key = 0;
    Ticks stamp = 0, heard = 0;
    std::uint32_t ep = 0, group = 0;
    double load = 0;
    bool sampled = false;  // held as the carrier or on the chain, not for the group
};

class RecordTable {
  public:
    const Record* find(std::uint64_t key) const {
        const std::uint32_t at = index_.find(key);
        return at == IdIndex::none ? nullptr : &records_[at];
    }
    // False where a newer record stands.
    bool put(const Record& r) {
        std::uint32_t at = index_.find(r.key);
        if (at == IdIndex::none) {
            at = records_.take();
            ++size_;
            index_.put(r.key, at);
        } else {
            const Record& old = records_[at];
            if (old.stamp > r.stamp || (old.stamp == r.stamp && old.ep > r.ep)) return false;
            count(old, -1);
        }
        records_[at] = r;
        count(r, 1);
        return true;
    }
    void drop(std::uint64_t key) {
        const std::uint32_t at = index_.find(key);
        if (at == IdIndex::none) return;
        count(records_[at], -1);
        index_.drop(key);
        records_.give_back(at);
        --size_;
    }
    void drop_unheard_since(Ticks when) {
        for (std::uint32_t i = 0; i < records_.places(); ++i)
            if (records_.used(i) && records_[i].heard < when) drop(records_[i].key);
    }
    std::size_t size() const { return size_; }
    template <class Each>
    void each(Each&& each) const {
        for (std::uint32_t i = 0; i < records_.places(); ++i)
            if (records_.used(i)) each(records_[i]);
    }
    GroupTable& groups() { return groups_; }
    const GroupTable& groups() const { return groups_; }
    // Loads of the tunnels whose records are held as the carrier or on the chain, and of those of them that
    // were placed before `born`. Only what was heard of since counts: the records of what has ended stay for
    // long.
    struct Sampled {
        double load = 0, older = 0;
    };
    Sampled sampled(Ticks since, Ticks born) const {
        Sampled sum;
        each([&](const Record& r) {
            if (!r.sampled || r.heard < since) return;
            sum.load += r.load;
            sum.older += r.stamp < born ? r.load : 0;
        });
        return sum;
    }

  private:
    void count(const Record& r, int by) { groups_.add(r.group, r.ep, by); }
    IdIndex index_;
    Slab<Record> records_;
    std::size_t size_ = 0;
    GroupTable groups_;
};

}  // namespace lemonstair
