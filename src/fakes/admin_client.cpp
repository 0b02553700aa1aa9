#include "fakes/admin_client.h"

#include <utility>

namespace lemonstair::fakes {

namespace {

constexpr Ticks due_in = 10000, stay_for = 40000;

}  // namespace

void Operators::call(const net::Address& at, std::string request, Told told) {
    const End end = town_.network.connect(machine_, at, *this);
    ones_[end.number()] = {end, std::move(request), {}, std::move(told), town_.now(), false};
    town_.events.schedule(town_.now() + due_in, *this, end.number());
}

void Operators::come_and_stay(const net::Address& at, int how_many) {
    for (int i = 0; i < how_many; ++i) {
        const End end = town_.network.connect(machine_, at, *this);
        ones_[end.number()] = {end, i % 2 == 0 ? "" : "GET /sta", {}, {}, town_.now(), true};
        town_.events.schedule(town_.now() + stay_for, *this, end.number());
    }
}

void Operators::on_stream_event(End end) {
    const auto it = ones_.find(end.number());
    if (it == ones_.end()) return;
    One& one = it->second;
    if (town_.network.is_up(end)) write_waiting(town_.network, end, one.waiting);
    std::array<char, 2048> bytes;
    for (;;) {
        const auto got = town_.network.read(end, bytes, true);
        one.got.append(bytes.data(), got.bytes);
        if (got.bytes > 0) continue;
        if (got.ended || got.error != 0) over(end.number(), got.ended);
        return;
    }
}

void Operators::on_event(std::uint64_t number) { over(number, false); }

void Operators::over(std::uint64_t number, bool whole) {
    const auto it = ones_.find(number);
    if (it == ones_.end()) return;
    const One one = std::move(it->second);
    ones_.erase(it);
    town_.network.close(one.end);
    if (!one.told) return;
    Answer answer{0, {}, town_.now() - one.began};
    const auto head = one.got.find("\r\n\r\n");
    if (whole && head != std::string::npos && one.got.substr(0, 9) == "HTTP/1.1 ") {
        read_whole(std::string_view(one.got).substr(9, 3), answer.status);
        answer.body = one.got.substr(head + 4);
    }
    one.told(answer);
}

}  // namespace lemonstair::fakes
