#include "hot_restart/packets.h"

#include "serialization/binary.h"

namespace lemonstair::hot_restart {

namespace {

constexpr std::string_view magic = "lmst";

}  // namespace

std::string encode(const Packet& packet) {
    std::string bytes(magic);
    serialization::Writer writer(bytes);
    writer.value(protocol_version);
    writer.value(packet.kind);
    writer.value(packet.flag);
    writer.value(packet.descriptors_held);
    writer.value(packet.number);
    writer.text(packet.payload);
    return bytes;
}

std::string encode_ids(const std::vector<request_ids::IdChange>& changes) {
    std::string bytes;
    serialization::Writer writer(bytes);
    for (const request_ids::IdChange& change : changes) {
        writer.value(change.id_hash);
        writer.value(change.state);
    }
    return bytes;
}

bool decode_ids(std::string_view payload, std::vector<request_ids::IdChange>& changes) {
    serialization::Reader reader(payload);
    while (!reader.at_end()) {
        request_ids::IdChange change;
        reader.value(change.id_hash);
        reader.value(change.state);
        if (!reader.good() || change.state > request_ids::last_id_state) return false;
        changes.push_back(change);
    }
    return true;
}

std::string encode_serial(std::uint64_t serial) {
    std::string bytes;
    serialization::Writer(bytes).value(serial);
    return bytes;
}

bool decode_serial(std::string_view payload, std::uint64_t& serial) {
    serialization::Reader reader(payload);
    reader.value(serial);
    return reader.good() && reader.at_end();
}

DecodeResult decode(std::string_view bytes, Packet& packet) {
    if (bytes.size() > max_packet_bytes || bytes.substr(0, magic.size()) != magic)
        return DecodeResult::malformed;
    serialization::Reader reader(bytes.substr(magic.size()));
    const auto peer_version = reader.next<std::uint8_t>();
    if (reader.good() && peer_version != protocol_version) return DecodeResult::version_mismatch;
    reader.value(packet.kind);
    reader.value(packet.flag);
    reader.value(packet.descriptors_held);
    reader.value(packet.number);
    packet.payload = reader.text();
    const bool known = packet.kind >= PacketKind::request_state && packet.kind < PacketKind::kinds_end;
    return reader.good() && reader.at_end() && known ? DecodeResult::ok : DecodeResult::malformed;
}

}  // namespace lemonstair::hot_restart
