/// Slab: values in numbered places that are reused; a place's generation tells one use of it from the next.
#pragma once
#include <cstdint>
#include <vector>

namespace lemonstair {

template <class T>
class Slab {
  public:
    std::uint32_t allocate() {
        if (free_.empty()) {
            slots_.emplace_back();
            return static_cast<std::uint32_t>(slots_.size() - 1);
        }
        const std::uint32_t index = free_.back();
        free_.pop_back();
        slots_[index].used = true;
        return index;
    }
    void release(std::uint32_t index) {
        slots_[index].value = T{};
        slots_[index].used = false;
        ++slots_[index].generation;
        free_.push_back(index);
    }
    T& operator[](std::uint32_t index) { return slots_[index].value; }
    const T& operator[](std::uint32_t index) const { return slots_[index].value; }
    bool in_use(std::uint32_t index) const { return index < slots_.size() && slots_[index].used; }
    std::uint32_t generation(std::uint32_t index) const { return slots_[index].generation; }
    std::uint32_t slot_count() const { return static_cast<std::uint32_t>(slots_.size()); }

  private:
    struct Slot {
        T value{};
        std::uint32_t generation = 0;
        bool used = true;
    };
    std::vector<Slot> slots_;
    std::vector<std::uint32_t> free_;
};

}  // namespace lemonstair
