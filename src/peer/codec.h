/// Binary codec of the gossip messages between nodes. A message is a version byte followed by items; an item
/// is a kind byte followed by fields of fixed size, little-endian. A message that is malformed anywhere is
/// discarded as a whole.
#pragma once
#include <array>
#include <cstdint>
#include <span>
#include <string_view>

namespace lemonstair::peer {

inline constexpr std::size_t max_message_bytes = 256;
/// Bytes that the cost of a message includes in addition to its items.
inline constexpr std::size_t message_overhead_bytes = 17;
inline constexpr std::uint8_t protocol_version = 2;
/// Sizes of items, kind byte included.
inline constexpr std::size_t load_total_bytes = 8;
inline constexpr std::size_t affinity_target_bytes = 9;
inline constexpr std::size_t load_report_bytes = 8;

/// Bytes sent by kind of item. Index 0 counts the version bytes; a heartbeat is a message of this byte alone.
inline constexpr std::size_t kind_count = 15;
using BytesByKind = std::array<std::uint64_t, kind_count>;
/// Adds the bytes of a message that is sent `times` times.
void add_bytes_by_kind(std::span<const std::uint8_t> bytes, std::uint64_t times, BytesByKind& to);
/// The name of a kind in a node's line of each second.
std::string_view kind_name(std::size_t kind);

/// Receives the items of a decoded message: one call for each item, in the order of the message. Times and
/// stamps are in tenths of a millisecond, loads in standard cores.
class MessageHandler {
  public:
    virtual ~MessageHandler() = default;
    /// The record of a tunnel: the endpoint that serves its key.
    virtual void on_record(std::uint64_t key, std::uint32_t endpoint_id, std::int64_t stamp,
                           std::uint32_t group, double load) = 0;
    /// Asks for the record of a key; the reply tells whether the node knows one.
    virtual void on_lookup(std::uint64_t key) = 0;
    virtual void on_lookup_reply(std::uint64_t key, bool known, std::uint32_t endpoint_id,
                                 std::int64_t stamp) = 0;
    /// The sender has just started and holds no records yet.
    virtual void on_node_started() = 0;
    virtual void on_peer_down(std::uint32_t node) = 0;
    /// The load that the sender itself has placed on an endpoint.
    virtual void on_load_total(std::uint32_t endpoint_id, bool healthy, double load) = 0;
    /// How an attempt of the sender at an endpoint ended.
    virtual void on_outcome(std::uint32_t endpoint_id, std::uint8_t outcome_code) = 0;
    /// The load and health of an endpoint that the sender reports for all nodes.
    virtual void on_load_report(std::uint32_t endpoint_id, bool healthy, double load) = 0;
    /// New tunnels of the group are to be placed on this endpoint.
    virtual void on_affinity_target(std::uint32_t group, std::uint32_t endpoint_id) = 0;
    /// A node in `zone` has placed a tunnel of the group in another zone.
    virtual void on_cross_zone(std::uint32_t group, std::uint32_t zone) = 0;
    /// Request and grant of one unit of an endpoint's quota for a slot of time (src/quota). `slot` holds the
    /// low 32 bits of the slot's number.
    virtual void on_lease_request(std::uint32_t endpoint_id, std::uint32_t slot) = 0;
    virtual void on_lease_grant(std::uint32_t endpoint_id, std::uint32_t slot) = 0;
    /// One node, or two, observed that an endpoint failed (src/failure_detector). `observed_at` holds the low
    /// 32 bits of the time; a `second_observer` of 65535 means that there is none.
    virtual void on_endpoint_failure(std::uint32_t endpoint_id, std::uint32_t observed_at,
                                     std::uint32_t observer, std::uint32_t second_observer) = 0;
};

/// Builds one message of at most `max_message_bytes`. The functions that add an item return false, and leave
/// the message as it is, where the item does not fit.
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
    bool begin_item(std::size_t body_size, std::uint8_t kind);
    void append(std::uint64_t value, int width);
    std::array<std::uint8_t, max_message_bytes> buffer_{};
    std::size_t size_ = 0;
};

/// Decodes a message. Returns false, without any call to the handler, where the message is malformed.
bool decode(std::span<const std::uint8_t> bytes, MessageHandler& handler);

}  // namespace lemonstair::peer
