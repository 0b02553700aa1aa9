/// Slab: values in numbered places that are reused; a place's serial tells one use of it from the next.
#pragma once
#include <cstdint>
#include <vector>

namespace lemonstair {

template <class T>
class Slab {
  public:
    std::uint32_t take() {
        if (free_.empty()) {
            places_.emplace_back();
            return static_cast<std::uint32_t>(places_.size() - 1);
        }
        const std::uint32_t at = free_.back();
        free_.pop_back();
        places_[at].used = true;
        return at;
    }
    void give_back(std::uint32_t at) {
        places_[at].value = T{};
        places_[at].used = false;
        ++places_[at].serial;
        free_.push_back(at);
    }
    T& operator[](std::uint32_t at) { return places_[at].value; }
    const T& operator[](std::uint32_t at) const { return places_[at].value; }
    bool used(std::uint32_t at) const { return at < places_.size() && places_[at].used; }
    std::uint32_t serial(std::uint32_t at) const { return places_[at].serial; }
    std::uint32_t places() const { return static_cast<std::uint32_t>(places_.size()); }

  private:
    struct Place {
        T value{};
        std::uint32_t serial = 0;
        bool used = true;
    };
    std::vector<Place> places_;
    std::vector<std::uint32_t> free_;
};

}  // namespace lemonstair
