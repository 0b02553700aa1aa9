/// Little-endian binary serialization between processes on one machine. Both classes have value(),
/// text() and `reads`, so that one template can describe both directions. A reader that runs out of bytes
/// returns zeros from then on, so that good() needs to be checked only once, at the end.
#pragma once

#include <bit>
#include <cstddef>
#include <cstdint>
#include <cstring>
#include <string>
#include <string_view>
#include <type_traits>

namespace lemonstair::serialization {

class Writer {
  public:
    static constexpr bool reads = false;
    // Appends to `out`, which must outlive the writer.
    explicit Writer(std::string& out) : out_(out) {}
    template <class T>
    requires std::is_arithmetic_v<T> || std::is_enum_v<T>
    void value(const T& v) {
        static_assert(std::endian::native == std::endian::little);
        out_.append(reinterpret_cast<const char*>(&v), sizeof v);
    }
    // Preceded by its length in 32 bits.
    void text(std::string_view v) {
        value(static_cast<std::uint32_t>(v.size()));
        out_.append(v);
    }

  private:
    std::string& out_;
};

/// Reads what a Writer wrote; the bytes must outlive the reader.
class Reader {
  public:
    static constexpr bool reads = true;
    explicit Reader(std::string_view bytes) : rest_(bytes) {}
    template <class T>
    requires std::is_arithmetic_v<T> || std::is_enum_v<T>
    void value(T& v) {
        v = T{};
        if (rest_.size() < sizeof v) return fail();
        if constexpr (std::is_same_v<T, bool>) {
            v = rest_[0] != 0;  // to copy a byte other than 0 and 1 into a bool is undefined behaviour
        } else {
            std::memcpy(&v, rest_.data(), sizeof v);
        }
        rest_.remove_prefix(sizeof v);
    }
    template <class T>
    T next() {
        T v{};
        value(v);
        return v;
    }
    // Refers to the bytes being read.
    std::string_view text() {
        const auto n = next<std::uint32_t>();
        if (n > rest_.size()) return fail(), std::string_view();
        const auto v = rest_.substr(0, n);
        rest_.remove_prefix(n);
        return v;
    }
    // Marks the input as invalid; every later read returns zeros.
    void fail() {
        good_ = false;
        rest_ = {};
    }
    // False once a value did not fit into the remaining bytes, or fail() was called.
    bool good() const { return good_; }
    bool at_end() const { return rest_.empty(); }

  private:
    std::string_view rest_;
    bool good_ = true;
};

}  // namespace lemonstair::serialization
