/// RecordTable: the newest record of each key, and totals over these records. Of two records with equal
/// stamps the one with the larger endpoint id is kept, so that all nodes agree.
#pragma once
#include <cstdint>

#include "balance/balance.h"
#include "balance/group_table.h"
#include "balance/id_index.h"
#include "balance/slab.h"

namespace lemonstair {

/// Which endpoint holds the tunnel with a key. Nodes replicate records to each other.
struct Record {
    std::uint64_t key = 0;
    // When the tunnel was placed, by RecordReplicator::next_stamp; and when the record last arrived here, on
    // this node's clock.
    Ticks stamp = 0, heard_at = 0;
    std::uint32_t endpoint_id = 0, group = 0;
    double load = 0;  // of the tunnel, in standard cores
    // Whether this node carries the tunnel or is on the chain of the key; otherwise it holds the record only
    // as the leader of the group.
    bool sampled = false;
};

class RecordTable {
  public:
    const Record* find(std::uint64_t key) const {
        const std::uint32_t index = index_.find(key);
        return index == IdIndex::none ? nullptr : &records_[index];
    }
    /// Returns false, without effect, if the table has a newer record of the key.
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
    /// Erases the records that last arrived here before `when`.
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
    /// The load of the tunnels with `sampled` records, and the part of it that was placed before a given
    /// time.
    struct SampledLoad {
        double load = 0, older = 0;
    };
    /// Only records heard since `since` count, because those of ended tunnels stay until they expire.
    SampledLoad sampled(Ticks since, Ticks placed_before) const {
        SampledLoad sum;
        for_each([&](const Record& record) {
            if (!record.sampled || record.heard_at < since) return;
            sum.load += record.load;
            sum.older += record.stamp < placed_before ? record.load : 0;
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
