// Byte codec of the messages that nodes send one another: a version byte, then items until the end. Each item
// is a kind byte and fixed fields, little-endian. A message that is malformed anywhere is ignored whole.
#pragma once
#include <array>
#include <cstdint>
#include <span>
#include <string_view>

namespace lemonstair::peer {

inline constexpr std::size_t max_bytes = 256;
inline constexpr std::size_t message_bytes = 17;  // that a message is paid for beside its items
inline constexpr std::uint8_t version = 2;
inline constexpr std::size_t seen_bytes = 8;    // of one `seen` item
inline constexpr std::size_t home_bytes = 9;    // of one `home` item
inline constexpr std::size_t report_bytes = 8;  // of one `report` item

// Bytes by kind of item; at 0 what no item takes, which is all of a sign of life.
inline constexpr std::size_t kinds = 15;
using Sizes = std::array<std::uint64_t, kinds>;
void add_sizes(std::span<const std::uint8_t> bytes, std::uint64_t times, Sizes& to);
std::string_view name_of_kind(std::size_t kind);

// What a message says; the decoder turns each item into one call.
class MessageHandler {
  public:
    virtual ~MessageHandler() = default;
    virtual void record(std::uint64_t key, std::uint32_t ep, std::int64_t stamp, std::uint32_t group,
                        double load) = 0;
    virtual void ask(std::uint64_t key) = 0;
    virtual void answer(std::uint64_t key, bool known, std::uint32_t ep, std::int64_t stamp) = 0;
    virtual void hello() = 0;
    virtual void lost(std::uint32_t node) = 0;
    virtual void seen(std::uint32_t ep, bool good, double load) = 0;
    virtual void outcome(std::uint32_t ep, std::uint8_t ending) = 0;
    virtual void report(std::uint32_t ep, bool good, double load) = 0;
    virtual void home(std::uint32_t group, std::uint32_t ep) = 0;
    virtual void crossed(std::uint32_t group, std::uint32_t zone) = 0;
    // A unit of a slot of an ep's budget is asked for, and lent (src/budget); the slot by its last 32 bits.
    virtual void want(std::uint32_t ep, std::uint32_t slot) = 0;
    virtual void lend(std::uint32_t ep, std::uint32_t slot) = 0;
    // Two nodes (src/witness; 65535: only the first) found an ep dead; when, by the last 32 bits of the time.
    virtual void dead(std::uint32_t ep, std::uint32_t when, std::uint32_t first, std::uint32_t other) = 0;
};

// Collects items into one message; an add that would pass the limit returns false and changes nothing.
class Message {
  public:
    Message() { clear(); }
    void clear();
    bool empty() const { return size_ <= 1; }
    std::span<const std::uint8_t> bytes() const { return {buffer_.data(), size_}; }
    bool record(std::uint64_t key, std::uint32_t ep, std::int64_t stamp, std::uint32_t group, double load);
    bool ask(std::uint64_t key);
    bool answer(std::uint64_t key, bool known, std::uint32_t ep, std::int64_t stamp);
    bool hello();
    bool lost(std::uint32_t node);
    bool seen(std::uint32_t ep, bool good, double load);
    bool outcome(std::uint32_t ep, std::uint8_t ending);
    bool report(std::uint32_t ep, bool good, double load);
    bool home(std::uint32_t group, std::uint32_t ep);
    bool crossed(std::uint32_t group, std::uint32_t zone);
    bool want(std::uint32_t ep, std::uint32_t slot);
    bool lend(std::uint32_t ep, std::uint32_t slot);
    bool dead(std::uint32_t ep, std::int64_t when, std::uint32_t first, std::uint32_t other);

  private:
    bool fits(std::size_t more, std::uint8_t kind);
    void put(std::uint64_t value, int width);
    std::array<std::uint8_t, max_bytes> buffer_{};
    std::size_t size_ = 0;
};

bool decode(std::span<const std::uint8_t> bytes, MessageHandler& to);

}  // namespace lemonstair::peer
