#include "net/sockets.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <charconv>
#include <cstring>
#include <system_error>

namespace lemonstair::net {

namespace {

constexpr int kind = SOCK_NONBLOCK | SOCK_CLOEXEC;

Fd bound(int type, const Address& at) {
    Fd fd(::socket(AF_INET, type | kind, 0));
    const int yes = 1;
    if (!fd.open() || ::setsockopt(fd.get(), SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes) != 0 ||
        ::bind(fd.get(), reinterpret_cast<const sockaddr*>(&at.at), sizeof at.at) != 0)
        throw std::system_error(errno, std::generic_category(), "a socket to listen on");
    return fd;
}

bool not_now(int error) { return error == EAGAIN || error == EWOULDBLOCK || error == EINTR; }

Transfer received(ssize_t n) {
    if (n > 0) return {.bytes = static_cast<std::size_t>(n)};
    if (n == 0) return {.ended = true};
    return {.error = not_now(errno) ? 0 : errno};
}

}  // namespace

std::optional<Address> parse_address(std::string_view text) {
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0 || colon > 15) return std::nullopt;
    std::array<char, 16> host{};
    std::memcpy(host.data(), text.data(), colon);
    Address out;
    out.at.sin_family = AF_INET;
    unsigned port = 0;
    const char* end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data() + colon + 1, end, port);
    if (error != std::errc{} || stop != end || port == 0 || port > 65535) return std::nullopt;
    if (::inet_pton(AF_INET, host.data(), &out.at.sin_addr) != 1) return std::nullopt;
    out.at.sin_port = htons(static_cast<std::uint16_t>(port));
    return out;
}

Fd listen_on(const Address& at) {
    Fd fd = bound(SOCK_STREAM, at);
    if (::listen(fd.get(), 1024) != 0) throw std::system_error(errno, std::generic_category(), "listen");
    return fd;
}

Fd datagrams_on(const Address& at) { return bound(SOCK_DGRAM, at); }

Fd connect_to(const Address& to) {
    Fd fd(::socket(AF_INET, SOCK_STREAM | kind, 0));
    if (!fd.open()) return fd;
    const int yes = 1;
    ::setsockopt(fd.get(), IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
    const auto* at = reinterpret_cast<const sockaddr*>(&to.at);
    if (::connect(fd.get(), at, sizeof to.at) != 0 && errno != EINPROGRESS) fd.close();
    return fd;
}

bool none_left(int error) {
    return error == EMFILE || error == ENFILE || error == ENOBUFS || error == ENOMEM;
}

bool own_want(int error) { return none_left(error) || error == EADDRNOTAVAIL || error == EAGAIN; }

int connected(int fd) {
    int error = 0;
    socklen_t size = sizeof error;
    if (::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0) return errno;
    return error;
}

Transfer read_some(int fd, std::span<char> into) { return received(::recv(fd, into.data(), into.size(), 0)); }

Transfer peek(int fd, std::span<char> into) {
    return received(::recv(fd, into.data(), into.size(), MSG_PEEK));
}

Transfer discard_some(int fd) {
    std::array<char, 1 << 16> untouched;
    return received(::recv(fd, untouched.data(), untouched.size(), MSG_TRUNC));
}

Transfer write_some(int fd, std::string_view text) {
    if (text.empty()) return {};
    const ssize_t n = ::send(fd, text.data(), text.size(), MSG_NOSIGNAL);
    if (n >= 0) return {.bytes = static_cast<std::size_t>(n)};
    return {.error = not_now(errno) ? 0 : errno};
}

}  // namespace lemonstair::net
