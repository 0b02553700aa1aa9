#include "fakes/front.h"

#include <array>
#include <cerrno>

namespace lemonstair::fakes {

namespace {

constexpr Ticks check_interval = 5000;

}  // namespace

Front::Front(TestEnvironment& environment, Machine machine, const std::vector<net::Address>& nodes,
             Ticks detection_delay, simnet::RandomSource random)
    : environment_(environment), machine_(machine), detection_delay_(detection_delay), random_(random) {
    for (const auto& address : nodes) {
        nodes_.emplace_back();
        nodes_.back().address = address;
    }
}

void Front::start() {
    for (std::uint32_t n = 0; n < nodes_.size(); ++n) check(n);
}

void Front::check(std::uint32_t node) {
    HealthState& state = nodes_[node];
    if (state.checking) environment_.network.close(state.end);
    state.received.clear();
    state.end = environment_.network.connect(machine_, state.address, *this);
    by_end_[state.end.number()] = node;
    state.checking = true;
    state.ping_sent = false;
    if (state.in_rotation && environment_.now() - state.answered_at > detection_delay_)
        state.in_rotation = false;
    environment_.events.schedule(environment_.now() + check_interval, *this, node);
}

void Front::schedule_removal(std::uint32_t node, Ticks after) {
    environment_.events.schedule(environment_.now() + after, *this, std::uint64_t{1} << 32 | node);
}

void Front::on_event(std::uint64_t token) {
    const auto node = static_cast<std::uint32_t>(token);
    if (token >> 32 == 0) return check(node);
    nodes_[node].in_rotation = false;
    nodes_[node].leaving = true;
}

void Front::on_stream_event(End end) {
    const auto it = by_end_.find(end.number());
    if (it == by_end_.end()) return;
    HealthState& state = nodes_[it->second];
    if (!(state.end == end) || !state.checking) return;
    if (environment_.network.is_up(end) && !state.ping_sent) {
        environment_.network.write(end, "PING\r\n", true);
        state.ping_sent = true;
    }
    std::array<char, 64> bytes;
    const auto received = environment_.network.read(end, bytes, true);
    state.received.append(bytes.data(), received.bytes);
    if (state.received.find("PONG\r\n") != std::string::npos) {
        state.answered_at = environment_.now();
        if (!state.leaving) state.in_rotation = true;
    }
    if (state.received.find("BUSY\r\n") != std::string::npos) state.in_rotation = false;
    if (received.error != 0 && received.error != ECONNRESET) {
        state.leaving = false;  // nobody listens any more: the next process at this address is a new one
        state.in_rotation = state.in_rotation && environment_.now() - state.answered_at <= detection_delay_;
    }
    if (received.error != 0 || received.ended || state.received.size() >= 6) {
        environment_.network.close(end);
        state.checking = false;
    }
}

std::uint32_t Front::pick() { return pick_except(none); }

std::uint32_t Front::pick_except(std::uint32_t node) {
    std::uint32_t in_rotation = 0;
    for (std::uint32_t n = 0; n < nodes_.size(); ++n)
        in_rotation += nodes_[n].in_rotation && n != node ? 1 : 0;
    if (in_rotation == 0) return none;
    auto remaining =
        static_cast<std::uint32_t>(random_.between(std::int64_t{0}, std::int64_t{in_rotation} - 1));
    for (std::uint32_t n = 0; n < nodes_.size(); ++n)
        if (nodes_[n].in_rotation && n != node && remaining-- == 0) return n;
    return none;
}

}  // namespace lemonstair::fakes
