/// Byte codec of gossip between nodes: a version byte, then items until the end. An item is a kind byte and
/// fixed fields, little-endian. A message that is malformed anywhere is discarded as a whole.
#pragma once
#include <array>
#include <cstdint>
#include <span>
#include <string_view>

namespace lemonstair::peer {

inline constexpr std::size_t max_message_bytes = 256;
inline constexpr std::size_t message_overhead_bytes = 17;  // charged for a message beside its items
inline constexpr std::uint8_t protocol_version = 2;
inline constexpr std::size_t load_total_bytes = 8;
inline constexpr std::size_t affinity_target_bytes = 9;
inline constexpr std::size_t load_report_bytes = 8;

/// Bytes by kind of item; at 0 the version bytes, which are all of a heartbeat.
inline constexpr std::size_t kind_count = 15;
using BytesByKind = std::array<std::uint64_t, kind_count>;
void add_bytes_by_kind(std::span<const std::uint8_t> bytes, std::uint64_t times, BytesByKind& to);
std::string_view kind_name(std::size_t kind);

/// Receives the items of a decoded message, one call an item, in their order. Times and stamps are in tenths
/// of a millisecond, loads in standard cores.
class MessageHandler {
  public:
    virtual ~MessageHandler() = default;
    virtual void on_record(std::uint64_t key, std::uint32_t endpoint_id, std::int64_t stamp,
                           std::uint32_t group, double load) = 0;
    virtual void on_lookup(std::uint64_t key) = 0;
    virtual void on_lookup_reply(std::uint64_t key, bool known, std::uint32_t endpoint_id,
                                 std::int64_t stamp) = 0;
    virtual void on_node_started() = 0;
    virtual void on_peer_down(std::uint32_t node) = 0;
    virtual void on_load_total(std::uint32_t endpoint_id, bool healthy, double load) = 0;
    virtual void on_outcome(std::uint32_t endpoint_id, std::uint8_t outcome_code) = 0;
    virtual void on_load_report(std::uint32_t endpoint_id, bool healthy, double load) = 0;
    virtual void on_affinity_target(std::uint32_t group, std::uint32_t endpoint_id) = 0;
    virtual void on_cross_zone(std::uint32_t group, std::uint32_t zone) = 0;
    // A unit of a slot of an endpoint's quota (src/quota); the slot by its low 32 bits.
    virtual void on_lease_request(std::uint32_t endpoint_id, std::uint32_t slot) = 0;
    virtual void on_lease_grant(std::uint32_t endpoint_id, std::uint32_t slot) = 0;
    // One node, or two (second_observer: 65535 for none), observed an endpoint's failure
    // (src/failure_detector); the time by its low 32 bits.
    virtual void on_endpoint_failure(std::uint32_t endpoint_id, std::uint32_t observed_at,
                                     std::uint32_t observer, std::uint32_t second_observer) = 0;
};

/// Builds one message of at most `max_message_bytes`; an item that does not fit is refused: false, without
/// effect.
class Message {
  public:
    Message() { clear(); }
    void clear();
    bool empty() const { return size_ <= 1; }
    std::span<const std::uint8_t> bytes() const { return {buffer_.data(), size_}; }
    bool record(std::uint64_t key, std::uint32_t endpoint_id, std::int64_t stamp, std::uint32_t group,
                double load);
    bool lookup(std::uint64_t key);
    bool lookup_reply(std::uint64_t key, bool known, std::uint32_t endpoint_id, std::int64_t stamp);
    bool node_started();
    bool peer_down(std::uint32_t node);
    bool load_total(std::uint32_t endpoint_id, bool healthy, double load);
    bool outcome(std::uint32_t endpoint_id, std::uint8_t outcome_code);
    bool load_report(std::uint32_t endpoint_id, bool healthy, double load);
    bool affinity_target(std::uint32_t group, std::uint32_t endpoint_id);
    bool cross_zone(std::uint32_t group, std::uint32_t zone);
    bool lease_request(std::uint32_t endpoint_id, std::uint32_t slot);
    bool lease_grant(std::uint32_t endpoint_id, std::uint32_t slot);
    bool endpoint_failure(std::uint32_t endpoint_id, std::int64_t observed_at, std::uint32_t observer,
                          std::uint32_t second_observer);

  private:
    bool begin_item(std::size_t more, std::uint8_t kind);
    void append(std::uint64_t value, int width);
    std::array<std::uint8_t, max_message_bytes> buffer_{};
    std::size_t size_ = 0;
};

/// False, without any call, where the message is malformed.
bool decode(std::span<const std::uint8_t> bytes, MessageHandler& handler);

}  // namespace lemonstair::peer
