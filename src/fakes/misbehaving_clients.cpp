#include "fakes/misbehaving_clients.h"

#include <array>
#include <cstdio>

namespace lemonstair::fakes {

namespace {

constexpr Ticks rude_patience = 30000;

}  // namespace

std::string Rude::words(Kind kind) {
    char text[96];
    std::snprintf(text, sizeof text, "OPEN r%llx k", static_cast<unsigned long long>(chance_.bits()));
    const std::string open = text;
    switch (kind) {
        case Kind::garbage:
            return "\x01\x02 frob \xff\r\n";
        case Kind::endless:
            return std::string(6000, 'x');
        case Kind::half:
            return open;
        case Kind::twice:
            return open + " c=chat,d=2000\r\n" + open + " c=chat,d=2000\r\n";
        case Kind::no_profile:
            return open + " c=nobody,d=2000\r\n";
        case Kind::bad_wait:
            return open + " c=chat,d=-1e99\r\n";
        case Kind::pings: {
            std::string all;
            for (int i = 0; i < 60; ++i) all += "PING\r\n";
            return all;
        }
        case Kind::silent:
            return "";
        case Kind::again:
            return open + "\r\n";
    }
    return "";
}

void Rude::come(int how_many, Kind kind, bool again) {
    for (int i = 0; i < how_many; ++i) call(kind, again);
}

void Rude::call(Kind kind, bool again) {
    const std::uint32_t node = front_.deal();
    if (node == Front::none || home_) return;
    const auto at = static_cast<std::uint32_t>(ones_.size());
    ones_.push_back({town_.network.connect(machine_, front_.address(node), *this), kind, false, false, again,
                     node, words(kind)});
    by_end_[ones_[at].end.number()] = at;
}

void Rude::on_stream_event(End end) {
    const auto it = by_end_.find(end.number());
    if (it == by_end_.end() || ones_[it->second].over) return;
    const std::uint32_t at = it->second;
    if (town_.network.is_up(end) && !ones_[at].sent) {
        ones_[at].sent = true;
        town_.events.schedule(town_.now() + rude_patience, *this, at);
    }
    if (ones_[at].sent && !ones_[at].waiting.empty()) write_waiting(town_.network, end, ones_[at].waiting);
    std::array<char, 512> bytes;
    for (;;) {
        const auto got = town_.network.read(end, bytes, true);
        const std::string_view text(bytes.data(), got.bytes);
        if (text.find("UP ") != std::string_view::npos)
            town_.witness.line_wrong(0, "a rude client was served", text.substr(0, 40));
        if (got.ended || got.error != 0 || text.find("ERR") != std::string_view::npos ||
            text.find("BUSY") != std::string_view::npos)
            return this->end(at);
        if (got.bytes == 0) return;
    }
}

void Rude::end(std::uint32_t at) {
    One& one = ones_[at];
    if (one.over) return;
    one.over = true;
    town_.network.close(one.end);
    if (one.again) call(one.kind, chance_.odds(0.7));
}

void Rude::on_event(std::uint64_t at) {
    One& one = ones_[at];
    if (one.over) return;
    one.over = true;
    town_.network.close(one.end);
    town_.witness.rude_left_waiting(one.node, "no answer and no end");
}

void Rude::go_home() {
    home_ = true;
    for (std::uint32_t at = 0; at < ones_.size(); ++at) {
        if (ones_[at].over) continue;
        ones_[at].over = true;
        town_.network.close(ones_[at].end);
    }
}

}  // namespace lemonstair::fakes
