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

constexpr int socket_flags = SOCK_NONBLOCK | SOCK_CLOEXEC;

// A socket of this type bound to the address; throws std::system_error.
Fd bind_socket(int type, const Address& address) {
    Fd fd(::socket(AF_INET, type | socket_flags, 0));
    const int yes = 1;
    if (!fd.open() || ::setsockopt(fd.get(), SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes) != 0 ||
        ::bind(fd.get(), reinterpret_cast<const sockaddr*>(&address.socket_address),
               sizeof address.socket_address) != 0) {
        const int error = errno;
        throw std::system_error(error, std::generic_category(),
                                "cannot bind a socket to " + format_address(address));
    }
    return fd;
}

// The error does not concern the connection; the call is repeated once the descriptor is ready.
bool is_transient(int error) {
    return error == EAGAIN || error == EWOULDBLOCK || error == EINTR || error == ENOBUFS || error == ENOMEM;
}

IoResult io_result_of(ssize_t n) {
    if (n > 0) return {.bytes = static_cast<std::size_t>(n)};
    if (n == 0) return {.ended = true};
    return {.error = is_transient(errno) ? 0 : errno};
}

// The value of an integer socket option; -1 where it cannot be read.
int socket_option(int fd, int name) {
    int value = -1;
    socklen_t size = sizeof value;
    return ::getsockopt(fd, SOL_SOCKET, name, &value, &size) == 0 ? value : -1;
}

constexpr std::size_t max_packet_descriptors = 8;

// False, with errno set, where the path is empty or too long for a socket address.
bool make_local_address(const std::string& path, sockaddr_un& address) {
    address.sun_family = AF_UNIX;
    if (path.empty() || path.size() >= sizeof address.sun_path) return errno = ENAMETOOLONG, false;
    std::memcpy(address.sun_path, path.c_str(), path.size() + 1);
    return true;
}

sigset_t handled_signals() {
    sigset_t set;
    sigemptyset(&set);
    for (const int signal_number : {SIGTERM, SIGINT, SIGHUP}) sigaddset(&set, signal_number);
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
    const sigset_t set = handled_signals();
    if (::sigprocmask(SIG_BLOCK, &set, nullptr) != 0)
        throw std::system_error(errno, std::generic_category(), "sigprocmask");
}

Fd listen_on(const Address& address) {
    Fd fd = bind_socket(SOCK_STREAM, address);
    if (::listen(fd.get(), 1024) != 0)
        throw std::system_error(errno, std::generic_category(), "cannot listen on the socket");
    return fd;
}

Fd bind_datagrams(const Address& address) { return bind_socket(SOCK_DGRAM, address); }

