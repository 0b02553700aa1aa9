#include "discovery/watch.h"

#include <poll.h>

#include <array>

#include "backoff/backoff.h"

namespace lemonstair::discovery {

namespace {

using backoff::patience_asking, backoff::patience_connecting, backoff::patience_standing;
constexpr int reads_a_pass = 64;

}  // namespace

void Watch::open(std::uint64_t after_revision) {
    if (is_open()) return;
    ++call_;
    ++costs_.discovery_requests;
    called_at_ = loop_.now();
    lines_.begin();
    question_ = "GET /api/targets?stream=1&index=" + std::to_string(after_revision) +
                " HTTP/1.1\r\nHost: discovery\r\nAccept: application/json\r\n\r\n";
    net::Fd fd = loop_.system().connect_to(discovery_);
    if (fd.open()) socket_ = net::Socket(loop_, std::move(fd), POLLOUT, *this, call_);
    go(Phase::connecting, socket_.open() ? patience_connecting : 0);
}

bool Watch::move_to(const net::Address& discovery) {
    if (discovery == discovery_) return false;
    discovery_ = discovery;
    hang_up();
    return true;
}

void Watch::hang_up() {
    socket_.close();
    phase_ = Phase::closed;
    ++call_;
}

void Watch::go(Phase to, net::Ticks patience) {
    if (to == Phase::standing)
        costs_.discovery_wait_ms += static_cast<std::uint64_t>((loop_.now() - called_at_) / 10);
    phase_ = to;
    dead_at_ = loop_.now() + patience;
    loop_.schedule(dead_at_, *this, call_);
}

void Watch::on_ready(std::uint64_t, short) {
    if (phase_ == Phase::connecting) {
        if (socket_.connected() != 0) return lose("not reached");
        go(Phase::asking, patience_asking);
    }
    if (!question_.empty()) return ask();
    read();
}

void Watch::ask() {
    const auto sent = socket_.write(question_);
    if (sent.error != 0) return lose("broken");
    question_.erase(0, sent.bytes);
    socket_.set_events(question_.empty() ? POLLIN : POLLOUT);
}

void Watch::read() {
    net::Buffer buffer = pool_.take();
    const auto [at, room] = buffer.room();
    for (int i = 0; i < reads_a_pass; ++i) {
        const auto got = socket_.read({at, room});
        if (got.error != 0) return lose("broken");
        if (got.ended) return lose("ended by discovery");
        if (got.bytes == 0) return;
        if (phase_ == Phase::standing) dead_at_ = loop_.now() + patience_standing;
        bool good = true;
        const bool framed = lines_.feed({at, got.bytes}, [&](std::string_view l) { good = good && take(l); });
        if (!framed || !good) return lose(framed ? "not a list" : "not a good answer");
        if (lines_.over()) return lose("ended by discovery");
    }
}

bool Watch::take(std::string_view line) {
    if (line.empty()) {  // nothing has changed after the revision asked for
        if (phase_ == Phase::asking) hearer_.nothing_new();
        hearer_.still_current();
        if (phase_ == Phase::asking) go(Phase::standing, patience_standing);
        return true;
    }
    if (!line_.parse(line) || !hearer_.list_heard(line_.root().told_as("list"))) return false;
    if (phase_ == Phase::asking) go(Phase::standing, patience_standing);
    return true;
}

// Guards against a watch that stands silent on a cut-off line: nothing else would tell that it is over.
void Watch::on_timer(std::uint64_t token) {
    if (token != call_ || !is_open()) return;
    if (loop_.now() >= dead_at_) return lose("silent");
    loop_.schedule(dead_at_, *this, call_);
}

void Watch::lose(std::string_view why) {
    log_.info() << "watch on discovery: " << why;
    if (phase_ != Phase::standing) ++costs_.discovery_failures;
    hang_up();
    hearer_.watch_lost();
}

}  // namespace lemonstair::discovery
