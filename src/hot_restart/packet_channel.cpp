#include "hot_restart/packet_channel.h"

#include <poll.h>

#include <cerrno>
#include <utility>

#include "hot_restart/packets.h"

namespace lemonstair::hot_restart {

namespace {

constexpr std::uint64_t listener_token = ~std::uint64_t{0};
constexpr int reads_a_pass = 32;
constexpr net::Ticks rest_for = 200;

}  // namespace

bool PacketChannel::call() {
    net::Fd fd = loop_.system().connect_local(name_);
    if (!fd.open()) return false;
    socket_ = net::Socket(loop_, std::move(fd), POLLIN, *this, ++lines_, net::EventPriority::first);
    return true;
}

bool PacketChannel::listen() {
    net::Fd fd = loop_.system().listen_local(name_);
    if (fd.open())
        listener_ =
            net::Socket(loop_, std::move(fd), POLLIN, *this, listener_token, net::EventPriority::first);
    return listens();
}

void PacketChannel::hang_up() {
    socket_.close();
    waiting_.clear();
}

void PacketChannel::send(std::string packet, std::vector<int> descriptors) {
    if (!stands()) return;
    waiting_.push_back({std::move(packet), std::move(descriptors)});
    write();
}

void PacketChannel::on_ready(std::uint64_t token, short events) {
    if (token == listener_token) return answer_call();
    if (!stands()) return;
    if ((events & POLLOUT) != 0) write();
    if ((events & (POLLIN | POLLHUP | POLLERR)) != 0) read();
}

void PacketChannel::answer_call() {
    net::Fd fd = loop_.system().accept_local(listener_.fd());
    if (!fd.open()) {
        if (!net::is_resource_exhausted(errno)) return;
        // Guards against spinning on a call for which there is no descriptor.
        listener_.set_events(0);
        return loop_.schedule(loop_.now() + rest_for, *this, 0);
    }
    if (!hearer_.takes_call()) {
        loop_.system().send_packet(fd.get(), refusal_, {});
        return;
    }
    socket_ = net::Socket(loop_, std::move(fd), POLLIN, *this, ++lines_, net::EventPriority::first);
}

// A break is heard when the line is read: who sends is in the middle of something.
void PacketChannel::write() {
    while (!waiting_.empty()) {
        const auto sent =
            loop_.system().send_packet(socket_.fd(), waiting_.front().bytes, waiting_.front().descriptors);
        if (sent.error != 0) waiting_.clear();
        if (sent.bytes == 0) break;
        waiting_.pop_front();
    }
    socket_.set_events(static_cast<short>(POLLIN | (waiting_.empty() ? 0 : POLLOUT)));
}

void PacketChannel::read() {
    room_.resize(longest_packet);
    const std::uint64_t line = lines_;
    for (int i = 0; i < reads_a_pass && stands() && line == lines_; ++i) {
        std::vector<net::Fd> descriptors;
        const auto got = loop_.system().receive_packet(socket_.fd(), room_, descriptors);
        if (got.ended || got.error != 0) {
            hang_up();
            return hearer_.broken();
        }
        if (got.bytes == 0) return;
        hearer_.heard({room_.data(), got.bytes}, descriptors);
    }
}

}  // namespace lemonstair::hot_restart
