/// RecordTable: the newest record of each key, and what these records add up to. Of equal stamps the larger
// endpoint_id id stays, so that every node settles on the same.
#pragma once
#include <cstdint>

#include "balance/balance.h"
#include "balance/group_table.h"
#include "balance/id_index.h"
#include "balance/slab.h"

namespace lemonstair {

struct Record {
    std::uint64_t key = 0;
    Ticks stamp = 0, heard_at = 0;
    std::uint32_t endpoint_id = 0, group = 0;
    double load = 0;
    bool sampled = false;  // held as the carrier or on the chain, not for the group
};

class RecordTable {
  public:
    const Record* find(std::uint64_t key) const {
        const std::uint32_t index = index_.find(key);
        return index == IdIndex::none ? nullptr : &records_[index];
    }
    // False where a newer record stands.
    bool put(const Record& record) {
        std::uint32_t index = index_.find(record.key);
        if (index == IdIndex::none) {
            index = records_.allocate();
            ++size_;
            index_.put(record.key, index);
        } else {
            const Record& existing = records_[index];
            if (existing.stamp > record.stamp ||
                (existing.stamp == record.stamp && existing.endpoint_id > record.endpoint_id))
                return false;
            count(existing, -1);
        }
        records_[index] = record;
        count(record, 1);
        return true;
    }
    void erase(std::uint64_t key) {
        const std::uint32_t index = index_.find(key);
        if (index == IdIndex::none) return;
        count(records_[index], -1);
        index_.erase(key);
        records_.release(index);
        --size_;
    }
    void erase_older_than(Ticks when) {
        for (std::uint32_t i = 0; i < records_.slot_count(); ++i)
            if (records_.in_use(i) && records_[i].heard_at < when) erase(records_[i].key);
    }
    std::size_t size() const { return size_; }
    template <class Visit>
    void for_each(Visit&& visit) const {
        for (std::uint32_t i = 0; i < records_.slot_count(); ++i)
            if (records_.in_use(i)) visit(records_[i]);
    }
    GroupTable& groups() { return groups_; }
    const GroupTable& groups() const { return groups_; }
    // Loads of the tunnels whose records are held as their carrier or on their chain, and the part placed
    // before `born`. Records of ended tunnels stay, so only those refreshed since count.
    struct SampledLoad {
        double load = 0, older = 0;
    };
    SampledLoad sampled(Ticks since, Ticks born) const {
        SampledLoad sum;
        for_each([&](const Record& record) {
            if (!record.sampled || record.heard_at < since) return;
            sum.load += record.load;
            sum.older += record.stamp < born ? record.load : 0;
        });
        return sum;
    }

  private:
    void count(const Record& record, int by) { groups_.add(record.group, record.endpoint_id, by); }
    IdIndex index_;
    Slab<Record> records_;
    std::size_t size_ = 0;
    GroupTable groups_;
};

}  // namespace lemonstair
