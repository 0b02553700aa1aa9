#include "peer/codec.h"

#include <algorithm>
#include <cmath>

namespace lemonstair::peer {
namespace {
enum Kind : std::uint8_t {
    record_kind = 1,
    ask_kind,
    answer_kind,
    hello_kind,
    seen_kind,
    lost_kind,
    outcome_kind,
    report_kind,
    home_kind,
    crossed_kind,
    claim_kind,  // of older nodes: passed over
    want_kind,
    lend_kind,
    dead_kind,
    kinds_end
};
constexpr std::array<std::size_t, kinds_end> body{
    0, 24, 8, 19, 0, seen_bytes - 1, 4, 5, report_bytes - 1, home_bytes - 1,
    8, 6,  8, 8,  12};  // bytes after the kind byte
static_assert(kinds == kinds_end);
constexpr std::array<std::string_view, kinds_end> names{"sign",    "record", "ask",     "answer", "hello",
                                                        "seen",    "lost",   "outcome", "report", "home",
                                                        "crossed", "claim",  "want",    "lend",   "dead"};
constexpr double load_steps = 1000;

std::uint64_t get(const std::uint8_t* p, int width) {
    std::uint64_t value = 0;
    for (int i = 0; i < width; ++i) value |= std::uint64_t{p[i]} << (8 * i);
    return value;
}
std::uint64_t steps(double load) {  // a load past 65 cores says no more than 65
    return static_cast<std::uint64_t>(std::lround(std::clamp(load * load_steps, 0.0, 65535.0)));
}
double load_at(const std::uint8_t* p) { return static_cast<double>(get(p, 2)) / load_steps; }
}  // namespace

void Message::clear() {
    buffer_[0] = version;
    size_ = 1;
}

bool Message::fits(std::size_t more, std::uint8_t kind) {
    if (size_ + 1 + more > max_bytes) return false;
    buffer_[size_++] = kind;
    return true;
}

void Message::put(std::uint64_t value, int width) {
    for (int i = 0; i < width; ++i) buffer_[size_++] = static_cast<std::uint8_t>(value >> (8 * i));
}

bool Message::record(std::uint64_t key, std::uint32_t ep, std::int64_t stamp, std::uint32_t group,
                     double load) {
    if (!fits(body[record_kind], record_kind)) return false;
    put(key, 8), put(ep, 4), put(static_cast<std::uint64_t>(stamp), 6), put(group, 4);
    put(steps(load), 2);
    return true;
}

bool Message::ask(std::uint64_t key) {
    if (!fits(body[ask_kind], ask_kind)) return false;
    put(key, 8);
    return true;
}

bool Message::answer(std::uint64_t key, bool known, std::uint32_t ep, std::int64_t stamp) {
    if (!fits(body[answer_kind], answer_kind)) return false;
    put(key, 8), put(known ? 1 : 0, 1), put(ep, 4), put(static_cast<std::uint64_t>(stamp), 6);
    return true;
}

bool Message::hello() { return fits(body[hello_kind], hello_kind); }

bool Message::lost(std::uint32_t node) {
    if (!fits(body[lost_kind], lost_kind)) return false;
    put(node, 4);
    return true;
}

bool Message::outcome(std::uint32_t ep, std::uint8_t ending) {
    if (!fits(body[outcome_kind], outcome_kind)) return false;
    put(ep, 4), put(ending, 1);
    return true;
}

bool Message::report(std::uint32_t ep, bool good, double load) {
    if (!fits(body[report_kind], report_kind)) return false;
    put(ep, 4), put(good ? 1 : 0, 1), put(steps(load), 2);
    return true;
}

bool Message::seen(std::uint32_t ep, bool good, double load) {
    if (!fits(body[seen_kind], seen_kind)) return false;
    put(ep, 4), put(good ? 1 : 0, 1), put(steps(load), 2);
    return true;
}

bool Message::home(std::uint32_t group, std::uint32_t ep) {
    if (!fits(body[home_kind], home_kind)) return false;
    put(group, 4), put(ep, 4);
    return true;
}

bool Message::crossed(std::uint32_t group, std::uint32_t zone) {
    if (!fits(body[crossed_kind], crossed_kind)) return false;
    put(group, 4), put(zone, 4);
    return true;
}

bool Message::want(std::uint32_t ep, std::uint32_t slot) {
    if (!fits(body[want_kind], want_kind)) return false;
    put(ep, 4), put(slot, 4);
    return true;
}

bool Message::lend(std::uint32_t ep, std::uint32_t slot) {
    if (!fits(body[lend_kind], lend_kind)) return false;
    put(ep, 4), put(slot, 4);
    return true;
}

bool Message::dead(std::uint32_t ep, std::int64_t when, std::uint32_t first, std::uint32_t other) {
    if (!fits(body[dead_kind], dead_kind)) return false;
    put(ep, 4), put(static_cast<std::uint64_t>(when), 4), put(first, 2), put(other, 2);
    return true;
}

void add_sizes(std::span<const std::uint8_t> bytes, std::uint64_t times, Sizes& to) {
    to[0] += times;
    for (std::size_t at = 1; at < bytes.size() && bytes[at] < kinds_end; at += 1 + body[bytes[at]])
        to[bytes[at]] += (1 + body[bytes[at]]) * times;
}

std::string_view name_of_kind(std::size_t kind) { return names[kind]; }

bool decode(std::span<const std::uint8_t> bytes, MessageHandler& to) {
    if (bytes.empty() || bytes.size() > max_bytes || bytes[0] != version) return false;
    for (std::size_t at = 1;
         at < bytes.size();) {  // the whole shape first: nothing of a bad message is acted on
        const std::uint8_t kind = bytes[at];
        if (kind == 0 || kind >= kinds_end || at + 1 + body[kind] > bytes.size()) return false;
        at += 1 + body[kind];
    }
    for (std::size_t at = 1; at < bytes.size();) {
        const std::uint8_t kind = bytes[at];
        const std::uint8_t* p = bytes.data() + at + 1;
        const auto u32 = [&](int i) { return static_cast<std::uint32_t>(get(p + i, 4)); };
        const auto time = [&](int i) { return static_cast<std::int64_t>(get(p + i, 6)); };
        switch (kind) {
            case record_kind:
                to.record(get(p, 8), u32(8), time(12), u32(18), load_at(p + 22));
                break;
            case ask_kind:
                to.ask(get(p, 8));
                break;
            case answer_kind:
                to.answer(get(p, 8), p[8] != 0, u32(9), time(13));
                break;
            case hello_kind:
                to.hello();
                break;
            case lost_kind:
                to.lost(u32(0));
                break;
            case outcome_kind:
                to.outcome(u32(0), p[4]);
                break;
            case report_kind:
                to.report(u32(0), p[4] != 0, load_at(p + 5));
                break;
            case home_kind:
                to.home(u32(0), u32(4));
                break;
            case crossed_kind:
                to.crossed(u32(0), u32(4));
                break;
            case claim_kind:
                break;
            case want_kind:
                to.want(u32(0), u32(4));
                break;
            case lend_kind:
                to.lend(u32(0), u32(4));
                break;
            case dead_kind:
                to.dead(u32(0), u32(4), static_cast<std::uint32_t>(get(p + 8, 2)),
                        static_cast<std::uint32_t>(get(p + 10, 2)));
                break;
            default:
                to.seen(u32(0), p[4] != 0, load_at(p + 5));
        }
        at += 1 + body[kind];
    }
    return true;
}

}  // namespace lemonstair::peer
