// Trace of a simulation: all that crossed its network, what its parts did, the nodes' logs. It is hashed as
// it comes (xxh3), and written out as text only on demand.
#pragma once

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <array>
#include <cstdint>
#include <cstring>
#include <ostream>
#include <string_view>
#include <vector>

#include "net/clock.h"

namespace lemonstair::simnet {

class Trace {
  public:
    explicit Trace(std::ostream* out = nullptr) : out_(out) {
        XXH3_64bits_reset(&state_);
        waiting_.reserve(chunk + 4096);
    }
    // `at`: tenths of a ms since the start; `a` and `b`: what the event concerns.
    void note(net::Ticks at, std::string_view what, std::uint64_t a, std::uint64_t b,
              std::string_view text = {}) {
        const std::array<std::uint64_t, 4> head{static_cast<std::uint64_t>(at), a, b, text.size()};
        const auto* bytes = reinterpret_cast<const char*>(head.data());
        waiting_.insert(waiting_.end(), bytes, bytes + sizeof head);
        waiting_.insert(waiting_.end(), what.begin(), what.end());
        waiting_.insert(waiting_.end(), text.begin(), text.end());
        if (waiting_.size() >= chunk) hash_buffered();
        if (out_ != nullptr) write(at, what, a, b, text);
    }
    std::uint64_t hash();
    bool written() const { return out_ != nullptr; }

  private:
    static constexpr std::size_t chunk = 1 << 15;
    void hash_buffered();
    void write(net::Ticks at, std::string_view what, std::uint64_t a, std::uint64_t b, std::string_view text);
    XXH3_state_t state_;
    std::vector<char> waiting_;
    std::ostream* out_;
};

}  // namespace lemonstair::simnet
