/// IPv4 addresses, the result of one read or write, and the classes of errors that callers distinguish.
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

/// Parses "10.0.0.4:8443"; nothing where the text is not an IPv4 address and a port from 1 to 65535.
std::optional<Address> parse_address(std::string_view text);

/// The same form, as in "10.0.0.4:8443".
std::string format_address(const Address& address);

/// The result of one read or write on a non-blocking descriptor.
struct IoResult {
    std::size_t bytes = 0;
    bool ended = false;  // the peer has closed its sending side
    int error = 0;       // an errno; 0 where the call would block
};

/// The system has no descriptor or memory left.
bool is_resource_exhausted(int error);
/// The error concerns this call of accept only; the next call may succeed.
bool is_per_call_accept_error(int error);
/// No connection was attempted, so that the error says nothing about the peer. Includes exhausted resources.
bool is_local_failure(int error);

}  // namespace lemonstair::net