Fd connect_to(const Address& to) {
    Fd fd(::socket(AF_INET, SOCK_STREAM | socket_flags, 0));
    if (!fd.open()) return fd;
    const int yes = 1;
    ::setsockopt(fd.get(), IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
    const auto* address = reinterpret_cast<const sockaddr*>(&to.socket_address);
    // An interrupted connect continues asynchronously, like one in progress.
    if (::connect(fd.get(), address, sizeof to.socket_address) == 0 || errno == EINPROGRESS || errno == EINTR)
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
    pollfd polled{fd, POLLRDHUP, 0};
    return ::poll(&polled, 1, 0) > 0 && (polled.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

IoResult read_some(int fd, std::span<char> into) {
    return io_result_of(::recv(fd, into.data(), into.size(), 0));
}

IoResult Kernel::peek(int fd, std::span<char> into) {
    return io_result_of(::recv(fd, into.data(), into.size(), MSG_PEEK));
}

IoResult Kernel::discard_some(int fd) {
    std::array<char, 1 << 16> unused;
    return io_result_of(::recv(fd, unused.data(), unused.size(), MSG_TRUNC));
}

IoResult write_some(int fd, std::string_view text) {
    if (text.empty()) return {};
    const ssize_t n = ::send(fd, text.data(), text.size(), MSG_NOSIGNAL);
    if (n >= 0) return {.bytes = static_cast<std::size_t>(n)};
    return {.error = is_transient(errno) ? 0 : errno};
}

std::uint64_t Kernel::processor_us() {
    timespec processor_time{};
    if (::clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &processor_time) != 0) return 0;
    return static_cast<std::uint64_t>(processor_time.tv_sec) * 1000000 +
           static_cast<std::uint64_t>(processor_time.tv_nsec) / 1000;
}

// Rounded up to whole milliseconds, so that the loop does not wake before the deadline.
int Kernel::poll(std::span<pollfd> descriptors, Ticks timeout) {
    return ::poll(descriptors.data(), descriptors.size(), static_cast<int>((timeout + 9) / 10));
}

void Kernel::close(int fd) { ::close(fd); }

std::size_t Kernel::descriptor_limit(std::size_t requested) {
    rlimit limit{};
    if (::getrlimit(RLIMIT_NOFILE, &limit) != 0) return requested;
    if (limit.rlim_cur < requested && limit.rlim_cur < limit.rlim_max) {
        limit.rlim_cur = std::min<rlim_t>(requested, limit.rlim_max);
        static_cast<void>(::setrlimit(RLIMIT_NOFILE, &limit));
        static_cast<void>(::getrlimit(RLIMIT_NOFILE, &limit));
    }
    return std::min<std::uint64_t>(requested, limit.rlim_cur);
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
    const linger reset_linger{1, 0};
    ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset_linger, sizeof reset_linger);
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
    if (socket_option(fd, SO_TYPE) != SOCK_STREAM || socket_option(fd, SO_DOMAIN) != AF_INET ||
        socket_option(fd, SO_ACCEPTCONN) != 1)
        throw std::system_error(errno != 0 ? errno : EINVAL, std::generic_category(),
                                "it is not a listening IPv4 TCP socket");
    ::fcntl(fd, F_SETFL, ::fcntl(fd, F_GETFL) | O_NONBLOCK);
    ::fcntl(fd, F_SETFD, FD_CLOEXEC);
    return Fd(fd);
}

// Replaces a socket file that a process left behind when it died.
Fd Kernel::listen_local(const std::string& path) {
    sockaddr_un address{};
    if (!make_local_address(path, address)) return {};
    Fd fd(::socket(AF_UNIX, SOCK_SEQPACKET | socket_flags, 0));
    if (!fd.open()) return fd;
    ::unlink(path.c_str());
    if (::bind(fd.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
        ::chmod(path.c_str(), S_IRUSR | S_IWUSR) != 0 || ::listen(fd.get(), 4) != 0)
        return {};
    return fd;
}

Fd Kernel::connect_local(const std::string& path) {
    sockaddr_un address{};
    if (!make_local_address(path, address)) return {};
    Fd fd(::socket(AF_UNIX, SOCK_SEQPACKET | socket_flags, 0));
    if (fd.open() && ::connect(fd.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0)
        return {};
    return fd;
}

Fd Kernel::accept_local(int listener) {
    Fd fd(::accept4(listener, nullptr, nullptr, socket_flags));
    ucred peer{};
    socklen_t size = sizeof peer;
    if (fd.open() &&
        (::getsockopt(fd.get(), SOL_SOCKET, SO_PEERCRED, &peer, &size) != 0 || peer.uid != ::geteuid()))
        return {};
    return fd;
}

IoResult Kernel::send_packet(int fd, std::string_view bytes, std::span<const int> descriptors) {
    iovec part{const_cast<char*>(bytes.data()), bytes.size()};
    msghdr message{};
    message.msg_iov = &part;
    message.msg_iovlen = 1;
    alignas(cmsghdr) std::array<char, CMSG_SPACE(max_packet_descriptors * sizeof(int))> control{};
    if (descriptors.size() > max_packet_descriptors) return {.error = EINVAL};
    if (!descriptors.empty()) {
        message.msg_control = control.data();
        message.msg_controllen = CMSG_SPACE(descriptors.size_bytes());
        cmsghdr* header = CMSG_FIRSTHDR(&message);
        header->cmsg_level = SOL_SOCKET;
        header->cmsg_type = SCM_RIGHTS;
        header->cmsg_len = CMSG_LEN(descriptors.size_bytes());
        std::memcpy(CMSG_DATA(header), descriptors.data(), descriptors.size_bytes());
    }
    const ssize_t n = ::sendmsg(fd, &message, MSG_NOSIGNAL);
    if (n >= 0) return {.bytes = static_cast<std::size_t>(n)};
    return {.error = is_transient(errno) ? 0 : errno};
}

IoResult Kernel::receive_packet(int fd, std::span<char> into, std::vector<Fd>& descriptors) {
    iovec part{into.data(), into.size()};
    msghdr message{};
    message.msg_iov = &part;
    message.msg_iovlen = 1;
    alignas(cmsghdr) std::array<char, CMSG_SPACE(max_packet_descriptors * sizeof(int))> control{};
    message.msg_control = control.data();
    message.msg_controllen = control.size();
    const ssize_t n = ::recvmsg(fd, &message, MSG_CMSG_CLOEXEC);
    if (n > 0)
        for (cmsghdr* header = CMSG_FIRSTHDR(&message); header != nullptr;
             header = CMSG_NXTHDR(&message, header)) {
            if (header->cmsg_level != SOL_SOCKET || header->cmsg_type != SCM_RIGHTS) continue;
            for (std::size_t offset = 0; offset + CMSG_LEN(sizeof(int)) <= header->cmsg_len;
                 offset += sizeof(int)) {
                int descriptor = -1;
                std::memcpy(&descriptor, CMSG_DATA(header) + offset, sizeof descriptor);
                descriptors.emplace_back(descriptor);
            }
        }
    if (n > 0 && (message.msg_flags & (MSG_TRUNC | MSG_CTRUNC)) != 0) return {.error = EMSGSIZE};
    return io_result_of(n);
}

// The event loop reads signals from a descriptor, so that no signal handler interrupts other code.
Fd Kernel::signals() {
    block_signals();
    const sigset_t set = handled_signals();
    Fd fd(::signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC));
    if (!fd.open()) throw std::system_error(errno, std::generic_category(), "signalfd");
    return fd;
}

int Kernel::next_signal(int fd) {
    signalfd_siginfo info{};
    return ::read(fd, &info, sizeof info) == sizeof info ? static_cast<int>(info.ssi_signo) : 0;
}

// Anything but a regular file is refused: a read from a pipe without a writer, for example, would block the
// whole node.
const char* Kernel::read_file(const std::string& path, std::size_t max_bytes, std::string& into) {
    const Fd fd(::open(path.c_str(), O_RDONLY | O_NONBLOCK | O_CLOEXEC));
    struct stat status {};
    if (!fd.open() || ::fstat(fd.get(), &status) != 0) return "cannot be read";
    if (!S_ISREG(status.st_mode)) return "is not a regular file";
    if (static_cast<std::size_t>(status.st_size) > max_bytes) return "is too long";
    into.resize(static_cast<std::size_t>(status.st_size));
    for (std::size_t position = 0; position < into.size();) {
        const ssize_t n = ::read(fd.get(), into.data() + position, into.size() - position);
        if (n < 0 && errno == EINTR) continue;
        if (n < 0) return "cannot be read";
        if (n == 0) into.resize(position);
        position += static_cast<std::size_t>(n);
    }
    return nullptr;
}

}  // namespace lemonstair::net
