// What came of one read or write, and the addresses that connections go by.
#pragma once

#include <netinet/in.h>

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace lemonstair::net {

struct Address {
    sockaddr_in at{};
    bool operator==(const Address& other) const {
        return at.sin_addr.s_addr == other.at.sin_addr.s_addr && at.sin_port == other.at.sin_port;
    }
};

// "10.0.0.4:8443"; nothing where the text is not an address and a port.
std::optional<Address> parse_address(std::string_view text);

std::string address_text(const Address& at);

struct IoResult {
    std::size_t bytes = 0;
    bool ended = false;  // the other side ended its sending
    int error = 0;       // an errno; never one that only says "not now"
};

// Errors that say that the system has no descriptor or memory left, and those that, like them, keep a
// connection from being tried at all: neither tells anything of the other side.
bool is_resource_exhausted(int error);
// Errors of accept that end one call and tell nothing of the next.
bool is_per_call_accept_error(int error);
bool is_local_failure(int error);

}  // namespace lemonstair::net
