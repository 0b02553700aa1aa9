// Values as bytes, least first, for what one process tells another on the same machine. A reader that runs
// short says so and gives zeros from then on: what is torn is found at the end, by one question.
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
    explicit Writer(std::string& into) : into_(into) {}
    template <class T>
    requires std::is_arithmetic_v<T> || std::is_enum_v<T>
    void value(const T& v) {
        static_assert(std::endian::native == std::endian::little);
        into_.append(reinterpret_cast<const char*>(&v), sizeof v);
    }
    void text(std::string_view v) {
        value(static_cast<std::uint32_t>(v.size()));
        into_.append(v);
    }

  private:
    std::string& into_;
};

class Reader {
  public:
    static constexpr bool reads = true;
    explicit Reader(std::string_view from) : from_(from) {}
    template <class T>
    requires std::is_arithmetic_v<T> || std::is_enum_v<T>
    void value(T& v) {
        v = T{};
        if (from_.size() < sizeof v) return fail();
        if constexpr (std::is_same_v<T, bool>) {
            v = from_[0] != 0;  // a bool of another bit pattern is none
        } else {
            std::memcpy(&v, from_.data(), sizeof v);
        }
        from_.remove_prefix(sizeof v);
    }
    template <class T>
    T next() {
        T v{};
        value(v);
        return v;
    }
    std::string_view text() {
        const auto n = next<std::uint32_t>();
        if (n > from_.size()) return fail(), std::string_view();
        const auto v = from_.substr(0, n);
        from_.remove_prefix(n);
        return v;
    }
    void fail() {
        good_ = false;
        from_ = {};
    }
    // All that was asked for was there.
    bool good() const { return good_; }
    bool at_end() const { return from_.empty(); }

  private:
    std::string_view from_;
    bool good_ = true;
};

}  // namespace lemonstair::serialization
