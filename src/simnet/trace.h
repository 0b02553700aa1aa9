// Trace of a simulation: everything that crossed its network, the actions of its components and the logs of
// its nodes. Each entry is hashed (xxh3) when it is noted, and written as text only on demand.
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

// Two runs with the same hash had the same entries in the same order.
class Trace {
  public:
    explicit Trace(std::ostream* out = nullptr) : out_(out) {
        XXH3_64bits_reset(&state_);
        buffer_.reserve(chunk + 4096);
    }
    // at: tenths of a ms since the start of the simulation. a, b: numbers of what the event concerns, such as
    // a node or a stream. Writes a line of text too if the trace has an output.
    void note(net::Ticks at, std::string_view what, std::uint64_t a, std::uint64_t b,
              std::string_view text = {}) {
        const std::array<std::uint64_t, 4> head{static_cast<std::uint64_t>(at), a, b, text.size()};
        const auto* bytes = reinterpret_cast<const char*>(head.data());
        buffer_.insert(buffer_.end(), bytes, bytes + sizeof head);
        buffer_.insert(buffer_.end(), what.begin(), what.end());
        buffer_.insert(buffer_.end(), text.begin(), text.end());
        if (buffer_.size() >= chunk) hash_buffered();
        if (out_ != nullptr) write(at, what, a, b, text);
    }
    // Hash of all entries so far.
    std::uint64_t hash();
    // Whether entries are written as text too.
    bool written() const { return out_ != nullptr; }

  private:
    static constexpr std::size_t chunk = 1 << 15;  // bytes that are hashed at once
    void hash_buffered();
    void write(net::Ticks at, std::string_view what, std::uint64_t a, std::uint64_t b, std::string_view text);
    XXH3_state_t state_;
    std::vector<char> buffer_;
    std::ostream* out_;
};

}  // namespace lemonstair::simnet
