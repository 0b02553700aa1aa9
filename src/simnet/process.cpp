#include "simnet/process.h"

#include <algorithm>
#include <cassert>
#include <cerrno>
#include <system_error>

namespace lemonstair::simnet {

namespace {

constexpr std::size_t max_queued_datagrams = 256, backlog = 1024;
constexpr std::size_t first_fd = 3;

}  // namespace

Process::~Process() { die(); }

void Process::start(Pass pass) {
    pass_ = std::move(pass);
    wake();
}

void Process::die() {
    pass_ = nullptr;
    next_run_ = 0;
    for (std::size_t fd = first_fd; fd < slots_.size(); ++fd) {
        if (slots_[fd].use == Use::stream) slots_[fd].resets = true;
        if (slots_[fd].use != Use::free) close(static_cast<int>(fd));
    }
    dead_ = true;
}

void Process::signal(int number) {
    signals_.push_back(number);
    wake();
}

void Process::stall(Ticks span) {
    const Ticks until = events_.now() + span;
    if (until <= busy_until_) return;
    busy_until_ = until;
    if (next_run_ != 0) run_at(busy_until_);
}

void Process::run_at(Ticks when) {
    if (!pass_ || running_) return;
    when = std::max(when, busy_until_);
    if (next_run_ != 0 && run_due_ <= when && run_due_ >= busy_until_) return;
    next_run_ = ++runs_;
    run_due_ = when;
    events_.schedule(when, *this, next_run_);
}

// Runs one pass of the event loop. Waking too early is harmless: the node polls again.
void Process::on_event(std::uint64_t token) {
    if (token != next_run_ || !pass_) return;
    next_run_ = 0;
    running_ = true;
    effects_ = 0;
    ready_count_ = 0;
    sleeps_until_ = events_.now();
    ++passes_;
    const bool continues = pass_();
    running_ = false;
    if (!continues) return die();
    // A busy loop shows in passes with a ready descriptor that do nothing about it.
    if (ready_count_ > 0 && effects_ == 0)
        longest_spin_ = std::max(longest_spin_, ++spin_);
    else
        spin_ = 0;
    busy_until_ = std::max(busy_until_, events_.now() + traits_.loop_pass_time);
    run_at(ready_count_ > 0 ? busy_until_ : std::max(sleeps_until_, busy_until_));
}

short Process::ready_events(const pollfd& polled) const {
    const Slot& entry = slots_[static_cast<std::size_t>(polled.fd)];
    switch (entry.use) {
        case Use::free:
            return POLLNVAL;
        case Use::stream:
            return network_.poll_events(entry.end, polled.events);
        case Use::local_listener:
            return local_sockets_->has_pending(entry.name, const_cast<Process&>(*this))
                       ? static_cast<short>(polled.events & POLLIN)
                       : short{0};
        case Use::local_connection:
            if (local_sockets_->has_packet(entry.connection, entry.side))
                return static_cast<short>(polled.events & POLLIN);
            return local_sockets_->peer_closed(entry.connection, entry.side) ? short{POLLHUP} : short{0};
        case Use::shared:
        case Use::listener:
            return network_.pending_connections(entry.at) > 0 ? static_cast<short>(polled.events & POLLIN)
                                                              : short{0};
        case Use::datagrams:
            return entry.datagrams.empty() ? short{0} : static_cast<short>(polled.events & POLLIN);
        case Use::signals:
            return signals_.empty() ? short{0} : static_cast<short>(polled.events & POLLIN);
        case Use::spare:
            break;
    }
    return 0;
}

int Process::poll(std::span<pollfd> descriptors, Ticks timeout) {
    int n = 0;
    for (pollfd& polled : descriptors) {
        polled.revents = polled.fd < 0 ? short{0} : ready_events(polled);
        n += polled.revents != 0 ? 1 : 0;
    }
    ready_count_ = n;
    if (n == 0) sleeps_until_ = events_.now() + timeout;
    return n;
}

int Process::take(Use use) {
    if (held_ >= std::min(descriptor_limit_now_, traits_.descriptors)) {
        errno = held_ >= traits_.descriptors ? EMFILE : ENFILE;
        return -1;
    }
    std::size_t fd = first_fd;
    while (fd < slots_.size() && slots_[fd].use != Use::free) ++fd;
    if (fd >= slots_.size()) slots_.resize(fd + 1);
    slots_[fd] = {};
    slots_[fd].use = use;
    max_held_ = std::max(max_held_, ++held_);
    return static_cast<int>(fd);
}

void Process::close(int fd) {
    if (dead_) return;  // its descriptors are closed already
    Slot& entry = slot(fd);
    assert(entry.use != Use::free);
    ++effects_;
    switch (entry.use) {
        case Use::stream:
            if (network_.release(entry.end, *this)) break;
            if (entry.resets)
                network_.reset(entry.end);
            else
                network_.close(entry.end);
            break;
        case Use::shared:
            shared_->remove(*this);
            break;
        case Use::local_listener:
            local_sockets_->unlisten(entry.name, *this);
            break;
        case Use::local_connection:
            local_sockets_->close(entry.connection, entry.side);
            break;
        case Use::listener:
            network_.unlisten(entry.at);
            break;
        case Use::datagrams:
            network_.unbind(entry.at, *this);
            break;
        default:
            break;
    }
    entry = {};
    --held_;
}

net::Fd Process::listen_on(const Address& at) {
    const int fd = network_.is_free(at) ? take(Use::listener) : -1;
    if (fd < 0) throw std::system_error(EADDRINUSE, std::generic_category(), "cannot bind the socket");
    slot(fd).at = at;
    network_.listen(at, *this, backlog);
    return net::Fd(fd, this);
}

net::Fd Process::bind_datagrams(const Address& at) {
    const int fd = take(Use::datagrams);
    if (fd < 0) throw std::system_error(errno, std::generic_category(), "cannot bind the socket");
    slot(fd).at = at;
    network_.bind(at, *this);
    return net::Fd(fd, this);
}

net::Fd Process::connect_to(const Address& to) {
    const int fd = take(Use::stream);
    if (fd < 0) return net::Fd();
    slot(fd).end = network_.connect(machine_, to, *this);
    ++effects_;
    return net::Fd(fd, this);
}

net::Fd Process::accept(int listener) {
    const Address at = slot(listener).at;
    if (network_.pending_connections(at) == 0) {
        errno = EAGAIN;
        return net::Fd();
    }
    const int fd = take(Use::stream);
    if (fd < 0) return net::Fd();
    const End end = *network_.accept(at);
    slot(fd).end = end;
    network_.set_owner(end, *this);
    ++effects_;
    return net::Fd(fd, this);
}

net::Fd Process::open_spare() {
    const int fd = take(Use::spare);
    return fd < 0 ? net::Fd() : net::Fd(fd, this);
}

int Process::connect_error(int fd) { return network_.connect_error(slot(fd).end); }

net::IoResult Process::read_some(int fd, std::span<char> into) {
    return count_effect(network_.read(slot(fd).end, into));
}

net::IoResult Process::peek(int fd, std::span<char> into) { return network_.peek(slot(fd).end, into); }

net::IoResult Process::discard_some(int fd) {
    std::array<char, 1 << 14> unused;
    return count_effect(network_.read(slot(fd).end, unused));
}

net::IoResult Process::write_some(int fd, std::string_view text) {
    return count_effect(network_.write(slot(fd).end, text));
}

void Process::shutdown_write(int fd) { network_.shutdown_write(slot(fd).end); }

void Process::reset_on_close(int fd) { slot(fd).resets = true; }

std::ptrdiff_t Process::send_to(int fd, const Address& to, std::span<const std::uint8_t> bytes) {
    network_.send(slot(fd).at, to, bytes);
    return static_cast<std::ptrdiff_t>(bytes.size());
}

void Process::on_datagram(const Address& at, const Address& from, std::span<const std::uint8_t> bytes) {
    for (Slot& entry : slots_)
        if (entry.use == Use::datagrams && entry.at == at && entry.datagrams.size() < max_queued_datagrams)
            entry.datagrams.emplace_back(from, std::vector<std::uint8_t>(bytes.begin(), bytes.end()));
    wake();
}

std::ptrdiff_t Process::receive(int fd, Address& from, std::span<std::uint8_t> into) {
    auto& datagrams = slot(fd).datagrams;
    if (datagrams.empty()) {
        errno = EAGAIN;
        return -1;
    }
    from = datagrams.front().first;
    const auto& bytes = datagrams.front().second;
    const std::size_t n = std::min(into.size(), bytes.size());
    std::copy_n(bytes.begin(), n, into.begin());
    datagrams.pop_front();
    ++effects_;
    return static_cast<std::ptrdiff_t>(n);
}

int Process::inherit(SharedListener& listener) {
    const int fd = take(Use::shared);
    slot(fd).at = listener.at();
    shared_ = &listener;
    listener.add(*this);
    return fd;
}

net::Fd Process::inherited_listener(int fd) {
    if (fd < 0 || static_cast<std::size_t>(fd) >= slots_.size() || slot(fd).use != Use::shared)
        throw std::system_error(EBADF, std::generic_category(), "it is not a listening IPv4 TCP socket");
    return net::Fd(fd, this);
}

net::Fd Process::listen_local(const std::string& name) {
    const int fd = local_sockets_ == nullptr ? (errno = EACCES, -1) : take(Use::local_listener);
    if (fd < 0) return net::Fd();
    slot(fd).name = name;
    local_sockets_->listen(name, *this);
    return net::Fd(fd, this);
}

net::Fd Process::connect_local(const std::string& name) {
    const std::uint32_t connection =
        local_sockets_ == nullptr ? LocalSockets::none : local_sockets_->connect(name, *this);
    return local_connection(connection, 0);
}

net::Fd Process::accept_local(int listener) {
    return local_connection(local_sockets_->accept(slot(listener).name, *this), 1);
}

net::Fd Process::local_connection(std::uint32_t connection, int side) {
    if (connection == LocalSockets::none) return errno = ECONNREFUSED, net::Fd();
    ++effects_;
    const int fd = take(Use::local_connection);
    if (fd < 0) return local_sockets_->close(connection, side), net::Fd();
    slot(fd).connection = connection;
    slot(fd).side = side;
    return net::Fd(fd, this);
}

net::IoResult Process::send_packet(int fd, std::string_view bytes, std::span<const int> descriptors) {
    const Slot& entry = slot(fd);
    if (local_sockets_->peer_closed(entry.connection, entry.side)) return {.error = EPIPE};
    std::vector<End> ends;
    for (const int descriptor : descriptors) ends.push_back(slot(descriptor).end);
    local_sockets_->send(entry.connection, entry.side, bytes, ends);
    return count_effect({.bytes = bytes.size()});
}

net::IoResult Process::receive_packet(int fd, std::span<char> into, std::vector<net::Fd>& descriptors) {
    const Slot entry = slot(fd);
    if (!local_sockets_->has_packet(entry.connection, entry.side)) {
        if (local_sockets_->peer_closed(entry.connection, entry.side)) return {.ended = true};
        return {};
    }
    const LocalSockets::Packet packet = local_sockets_->receive(entry.connection, entry.side, *this);
    ++effects_;
    bool complete = packet.bytes.size() <= into.size();
    for (const End end : packet.ends) {
        const int descriptor = take(Use::stream);
        if (descriptor < 0) {
            if (!network_.release(end, *this)) network_.close(end);
            complete = false;
            continue;
        }
        slot(descriptor).end = end;
        descriptors.emplace_back(descriptor, this);
    }
    if (!complete) return {.error = EMSGSIZE};
    std::copy(packet.bytes.begin(), packet.bytes.end(), into.begin());
    return {.bytes = packet.bytes.size()};
}

net::Fd Process::signals() {
    const int fd = take(Use::signals);
    if (fd < 0) throw std::system_error(errno, std::generic_category(), "signalfd");
    return net::Fd(fd, this);
}

int Process::next_signal(int) {
    if (signals_.empty()) return 0;
    const int number = signals_.front();
    signals_.pop_front();
    ++effects_;
    return number;
}

const char* Process::read_file(const std::string& path, std::size_t max_bytes, std::string& into) {
    const auto it = files_.find(path);
    if (it == files_.end()) return "cannot be read";
    if (it->second.size() > max_bytes) return "is too long";
    into = it->second;
    return nullptr;
}

}  // namespace lemonstair::simnet
