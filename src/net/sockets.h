// TCP and UDP sockets on IPv4, none of which blocks.
#pragma once

#include <netinet/in.h>

#include <cstddef>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "net/fd.h"

namespace lemonstair::net {

struct Address {
    sockaddr_in at{};
    bool operator==(const Address& other) const {
        return at.sin_addr.s_addr == other.at.sin_addr.s_addr && at.sin_port == other.at.sin_port;
    }
};

// "10.0.0.4:8443"; nothing where the text is not an address and a port.
std::optional<Address> parse_address(std::string_view text);

// These throw std::system_error: at the start a socket that cannot be had is final.
Fd listen_on(const Address& at);
Fd datagrams_on(const Address& at);

// A connection under way; not open where the system had no descriptor or address for it.
Fd connect_to(const Address& to);
// Errors that say that the system has no descriptor or memory left, and those that, like them, keep a
// connection from being tried at all: neither tells anything of the other side.
bool none_left(int error);
bool own_want(int error);
// What became of it, as an errno; 0: it is up.
int connected(int fd);

struct Transfer {
    std::size_t bytes = 0;
    bool ended = false;  // the other side ended its sending
    int error = 0;       // an errno; never one that only says "not now"
};
Transfer read_some(int fd, std::span<char> into);
Transfer write_some(int fd, std::string_view text);
// The same as read_some, but the bytes stay unread.
Transfer peek(int fd, std::span<char> into);
// Reads and throws away what there is, up to a limit, without copying it.
Transfer discard_some(int fd);

}  // namespace lemonstair::net
