#include "process_harness/stream_proxy.h"

#include <poll.h>
#include <sys/socket.h>

#include <cerrno>
#include <system_error>

namespace lemonstair::process_harness {

namespace {

constexpr std::uint64_t listener_bit = std::uint64_t{1} << 40;
constexpr int filler_count = 4;

}  // namespace

// ---- poller

Poller::Poller() : epoll_(::epoll_create1(EPOLL_CLOEXEC)) {
    if (!epoll_.open()) throw std::system_error(errno, std::generic_category(), "epoll");
}

void Poller::add(int fd, std::uint32_t events, Ready& who, std::uint64_t token, bool edge) {
    const auto at = static_cast<std::size_t>(fd);
    if (at >= uses_.size()) uses_.resize(at + 64);
    uses_[at] = {&who, token, uses_[at].serial + 1};
    epoll_event e{};
    e.events = events | (edge ? static_cast<std::uint32_t>(EPOLLET) : 0U);
    e.data.u64 = std::uint64_t{uses_[at].serial} << 32 | at;
    if (::epoll_ctl(epoll_.get(), EPOLL_CTL_ADD, fd, &e) != 0)
        throw std::system_error(errno, std::generic_category(), "epoll_ctl");
}

void Poller::remove(int fd) {
    ::epoll_ctl(epoll_.get(), EPOLL_CTL_DEL, fd, nullptr);
    uses_[static_cast<std::size_t>(fd)].who = nullptr;
    ++uses_[static_cast<std::size_t>(fd)].serial;
}

int Poller::wait(Ticks longest) {
    const timespec wait{longest / 10000, longest % 10000 * 100000};
    const int n = ::epoll_pwait2(epoll_.get(), events_.data(), most_events, &wait, nullptr);
    if (n < 0 && errno != EINTR) throw std::system_error(errno, std::generic_category(), "epoll_wait");
    return n;
}

void Poller::tell(int happened) {
    const auto& e = events_[static_cast<std::size_t>(happened)];
    const Use use = uses_[e.data.u64 & 0xffffffffU];
    if (use.who != nullptr && use.serial == e.data.u64 >> 32) use.who->on_ready(use.token, e.events);
}

// ---- listening

Address StreamProxy::address_seen_by(Machine who, const Address& at) const {
    const Machine there = addresses_.machine_at(at);
    if (who >= addresses_.nodes()) return at;
    return there < addresses_.nodes() ? addresses_.datagram_address(there) : addresses_.seen(who, at);
}

void StreamProxy::open_listener(Listener& listener, Machine node, const Address& at, Machine machine) {
    const auto number = static_cast<std::uint32_t>(proxy_listeners_.size());
    proxy_listeners_.push_back({key(listener.at), node, machine, net::listen_on(at), {}});
    listener.doors.push_back(number);
    poller_.add(proxy_listeners_.back().fd.get(), EPOLLIN, *this, listener_bit | number, true);
    if (!passes(node, machine)) block(proxy_listeners_.back(), true);
}

// Only nodes connect to other machines, each to a listener of its own.
void StreamProxy::listen(const Address& at, StreamListener& listener, std::size_t backlog) {
    unlisten(at);
    Listener& l = listeners_[key(at)];
    l.listener = &listener;
    l.at = at;
    l.backlog = backlog;
    for (Machine n = 0; n < addresses_.nodes(); ++n)
        open_listener(l, n, addresses_.seen(n, at), addresses_.machine_at(at));
}

void StreamProxy::unlisten(const Address& at) {
    const auto it = listeners_.find(key(at));
    if (it == listeners_.end()) return;
    for (const auto d : it->second.doors) {
        poller_.remove(proxy_listeners_[d].fd.get());
        proxy_listeners_[d].fillers.clear();
        proxy_listeners_[d].fd.close();
    }
    const auto waiting = std::move(it->second.waiting);
    listeners_.erase(it);
    for (const End e : waiting) drop(e, true);
}

// While its queue is full, no connection comes up, as with an unreachable machine. Own connections fill it.
void StreamProxy::block(ProxyListener& proxy, bool on) {
    if (!proxy.fd.open() || on != proxy.fillers.empty()) return;
    if (!on) {
        while (kernel_.accept(proxy.fd.get()).open()) continue;  // ours, and a node's that had got in
        proxy.fillers.clear();
        ::listen(proxy.fd.get(), 1024);
        return;
    }
    while (kernel_.accept(proxy.fd.get()).open()) continue;
    ::listen(proxy.fd.get(), 0);
    Address at;
    socklen_t size = sizeof at.socket_address;
    ::getsockname(proxy.fd.get(), reinterpret_cast<sockaddr*>(&at.socket_address), &size);
    for (int i = 0; i < filler_count; ++i) proxy.fillers.push_back(net::connect_to(at));
}

void StreamProxy::accept_waiting(std::uint32_t number) {
    ProxyListener& proxy = proxy_listeners_[number];
    if (!proxy.fd.open() || !proxy.fillers.empty()) return;
    const auto it = listeners_.find(proxy.key);
    if (it == listeners_.end()) return;
    for (;;) {
        net::Fd fd = kernel_.accept(proxy.fd.get());
        if (!fd.open()) break;
        const End end{static_cast<std::uint32_t>(streams_.size()), 1};
        streams_.emplace_back();
        Stream& s = streams_.back();
        s.here = proxy.machine;
        s.node = proxy.node;
        s.side = 1;
        s.up = true;
        s.owner = it->second.listener;
        s.last_receive_time = events_.now();
        s.fd = std::move(fd);
        ++connections_of_nodes_;
        it->second.waiting.push_back(end);
    }
    if (!it->second.waiting.empty()) it->second.listener->on_connection(it->second.at);
}

std::optional<End> StreamProxy::accept(const Address& at) {
    const auto it = listeners_.find(key(at));
    if (it == listeners_.end() || it->second.waiting.empty()) return std::nullopt;
    const End end = it->second.waiting.front();
    it->second.waiting.pop_front();
    Stream& s = streams_[end.stream];
    poller_.add(s.fd.get(), EPOLLIN | EPOLLOUT | EPOLLRDHUP, *this, end.stream, true);
    return end;
}

// ---- streams

End StreamProxy::connect(Machine from, const Address& to, StreamListener& owner) {
    const End end{static_cast<std::uint32_t>(streams_.size()), 0};
    streams_.emplace_back();
    Stream& s = streams_.back();
    s.here = from;
    s.node = addresses_.machine_at(to);
    s.owner = &owner;
    if (!passes(s)) return end;  // as to an unreachable machine
    s.fd = net::connect_to(to);
    if (s.fd.open()) {
        poller_.add(s.fd.get(), EPOLLIN | EPOLLOUT | EPOLLRDHUP, *this, end.stream, true);
    } else {
        s.failed = errno != 0 ? errno : ECONNREFUSED;
        events_.schedule(events_.now() + 1, *this, end.stream);
    }
    return end;
}

void StreamProxy::on_ready(std::uint64_t token, std::uint32_t events) {
    if ((token & listener_bit) != 0) return accept_waiting(static_cast<std::uint32_t>(token));
    const auto number = static_cast<std::uint32_t>(token);
    Stream& s = streams_[number];
    if (!passes(s)) return;  // looked at again when it is healed
    if ((events & (EPOLLERR | EPOLLHUP)) != 0 && !s.up) s.failed = kernel_.connect_error(s.fd.get());
    if ((events & EPOLLOUT) != 0 && s.failed == 0) s.up = true;
    if ((events & (EPOLLIN | EPOLLRDHUP | EPOLLERR)) != 0) s.last_receive_time = events_.now();
    notify_owner(number);
}

void StreamProxy::on_event(std::uint64_t number) { notify_owner(static_cast<std::uint32_t>(number)); }

void StreamProxy::notify_owner(std::uint32_t number) {
    const Stream& s = streams_[number];
    if (s.owner != nullptr && !s.over) s.owner->on_stream_event({number, s.side});
}

net::IoResult StreamProxy::read(End end, std::span<char> into, bool) {
    Stream& s = streams_[end.stream];
    if (s.over || !passes(s)) return {};
    if (s.failed != 0) return {.error = std::exchange(s.failed, 0)};
    if (!s.fd.open() || !s.up) return {};
    return kernel_.read_some(s.fd.get(), into);
}

net::IoResult StreamProxy::write(End end, std::string_view text, bool) {
    Stream& s = streams_[end.stream];
    if (s.over || !s.up || !s.fd.open() || !passes(s)) return {};
    return kernel_.write_some(s.fd.get(), text);
}

void StreamProxy::shutdown_write(End end) {
    Stream& s = streams_[end.stream];
    if (s.over || !s.up || s.sent_end || !s.fd.open()) return;
    s.sent_end = true;
    kernel_.shutdown_write(s.fd.get());
}

// What is cut off stays open and silent for the other side until it is healed.
void StreamProxy::drop(End end, bool with_reset) {
    Stream& s = streams_[end.stream];
    if (s.over) return;
    s.over = true;
    s.owner = nullptr;
    if (!s.fd.open()) return;
    if (with_reset) kernel_.reset_on_close(s.fd.get());
    if (!passes(s)) {
        s.ends_when_healed = true;
        return;
    }
    poller_.remove(s.fd.get());
    s.fd.close();
}

// On the loopback what is written is at the other's machine at once.
void StreamProxy::notify_delivered(End end, EventTarget& target, std::uint64_t token) {
    if (passes(streams_[end.stream])) return events_.schedule(events_.now(), target, token);
    undelivered_[end.stream].push_back({&target, token});
}

Machine StreamProxy::machine_of(End end) const {
    const Stream& s = streams_[end.stream];
    return end.side == s.side ? s.here : s.node;
}

bool StreamProxy::is_open(End end) const {
    const Stream& s = streams_[end.stream];
    if (s.over || !s.fd.open()) return false;
    if (end.side == s.side) return true;
    pollfd p{s.fd.get(), POLLRDHUP, 0};
    return ::poll(&p, 1, 0) == 0 || (p.revents & (POLLRDHUP | POLLERR | POLLHUP)) == 0;
}

// ---- faults

void StreamProxy::cut_off(Machine machine, bool on) {
    on ? void(cut_.insert(machine)) : void(cut_.erase(machine));
    recheck();
}

void StreamProxy::cut_path(Machine a, Machine b, bool on) {
    on ? void(cut_paths_.insert(path(a, b))) : void(cut_paths_.erase(path(a, b)));
    recheck();
}

void StreamProxy::recheck() {
    for (ProxyListener& d : proxy_listeners_) block(d, !passes(d.node, d.machine));
    for (std::uint32_t i = 0; i < streams_.size(); ++i) {
        Stream& s = streams_[i];
        if (!s.fd.open() || !passes(s)) continue;
        if (s.ends_when_healed) {
            poller_.remove(s.fd.get());
            s.fd.close();
            continue;
        }
        pollfd p{s.fd.get(), POLLIN | POLLOUT | POLLRDHUP, 0};
        if (!s.over && ::poll(&p, 1, 0) > 0) on_ready(i, static_cast<std::uint32_t>(p.revents));
        const auto it = undelivered_.find(i);
        if (it == undelivered_.end()) continue;
        for (const Delivery& d : it->second) events_.schedule(events_.now(), *d.target, d.token);
        undelivered_.erase(it);
    }
}

void StreamProxy::forget(Machine machine) {
    for (std::uint32_t i = 0; i < streams_.size(); ++i)
        if (streams_[i].here == machine && streams_[i].fd.open()) drop({i, streams_[i].side}, true);
}

}  // namespace lemonstair::process_harness
