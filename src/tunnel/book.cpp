#include "tunnel/book.h"

#include <poll.h>
#include <sys/socket.h>

#include <array>
#include <charconv>

namespace lemonstair::tunnel {

namespace {

// How long a side may take to end its part after ours.
constexpr Tenths longest_farewell = 10000;

}  // namespace

void Book::decline(Id id, Tenths come_back_after) {
    ++floor_.tally.declined;
    if (come_back_after < 10) return answer(id, "BUSY\r\n");
    std::array<char, 40> line{'B', 'U', 'S', 'Y', ' '};
    char* end = std::to_chars(line.data() + 5, line.data() + line.size(), come_back_after / 10).ptr;
    *end++ = '\r';
    *end++ = '\n';
    answer(id, {line.data(), static_cast<std::size_t>(end - line.data())});
}

void Book::close_with_error(Id id) {
    ++floor_.tally.failed;
    answer(id, "ERR\r\n");
}

void Book::answer(Id id, std::string_view line) {
    Tunnel& t = *floor_.find(id);
    t.host.close();
    if (net::write_some(t.client.fd(), line).bytes != line.size()) return drop(id);
    depart(id);
}

void Book::client_left(Id id) {
    Tunnel& t = *floor_.find(id);
    const State was = t.state;
    if (t.known) {
        floor_.mind().client_left(id);
        if (was == State::connecting || was == State::sending_line || was == State::awaiting_answer)
            over(id, Ending::called_off);
    }
    drop(id);
}

void Book::over(Id id, Ending ending) {
    Tunnel& t = *floor_.find(id);
    if (!t.known) return;
    t.known = false;
    floor_.log.debug() << "tunnel " << static_cast<std::uint32_t>(id) << " at ep " << floor_.hosts[t.place].ep
                       << " over, ending " << static_cast<int>(ending) << ", lines owed " << t.owed;
    floor_.mind().ended(id, t.setups - 1, floor_.hosts[t.place].ep, ending, floor_.loop.now() - t.setup_from,
                        true);
}

void Book::depart(Id id) {
    Tunnel& t = *floor_.find(id);
    t.opening.give_back();
    t.up.waiting.give_back();
    t.down.waiting.give_back();
    // Closing with unread input would make a reset, and that can overtake the last line.
    for (net::Socket* s : {&t.client, &t.host}) {
        if (!s->open()) continue;
        ::shutdown(s->fd(), SHUT_WR);
        s->wait_for(POLLIN);
    }
    floor_.go(id, State::departing);
    floor_.set_due(id, t, floor_.loop.now() + longest_farewell);
}

void Book::drop(Id id) { floor_.go(id, State::free); }

void Book::ready(Id id, Side side) {
    Tunnel& t = *floor_.find(id);
    drain(side == Side::client ? t.client : t.host);
    if (!t.client.open() && !t.host.open()) drop(id);
}

void Book::drain(net::Socket& socket) {
    net::Buffer buffer = floor_.pool.take();
    const auto [at, room] = buffer.room();
    for (int i = 0; i < 8; ++i) {  // an endless sender has only until the farewell is over
        const auto got = net::read_some(socket.fd(), {at, room});
        if (got.ended || got.error != 0) return socket.close();
        if (got.bytes == 0) return;
    }
}

}  // namespace lemonstair::tunnel
