#include "peer/codec.h"

#include <algorithm>
#include <cmath>

namespace lemonstair::peer {
namespace {
enum Kind : std::uint8_t {
    record_kind = 1,
    lookup_kind,
    lookup_reply_kind,
    node_started_kind,
    load_total_kind,
    peer_down_kind,
    outcome_kind,
    load_report_kind,
    affinity_target_kind,
    cross_zone_kind,
    claim_kind,  // of older versions: skipped
    lease_request_kind,
    lease_grant_kind,
    endpoint_failure_kind,
    kinds_end
};
constexpr std::array<std::size_t, kinds_end> body_bytes{
    0, 24, 8, 19, 0, load_total_bytes - 1, 4, 5, load_report_bytes - 1, affinity_target_bytes - 1,
    8, 6,  8, 8,  12};  // after the kind byte
static_assert(kind_count == kinds_end);
constexpr std::array<std::string_view, kinds_end> names{"sign",    "record", "ask",     "answer", "hello",
                                                        "seen",    "lost",   "outcome", "report", "home",
                                                        "crossed", "claim",  "want",    "lend",   "dead"};
constexpr double load_steps = 1000;

std::uint64_t read_integer(const std::uint8_t* item, int width) {
    std::uint64_t value = 0;
    for (int i = 0; i < width; ++i) value |= std::uint64_t{item[i]} << (8 * i);
    return value;
}
std::uint64_t steps(double load) {  // loads saturate at 65 cores
    return static_cast<std::uint64_t>(std::lround(std::clamp(load * load_steps, 0.0, 65535.0)));
}
double load_at(const std::uint8_t* item) { return static_cast<double>(read_integer(item, 2)) / load_steps; }
}  // namespace

void Message::clear() {
    buffer_[0] = protocol_version;
    size_ = 1;
}

bool Message::begin_item(std::size_t more, std::uint8_t kind) {
    if (size_ + 1 + more > max_message_bytes) return false;
    buffer_[size_++] = kind;
    return true;
}

void Message::append(std::uint64_t value, int width) {
    for (int i = 0; i < width; ++i) buffer_[size_++] = static_cast<std::uint8_t>(value >> (8 * i));
}

bool Message::record(std::uint64_t key, std::uint32_t endpoint_id, std::int64_t stamp, std::uint32_t group,
                     double load) {
    if (!begin_item(body_bytes[record_kind], record_kind)) return false;
    append(key, 8), append(endpoint_id, 4), append(static_cast<std::uint64_t>(stamp), 6), append(group, 4);
    append(steps(load), 2);
    return true;
}

bool Message::lookup(std::uint64_t key) {
    if (!begin_item(body_bytes[lookup_kind], lookup_kind)) return false;
    append(key, 8);
    return true;
}

bool Message::lookup_reply(std::uint64_t key, bool known, std::uint32_t endpoint_id, std::int64_t stamp) {
    if (!begin_item(body_bytes[lookup_reply_kind], lookup_reply_kind)) return false;
    append(key, 8), append(known ? 1 : 0, 1), append(endpoint_id, 4),
        append(static_cast<std::uint64_t>(stamp), 6);
    return true;
}

bool Message::node_started() { return begin_item(body_bytes[node_started_kind], node_started_kind); }

bool Message::peer_down(std::uint32_t node) {
    if (!begin_item(body_bytes[peer_down_kind], peer_down_kind)) return false;
    append(node, 4);
    return true;
}

bool Message::outcome(std::uint32_t endpoint_id, std::uint8_t outcome_code) {
    if (!begin_item(body_bytes[outcome_kind], outcome_kind)) return false;
    append(endpoint_id, 4), append(outcome_code, 1);
    return true;
}

bool Message::load_report(std::uint32_t endpoint_id, bool healthy, double load) {
    if (!begin_item(body_bytes[load_report_kind], load_report_kind)) return false;
    append(endpoint_id, 4), append(healthy ? 1 : 0, 1), append(steps(load), 2);
    return true;
}

bool Message::load_total(std::uint32_t endpoint_id, bool healthy, double load) {
    if (!begin_item(body_bytes[load_total_kind], load_total_kind)) return false;
    append(endpoint_id, 4), append(healthy ? 1 : 0, 1), append(steps(load), 2);
    return true;
}

bool Message::affinity_target(std::uint32_t group, std::uint32_t endpoint_id) {
    if (!begin_item(body_bytes[affinity_target_kind], affinity_target_kind)) return false;
    append(group, 4), append(endpoint_id, 4);
    return true;
}

bool Message::cross_zone(std::uint32_t group, std::uint32_t zone) {
    if (!begin_item(body_bytes[cross_zone_kind], cross_zone_kind)) return false;
    append(group, 4), append(zone, 4);
    return true;
}

bool Message::lease_request(std::uint32_t endpoint_id, std::uint32_t slot) {
    if (!begin_item(body_bytes[lease_request_kind], lease_request_kind)) return false;
    append(endpoint_id, 4), append(slot, 4);
    return true;
}

bool Message::lease_grant(std::uint32_t endpoint_id, std::uint32_t slot) {
    if (!begin_item(body_bytes[lease_grant_kind], lease_grant_kind)) return false;
    append(endpoint_id, 4), append(slot, 4);
    return true;
}

bool Message::endpoint_failure(std::uint32_t endpoint_id, std::int64_t observed_at, std::uint32_t observer,
                               std::uint32_t second_observer) {
    if (!begin_item(body_bytes[endpoint_failure_kind], endpoint_failure_kind)) return false;
    append(endpoint_id, 4), append(static_cast<std::uint64_t>(observed_at), 4), append(observer, 2),
        append(second_observer, 2);
    return true;
}

void add_bytes_by_kind(std::span<const std::uint8_t> bytes, std::uint64_t times, BytesByKind& to) {
    to[0] += times;
    for (std::size_t at = 1; at < bytes.size() && bytes[at] < kinds_end; at += 1 + body_bytes[bytes[at]])
        to[bytes[at]] += (1 + body_bytes[bytes[at]]) * times;
}

std::string_view kind_name(std::size_t kind) { return names[kind]; }

namespace {

// A message is checked as a whole before any item is handled: a malformed one has no effect.
bool is_well_formed(std::span<const std::uint8_t> bytes) {
    if (bytes.empty() || bytes.size() > max_message_bytes || bytes[0] != protocol_version) return false;
    for (std::size_t at = 1; at < bytes.size();) {
        const std::uint8_t kind = bytes[at];
        if (kind == 0 || kind >= kinds_end || at + 1 + body_bytes[kind] > bytes.size()) return false;
        at += 1 + body_bytes[kind];
    }
    return true;
}

void dispatch_item(std::uint8_t kind, const std::uint8_t* item, MessageHandler& handler) {
    const auto read_u32 = [&](int i) { return static_cast<std::uint32_t>(read_integer(item + i, 4)); };
    const auto read_time = [&](int i) { return static_cast<std::int64_t>(read_integer(item + i, 6)); };
    switch (kind) {
        case record_kind:
            handler.on_record(read_integer(item, 8), read_u32(8), read_time(12), read_u32(18),
                              load_at(item + 22));
            break;
        case lookup_kind:
            handler.on_lookup(read_integer(item, 8));
            break;
        case lookup_reply_kind:
            handler.on_lookup_reply(read_integer(item, 8), item[8] != 0, read_u32(9), read_time(13));
            break;
        case node_started_kind:
            handler.on_node_started();
            break;
        case peer_down_kind:
            handler.on_peer_down(read_u32(0));
            break;
        case outcome_kind:
            handler.on_outcome(read_u32(0), item[4]);
            break;
        case load_report_kind:
            handler.on_load_report(read_u32(0), item[4] != 0, load_at(item + 5));
            break;
        case affinity_target_kind:
            handler.on_affinity_target(read_u32(0), read_u32(4));
            break;
        case cross_zone_kind:
            handler.on_cross_zone(read_u32(0), read_u32(4));
            break;
        case claim_kind:
            break;
        case lease_request_kind:
            handler.on_lease_request(read_u32(0), read_u32(4));
            break;
        case lease_grant_kind:
            handler.on_lease_grant(read_u32(0), read_u32(4));
            break;
        case endpoint_failure_kind:
            handler.on_endpoint_failure(read_u32(0), read_u32(4),
                                        static_cast<std::uint32_t>(read_integer(item + 8, 2)),
                                        static_cast<std::uint32_t>(read_integer(item + 10, 2)));
            break;
        default:
            handler.on_load_total(read_u32(0), item[4] != 0, load_at(item + 5));
    }
}

}  // namespace

bool decode(std::span<const std::uint8_t> bytes, MessageHandler& handler) {
    if (!is_well_formed(bytes)) return false;
    for (std::size_t at = 1; at < bytes.size(); at += 1 + body_bytes[bytes[at]])
        dispatch_item(bytes[at], bytes.data() + at + 1, handler);
    return true;
}

}  // namespace lemonstair::peer
