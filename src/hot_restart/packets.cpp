#include "hot_restart/packets.h"

#include "serialization/binary.h"

namespace lemonstair::hot_restart {

namespace {

constexpr std::string_view mark = "lmst";

}  // namespace

std::string encode(const Packet& p) {
    std::string out(mark);
    serialization::Writer to(out);
    to.value(version);
    to.value(p.kind);
    to.value(p.yes);
    to.value(p.held);
    to.value(p.number);
    to.text(p.text);
    return out;
}

Read decode(std::string_view bytes, Packet& into) {
    if (bytes.size() > longest_packet || bytes.substr(0, mark.size()) != mark) return Read::torn;
    serialization::Reader from(bytes.substr(mark.size()));
    const auto theirs = from.next<std::uint8_t>();
    if (from.good() && theirs != version) return Read::other_version;
    from.value(into.kind);
    from.value(into.yes);
    from.value(into.held);
    from.value(into.number);
    into.text = from.text();
    const bool known = into.kind >= Kind::greet && into.kind < Kind::kinds_end;
    return from.good() && from.at_end() && known ? Read::good : Read::torn;
}

}  // namespace lemonstair::hot_restart
