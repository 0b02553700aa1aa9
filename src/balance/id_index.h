/// IdIndex: 64-bit id -> small index, open addressing with backward-shift deletion. It is never iterated.
#pragma once
#include <cstdint>
#include <string_view>
#include <utility>
#include <vector>

namespace lemonstair {

constexpr std::uint64_t mix(std::uint64_t v) {
    v ^= v >> 30;
    v *= 0xbf58476d1ce4e5b9ULL;
    v ^= v >> 27;
    v *= 0x94d049bb133111ebULL;
    return v ^ (v >> 31);
}

inline std::uint64_t hash_text(std::string_view text) {
    std::uint64_t h = 0xcbf29ce484222325ULL;
    for (const char c : text) h = (h ^ static_cast<unsigned char>(c)) * 0x100000001b3ULL;
    return mix(h);
}

class IdIndex {
  public:
    static constexpr std::uint32_t none = 0xffffffffU;

    std::uint32_t find(std::uint64_t id) const {
        for (std::size_t i = home(id);; i = next(i)) {
            if (cells_[i].second == none) return none;
            if (cells_[i].first == id) return cells_[i].second;
        }
    }
    void put(std::uint64_t id, std::uint32_t index) {
        if ((count_ + 1) * 2 > cells_.size()) grow();
        std::size_t i = home(id);
        while (cells_[i].second != none && cells_[i].first != id) i = next(i);
        if (cells_[i].second == none) ++count_;
        cells_[i] = {id, index};
    }
    void erase(std::uint64_t id) {
        std::size_t i = home(id);
        while (cells_[i].second != none && cells_[i].first != id) i = next(i);
        if (cells_[i].second == none) return;
        --count_;
        for (std::size_t j = next(i); cells_[j].second != none; j = next(j)) {
            const std::size_t h = home(cells_[j].first);
            if (((j - h) & (cells_.size() - 1)) >= ((j - i) & (cells_.size() - 1))) {
                cells_[i] = cells_[j];
                i = j;
            }
        }
        cells_[i].second = none;
    }

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
