#include "process_harness/datagram_proxy.h"

#include <sys/epoll.h>
#include <sys/socket.h>

#include <array>

namespace lemonstair::process_harness {

namespace {

constexpr std::size_t max_datagram = 256, max_kept = 64;
constexpr Ticks usual_delay = 5;
constexpr int receive_buffer = 1 << 20;

}  // namespace

DatagramProxy::DatagramProxy(EventQueue& events, Poller& poller, const AddressPlan& addresses,
                             std::uint16_t peer_port, simnet::RandomSource random, Passes passes)
    : events_(events),
      addresses_(addresses),
      peer_port_(peer_port),
      random_(random),
      passes_(std::move(passes)),
      counts_(addresses.nodes()),
      kept_(addresses.nodes()) {
    for (Machine n = 0; n <= addresses.nodes(); ++n) {
        net::Fd fd = net::bind_datagrams(n < addresses.nodes() ? addresses.datagram_address(n)
                                                               : addresses.broadcast_address());
        ::setsockopt(fd.get(), SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
        poller.add(fd.get(), EPOLLIN, *this, n, false);
        (n < addresses.nodes() ? sockets_.emplace_back() : broadcast_socket_) = std::move(fd);
    }
}

void DatagramProxy::on_ready(std::uint64_t token, std::uint32_t) {
    const auto to = static_cast<Machine>(token);
    const int fd = to < sockets_.size() ? sockets_[to].get() : broadcast_socket_.get();
    std::array<std::uint8_t, 2048> bytes;
    for (int i = 0; i < 64; ++i) {
        sockaddr_in from{};
        socklen_t size = sizeof from;
        const ssize_t n =
            ::recvfrom(fd, bytes.data(), bytes.size(), 0, reinterpret_cast<sockaddr*>(&from), &size);
        if (n < 0) return;
        const Machine who = addresses_.machine_at({from});
        if (who >= addresses_.nodes() || !(addresses_.own(who, peer_port_) == Address{from})) continue;
        if (static_cast<std::size_t>(n) > max_datagram) ++too_long_;
        const std::span<const std::uint8_t> text(bytes.data(), static_cast<std::size_t>(n));
        if (to < sockets_.size()) {
            forward(who, to, text);
            continue;
        }
        for (Machine m = 0; m < addresses_.nodes(); ++m)
            if (m != who) forward(who, m, text);
    }
}

void DatagramProxy::forward(Machine from, Machine to, std::span<const std::uint8_t> bytes) {
    ++counts_[from].sent;
    counts_[from].bytes += bytes.size();
    auto& kept = kept_[from];
    kept.push_back({from, to, {bytes.begin(), bytes.end()}});
    if (kept.size() > max_kept) kept.pop_front();
    const int copies = random_.odds(faults_.lost) ? 0 : random_.odds(faults_.doubled) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
        const Ticks jitter = faults_.jitter > 0 ? random_.between(Ticks{0}, faults_.jitter) : 0;
        const auto delay = static_cast<Ticks>(static_cast<double>(usual_delay) * slow_);
        if (free_.empty()) {
            free_.push_back(static_cast<std::uint32_t>(under_way_.size()));
            under_way_.emplace_back();
        }
        const std::uint32_t place = free_.back();
        free_.pop_back();
        under_way_[place] = {from, to, {bytes.begin(), bytes.end()}};
        events_.schedule(events_.now() + delay + jitter, *this, place);
    }
}

void DatagramProxy::on_event(std::uint64_t token) {
    const auto place = static_cast<std::uint32_t>(token);
    const Datagram datagram = std::move(under_way_[place]);
    free_.push_back(place);
    deliver(datagram);
}

void DatagramProxy::deliver(const Datagram& datagram) {
    if (!faults_.passes(datagram.from, datagram.to) || !passes_(datagram.from, datagram.to)) return;
    const Address at = addresses_.own(datagram.to, peer_port_);
    static_cast<void>(::sendto(sockets_[datagram.from].get(), datagram.bytes.data(), datagram.bytes.size(),
                               MSG_NOSIGNAL, reinterpret_cast<const sockaddr*>(&at.socket_address),
                               sizeof at.socket_address));
}

void DatagramProxy::send_again(Machine from, std::size_t most) {
    const auto kept = kept_[from];
    for (std::size_t i = 0; i < std::min(most, kept.size()); ++i) deliver(kept[i]);
}

}  // namespace lemonstair::process_harness
