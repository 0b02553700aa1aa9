#include "fakes/front.h"

#include <array>
#include <cerrno>

namespace lemonstair::fakes {

namespace {

constexpr Ticks check_every = 5000;

}  // namespace

Front::Front(TestEnvironment& town, Machine machine, std::vector<net::Address> nodes, Ticks notices_after,
             simnet::RandomSource chance)
    : town_(town), machine_(machine), notices_after_(notices_after), chance_(chance) {
    for (const auto& at : nodes) {
        nodes_.emplace_back();
        nodes_.back().at = at;
    }
}

void Front::start() {
    for (std::uint32_t n = 0; n < nodes_.size(); ++n) check(n);
}

void Front::check(std::uint32_t node) {
    Checked& c = nodes_[node];
    if (c.asking) town_.network.close(c.end);
    c.got.clear();
    c.end = town_.network.connect(machine_, c.at, *this);
    by_end_[c.end.number()] = node;
    c.asking = true;
    c.asked = false;
    if (c.in && town_.now() - c.answered_at > notices_after_) c.in = false;
    town_.events.schedule(town_.now() + check_every, *this, node);
}

void Front::leaves(std::uint32_t node, Ticks after) {
    town_.events.schedule(town_.now() + after, *this, std::uint64_t{1} << 32 | node);
}

void Front::on_event(std::uint64_t token) {
    const auto node = static_cast<std::uint32_t>(token);
    if (token >> 32 == 0) return check(node);
    nodes_[node].in = false;
    nodes_[node].leaving = true;
}

void Front::on_stream_event(End end) {
    const auto it = by_end_.find(end.number());
    if (it == by_end_.end()) return;
    Checked& c = nodes_[it->second];
    if (!(c.end == end) || !c.asking) return;
    if (town_.network.is_up(end) && !c.asked) {
        town_.network.write(end, "PING\r\n", true);
        c.asked = true;
    }
    std::array<char, 64> bytes;
    const auto got = town_.network.read(end, bytes, true);
    c.got.append(bytes.data(), got.bytes);
    if (c.got.find("PONG\r\n") != std::string::npos) {
        c.answered_at = town_.now();
        if (!c.leaving) c.in = true;
    }
    if (c.got.find("BUSY\r\n") != std::string::npos) c.in = false;
    if (got.error != 0 && got.error != ECONNRESET) {
        c.leaving = false;  // nobody listens: whoever comes up there next is another
        c.in = c.in && town_.now() - c.answered_at <= notices_after_;
    }
    if (got.error != 0 || got.ended || c.got.size() >= 6) {
        town_.network.close(end);
        c.asking = false;
    }
}

std::uint32_t Front::deal() { return deal_but(none); }

std::uint32_t Front::deal_but(std::uint32_t node) {
    std::uint32_t in = 0;
    for (std::uint32_t n = 0; n < nodes_.size(); ++n) in += nodes_[n].in && n != node ? 1 : 0;
    if (in == 0) return none;
    auto left = static_cast<std::uint32_t>(chance_.between(std::int64_t{0}, std::int64_t{in} - 1));
    for (std::uint32_t n = 0; n < nodes_.size(); ++n)
        if (nodes_[n].in && n != node && left-- == 0) return n;
    return none;
}

}  // namespace lemonstair::fakes
