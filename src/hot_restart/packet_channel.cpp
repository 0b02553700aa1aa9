#include "hot_restart/packet_channel.h"

#include <poll.h>

#include <cerrno>
#include <utility>

#include "hot_restart/packets.h"

namespace lemonstair::hot_restart {

namespace {

constexpr std::uint64_t accept_token = ~std::uint64_t{0};
constexpr int reads_per_pass = 32;
constexpr net::Ticks accept_pause = 200;  // tenths of a ms

}  // namespace

bool PacketChannel::connect() {
    net::Fd fd = loop_.system().connect_local(path_);
    if (!fd.open()) return false;
    socket_ = net::Socket(loop_, std::move(fd), POLLIN, *this, ++connections_, net::EventPriority::first);
    return true;
}

bool PacketChannel::listen() {
    net::Fd fd = loop_.system().listen_local(path_);
    if (fd.open())
        accept_socket_ =
            net::Socket(loop_, std::move(fd), POLLIN, *this, accept_token, net::EventPriority::first);
    return is_listening();
}

void PacketChannel::disconnect() {
    socket_.close();
    queue_.clear();
}

void PacketChannel::send(std::string packet, std::vector<int> descriptors) {
    if (!is_connected()) return;
    queue_.push_back({std::move(packet), std::move(descriptors)});
    write();
}

void PacketChannel::on_ready(std::uint64_t token, short events) {
    if (token == accept_token) return accept();
    if (!is_connected()) return;
    if ((events & POLLOUT) != 0) write();
    if ((events & (POLLIN | POLLHUP | POLLERR)) != 0) read();
}

void PacketChannel::accept() {
    net::Fd fd = loop_.system().accept_local(accept_socket_.fd());
    if (!fd.open()) {
        if (!net::is_resource_exhausted(errno)) return;
        // The connection stays pending. To poll for it without a free descriptor would make the loop spin.
        accept_socket_.set_events(0);
        return loop_.schedule(loop_.now() + accept_pause, *this, 0);
    }
    if (!listener_.accepts_connection()) {
        loop_.system().send_packet(fd.get(), rejection_, {});
        return;
    }
    socket_ = net::Socket(loop_, std::move(fd), POLLIN, *this, ++connections_, net::EventPriority::first);
}

// A failure is reported by the next read and not here, since the caller of send() may be in the middle of a
// state change.
void PacketChannel::write() {
    while (!queue_.empty()) {
        const auto sent =
            loop_.system().send_packet(socket_.fd(), queue_.front().bytes, queue_.front().descriptors);
        if (sent.error != 0) queue_.clear();
        if (sent.bytes == 0) break;
        queue_.pop_front();
    }
    socket_.set_events(static_cast<short>(POLLIN | (queue_.empty() ? 0 : POLLOUT)));
}

void PacketChannel::read() {
    read_buffer_.resize(max_packet_bytes);
    const std::uint64_t connection = connections_;
    bool reset_reported = false;
    for (int i = 0; i < reads_per_pass && is_connected() && connection == connections_; ++i) {
        std::vector<net::Fd> descriptors;
        const auto received = loop_.system().receive_packet(socket_.fd(), read_buffer_, descriptors);
        // If the peer has ended without reading everything, the system reports that before the packets that
        // the peer had sent, once.
        if (received.error == ECONNRESET && !std::exchange(reset_reported, true)) continue;
        if (received.ended || received.error != 0) {
            disconnect();
            return listener_.on_disconnect();
        }
        if (received.bytes == 0) return;
        listener_.on_packet({read_buffer_.data(), received.bytes}, descriptors);
    }
}

}  // namespace lemonstair::hot_restart
