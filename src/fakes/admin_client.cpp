#include "fakes/admin_client.h"

#include <utility>

namespace lemonstair::fakes {

namespace {

constexpr Ticks answer_timeout = 10000, idle_time = 40000;

}  // namespace

void AdminClient::call(const net::Address& at, std::string request, Callback callback) {
    const End end = environment_.network.connect(machine_, at, *this);
    requests_[end.number()] = {end, std::move(request), {}, std::move(callback), environment_.now(), false};
    environment_.events.schedule(environment_.now() + answer_timeout, *this, end.number());
}

void AdminClient::open_idle(const net::Address& at, int how_many) {
    for (int i = 0; i < how_many; ++i) {
        const End end = environment_.network.connect(machine_, at, *this);
        requests_[end.number()] = {end, i % 2 == 0 ? "" : "GET /sta", {}, {}, environment_.now(), true};
        environment_.events.schedule(environment_.now() + idle_time, *this, end.number());
    }
}

void AdminClient::on_stream_event(End end) {
    const auto it = requests_.find(end.number());
    if (it == requests_.end()) return;
    Request& open = it->second;
    if (environment_.network.is_up(end)) write_unsent(environment_.network, end, open.unsent);
    std::array<char, 2048> bytes;
    for (;;) {
        const auto got = environment_.network.read(end, bytes, true);
        open.received.append(bytes.data(), got.bytes);
        if (got.bytes > 0) continue;
        if (got.ended || got.error != 0) finish(end.number(), got.ended);
        return;
    }
}

void AdminClient::on_event(std::uint64_t number) { finish(number, false); }

void AdminClient::finish(std::uint64_t number, bool complete) {
    const auto it = requests_.find(number);
    if (it == requests_.end()) return;
    const Request open = std::move(it->second);
    requests_.erase(it);
    environment_.network.close(open.end);
    if (!open.callback) return;
    Answer answer{0, {}, environment_.now() - open.began};
    const auto head = open.received.find("\r\n\r\n");
    if (complete && head != std::string::npos && open.received.substr(0, 9) == "HTTP/1.1 ") {
        parse_number(std::string_view(open.received).substr(9, 3), answer.status);
        answer.body = open.received.substr(head + 4);
    }
    open.callback(answer);
}

}  // namespace lemonstair::fakes
