/// IdIndex: a hash map from 64-bit ids to small indexes, with open addressing and backward-shift deletion. It
/// cannot be iterated, so no decision depends on the order of its entries.
#pragma once
#include <cstdint>
#include <string_view>
#include <utility>
#include <vector>

namespace lemonstair {

/// Mixes the bits of a value (the finalizer of SplitMix64).
constexpr std::uint64_t mix(std::uint64_t value) {
    value ^= value >> 30;
    value *= 0xbf58476d1ce4e5b9ULL;
    value ^= value >> 27;
    value *= 0x94d049bb133111ebULL;
    return value ^ (value >> 31);
}

/// The hash of a text, the same on all nodes (FNV-1a, then mix).
inline std::uint64_t hash_text(std::string_view text) {
    std::uint64_t hash = 0xcbf29ce484222325ULL;
    for (const char c : text) hash = (hash ^ static_cast<unsigned char>(c)) * 0x100000001b3ULL;
    return mix(hash);
}

class IdIndex {
  public:
    static constexpr std::uint32_t none = 0xffffffffU;  // no index; it cannot be stored

    /// The index of an id; `none` if it has none.
    std::uint32_t find(std::uint64_t id) const {
        for (std::size_t i = home(id);; i = next(i)) {
            if (cells_[i].second == none) return none;
            if (cells_[i].first == id) return cells_[i].second;
        }
    }
    /// Sets the index of an id, which replaces an earlier one.
    void put(std::uint64_t id, std::uint32_t index) {
        if ((count_ + 1) * 2 > cells_.size()) grow();
        std::size_t i = home(id);
        while (cells_[i].second != none && cells_[i].first != id) i = next(i);
        if (cells_[i].second == none) ++count_;
        cells_[i] = {id, index};
    }
    /// Without effect if the id has no index.
    void erase(std::uint64_t id) {
        std::size_t i = home(id);
        while (cells_[i].second != none && cells_[i].first != id) i = next(i);
        if (cells_[i].second == none) return;
        --count_;
        for (std::size_t j = next(i); cells_[j].second != none; j = next(j)) {
            const std::size_t at_home = home(cells_[j].first);
            if (((j - at_home) & (cells_.size() - 1)) >= ((j - i) & (cells_.size() - 1))) {
                cells_[i] = cells_[j];
                i = j;
            }
        }
        cells_[i].second = none;
    }

    /// The number of ids that have an index.
    std::size_t size() const { return count_; }

  private:
    std::size_t home(std::uint64_t id) const { return mix(id) & (cells_.size() - 1); }
    std::size_t next(std::size_t i) const { return (i + 1) & (cells_.size() - 1); }
    void grow() {
        auto old = std::move(cells_);
        cells_.assign(old.size() * 2, {0, none});
        count_ = 0;
        for (const auto& [id, index] : old)
            if (index != none) put(id, index);
    }
    std::vector<std::pair<std::uint64_t, std::uint32_t>> cells_ =
        std::vector<std::pair<std::uint64_t, std::uint32_t>>(64, {0, none});
    std::size_t count_ = 0;
};

}  // namespace lemonstair
