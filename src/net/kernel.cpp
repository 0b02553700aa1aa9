#include "net/kernel.h"

#include <fcntl.h>
#include <netinet/tcp.h>
#include <sys/resource.h>
#include <sys/signalfd.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/un.h>
#include <time.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <csignal>
#include <cstring>
#include <system_error>

namespace lemonstair::net {

namespace {

constexpr int kind = SOCK_NONBLOCK | SOCK_CLOEXEC;

Fd bound(int type, const Address& at) {
    Fd fd(::socket(AF_INET, type | kind, 0));
    const int yes = 1;
    if (!fd.open() || ::setsockopt(fd.get(), SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes) != 0 ||
        ::bind(fd.get(), reinterpret_cast<const sockaddr*>(&at.socket_address), sizeof at.socket_address) !=
            0)
        throw std::system_error(errno, std::generic_category(), "a socket to listen on");
    return fd;
}

// Errors that say nothing of the connection: the call is made again when the system is ready.
bool not_now(int error) {
    return error == EAGAIN || error == EWOULDBLOCK || error == EINTR || error == ENOBUFS || error == ENOMEM;
}

IoResult received(ssize_t n) {
    if (n > 0) return {.bytes = static_cast<std::size_t>(n)};
    if (n == 0) return {.ended = true};
    return {.error = not_now(errno) ? 0 : errno};
}

// A socket's option that is a number; -1 where it has none.
int option(int fd, int name) {
    int value = -1;
    socklen_t size = sizeof value;
    return ::getsockopt(fd, SOL_SOCKET, name, &value, &size) == 0 ? value : -1;
}

constexpr std::size_t most_descriptors = 8;  // in a packet

bool nearby(const std::string& name, sockaddr_un& at) {
    at.sun_family = AF_UNIX;
    if (name.empty() || name.size() >= sizeof at.sun_path) return errno = ENAMETOOLONG, false;
    std::memcpy(at.sun_path, name.c_str(), name.size() + 1);
    return true;
}

sigset_t answered_signals() {
    sigset_t set;
    sigemptyset(&set);
    for (const int s : {SIGTERM, SIGINT, SIGHUP}) sigaddset(&set, s);
    return set;
}

}  // namespace

void Fd::close_descriptor(int fd) const {
    if (owner_ != nullptr)
        owner_->close(fd);
    else
        ::close(fd);
}

void block_signals() {
    const sigset_t set = answered_signals();
    if (::sigprocmask(SIG_BLOCK, &set, nullptr) != 0)
        throw std::system_error(errno, std::generic_category(), "sigprocmask");
}

Fd listen_on(const Address& at) {
    Fd fd = bound(SOCK_STREAM, at);
    if (::listen(fd.get(), 1024) != 0) throw std::system_error(errno, std::generic_category(), "listen");
    return fd;
}

Fd bind_datagrams(const Address& at) { return bound(SOCK_DGRAM, at); }

Fd connect_to(const Address& to) {
    Fd fd(::socket(AF_INET, SOCK_STREAM | kind, 0));
    if (!fd.open()) return fd;
    const int yes = 1;
    ::setsockopt(fd.get(), IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
    const auto* at = reinterpret_cast<const sockaddr*>(&to.socket_address);
    // An interrupted call goes on by itself, as one that is in progress.
    if (::connect(fd.get(), at, sizeof to.socket_address) == 0 || errno == EINPROGRESS || errno == EINTR)
        return fd;
    const int error = errno;
    fd.close();
    errno = error;
    return fd;
}

void Kernel::defer_accept(int listener) {
    const int seconds = 1;
    ::setsockopt(listener, IPPROTO_TCP, TCP_DEFER_ACCEPT, &seconds, sizeof seconds);
}

int Kernel::connect_error(int fd) {
    int error = 0;
    socklen_t size = sizeof error;
    if (::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0) return errno;
    return error;
}

bool Kernel::peer_closed(int fd) {
    pollfd asked{fd, POLLRDHUP, 0};
    return ::poll(&asked, 1, 0) > 0 && (asked.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

IoResult read_some(int fd, std::span<char> into) { return received(::recv(fd, into.data(), into.size(), 0)); }

IoResult Kernel::peek(int fd, std::span<char> into) {
    return received(::recv(fd, into.data(), into.size(), MSG_PEEK));
}

IoResult Kernel::discard_some(int fd) {
    std::array<char, 1 << 16> untouched;
    return received(::recv(fd, untouched.data(), untouched.size(), MSG_TRUNC));
}

IoResult write_some(int fd, std::string_view text) {
    if (text.empty()) return {};
    const ssize_t n = ::send(fd, text.data(), text.size(), MSG_NOSIGNAL);
    if (n >= 0) return {.bytes = static_cast<std::size_t>(n)};
    return {.error = not_now(errno) ? 0 : errno};
}

std::uint64_t Kernel::processor_us() {
    timespec used{};
    if (::clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &used) != 0) return 0;
    return static_cast<std::uint64_t>(used.tv_sec) * 1000000 +
           static_cast<std::uint64_t>(used.tv_nsec) / 1000;
}

int Kernel::poll(std::span<pollfd> set, Ticks longest) {
    return ::poll(set.data(), set.size(), static_cast<int>((longest + 9) / 10));
}

void Kernel::close(int fd) { ::close(fd); }

std::size_t Kernel::descriptor_limit(std::size_t asked) {
    rlimit now{};
    if (::getrlimit(RLIMIT_NOFILE, &now) != 0) return asked;
    if (now.rlim_cur < asked && now.rlim_cur < now.rlim_max) {
        now.rlim_cur = std::min<rlim_t>(asked, now.rlim_max);
        static_cast<void>(::setrlimit(RLIMIT_NOFILE, &now));
        static_cast<void>(::getrlimit(RLIMIT_NOFILE, &now));
    }
    return std::min<std::uint64_t>(asked, now.rlim_cur);
}

Fd Kernel::accept(int listener) {
    Fd fd(::accept4(listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
    const int yes = 1;
    if (fd.open()) ::setsockopt(fd.get(), IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
    return fd;
}

Fd Kernel::open_spare() { return Fd(::open("/dev/null", O_RDONLY | O_CLOEXEC)); }

void Kernel::shutdown_write(int fd) { ::shutdown(fd, SHUT_WR); }

void Kernel::reset_on_close(int fd) {
    const linger at_once{1, 0};
    ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
}

std::ptrdiff_t Kernel::send_to(int fd, const Address& to, std::span<const std::uint8_t> bytes) {
    return ::sendto(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL,
                    reinterpret_cast<const sockaddr*>(&to.socket_address), sizeof to.socket_address);
}

std::ptrdiff_t Kernel::receive(int fd, Address& from, std::span<std::uint8_t> into) {
    socklen_t size = sizeof from.socket_address;
    return ::recvfrom(fd, into.data(), into.size(), 0, reinterpret_cast<sockaddr*>(&from.socket_address),
                      &size);
}

Fd Kernel::inherited_listener(int fd) {
    if (option(fd, SO_TYPE) != SOCK_STREAM || option(fd, SO_DOMAIN) != AF_INET ||
        option(fd, SO_ACCEPTCONN) != 1)
        throw std::system_error(errno != 0 ? errno : EINVAL, std::generic_category(),
                                "it is no open listening TCP socket");
    ::fcntl(fd, F_SETFL, ::fcntl(fd, F_GETFL) | O_NONBLOCK);
    ::fcntl(fd, F_SETFD, FD_CLOEXEC);
    return Fd(fd);
}

// What a process that died left there is nobody's: its name is taken.
Fd Kernel::listen_local(const std::string& name) {
    sockaddr_un at{};
    if (!nearby(name, at)) return {};
    Fd fd(::socket(AF_UNIX, SOCK_SEQPACKET | kind, 0));
    if (!fd.open()) return fd;
    ::unlink(name.c_str());
    if (::bind(fd.get(), reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0 ||
        ::chmod(name.c_str(), S_IRUSR | S_IWUSR) != 0 || ::listen(fd.get(), 4) != 0)
        return {};
    return fd;
}

Fd Kernel::connect_local(const std::string& name) {
    sockaddr_un at{};
    if (!nearby(name, at)) return {};
    Fd fd(::socket(AF_UNIX, SOCK_SEQPACKET | kind, 0));
    if (fd.open() && ::connect(fd.get(), reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0) return {};
    return fd;
}

Fd Kernel::accept_local(int listener) {
    Fd fd(::accept4(listener, nullptr, nullptr, kind));
    ucred who{};
    socklen_t size = sizeof who;
    if (fd.open() &&
        (::getsockopt(fd.get(), SOL_SOCKET, SO_PEERCRED, &who, &size) != 0 || who.uid != ::geteuid()))
        return {};
    return fd;
}

IoResult Kernel::send_packet(int fd, std::string_view bytes, std::span<const int> descriptors) {
    iovec part{const_cast<char*>(bytes.data()), bytes.size()};
    msghdr message{};
    message.msg_iov = &part;
    message.msg_iovlen = 1;
    alignas(cmsghdr) std::array<char, CMSG_SPACE(most_descriptors * sizeof(int))> room{};
    if (descriptors.size() > most_descriptors) return {.error = EINVAL};
    if (!descriptors.empty()) {
        message.msg_control = room.data();
        message.msg_controllen = CMSG_SPACE(descriptors.size_bytes());
        cmsghdr* head = CMSG_FIRSTHDR(&message);
        head->cmsg_level = SOL_SOCKET;
        head->cmsg_type = SCM_RIGHTS;
        head->cmsg_len = CMSG_LEN(descriptors.size_bytes());
        std::memcpy(CMSG_DATA(head), descriptors.data(), descriptors.size_bytes());
    }
    const ssize_t n = ::sendmsg(fd, &message, MSG_NOSIGNAL);
    if (n >= 0) return {.bytes = static_cast<std::size_t>(n)};
    return {.error = not_now(errno) ? 0 : errno};
}

IoResult Kernel::receive_packet(int fd, std::span<char> into, std::vector<Fd>& descriptors) {
    iovec part{into.data(), into.size()};
    msghdr message{};
    message.msg_iov = &part;
    message.msg_iovlen = 1;
    alignas(cmsghdr) std::array<char, CMSG_SPACE(most_descriptors * sizeof(int))> room{};
    message.msg_control = room.data();
    message.msg_controllen = room.size();
    const ssize_t n = ::recvmsg(fd, &message, MSG_CMSG_CLOEXEC);
    if (n > 0)
        for (cmsghdr* head = CMSG_FIRSTHDR(&message); head != nullptr; head = CMSG_NXTHDR(&message, head)) {
            if (head->cmsg_level != SOL_SOCKET || head->cmsg_type != SCM_RIGHTS) continue;
            for (std::size_t at = 0; at + CMSG_LEN(sizeof(int)) <= head->cmsg_len; at += sizeof(int)) {
                int one = -1;
                std::memcpy(&one, CMSG_DATA(head) + at, sizeof one);
                descriptors.emplace_back(one);
            }
        }
    if (n > 0 && (message.msg_flags & (MSG_TRUNC | MSG_CTRUNC)) != 0) return {.error = EMSGSIZE};
    return received(n);
}

// They come as bytes on a descriptor of the loop: no handler interrupts anything.
Fd Kernel::signals() {
    block_signals();
    const sigset_t set = answered_signals();
    Fd fd(::signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC));
    if (!fd.open()) throw std::system_error(errno, std::generic_category(), "signalfd");
    return fd;
}

int Kernel::next_signal(int fd) {
    signalfd_siginfo info{};
    return ::read(fd, &info, sizeof info) == sizeof info ? static_cast<int>(info.ssi_signo) : 0;
}

// What is no plain file, as a pipe that nobody writes to, would hold up all that the node serves meanwhile.
const char* Kernel::read_file(const std::string& path, std::size_t longest, std::string& into) {
    const Fd fd(::open(path.c_str(), O_RDONLY | O_NONBLOCK | O_CLOEXEC));
    struct stat is {};
    if (!fd.open() || ::fstat(fd.get(), &is) != 0) return "cannot be read";
    if (!S_ISREG(is.st_mode)) return "is no plain file";
    if (static_cast<std::size_t>(is.st_size) > longest) return "is too long";
    into.resize(static_cast<std::size_t>(is.st_size));
    for (std::size_t at = 0; at < into.size();) {
        const ssize_t n = ::read(fd.get(), into.data() + at, into.size() - at);
        if (n < 0 && errno == EINTR) continue;
        if (n < 0) return "cannot be read";
        if (n == 0) into.resize(at);
        at += static_cast<std::size_t>(n);
    }
    return nullptr;
}

}  // namespace lemonstair::net
