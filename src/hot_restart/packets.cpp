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
