// IPv4 addresses, the result of one read or write, and the classes of errors that callers tell apart.
#pragma once

#include <netinet/in.h>

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace lemonstair::net {

struct Address {
    sockaddr_in socket_address{};
    bool operator==(const Address& other) const {
        return socket_address.sin_addr.s_addr == other.socket_address.sin_addr.s_addr &&
               socket_address.sin_port == other.socket_address.sin_port;
    }
};

// "10.0.0.4:8443"; nothing where the text is not an address and a port.
std::optional<Address> parse_address(std::string_view text);

std::string format_address(const Address& at);

struct IoResult {
    std::size_t bytes = 0;
    bool ended = false;  // the peer has closed its sending side
    int error = 0;       // an errno; 0 where the call would block
};

// The system has no descriptor or memory left.
bool is_resource_exhausted(int error);
// The error concerns one accept call only; the next may succeed.
bool is_per_call_accept_error(int error);
// The connection was not even attempted, so the error says nothing about the peer; includes exhausted
// resources.
bool is_local_failure(int error);

}  // namespace lemonstair::net
