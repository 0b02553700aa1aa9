#include "net/transfer.h"

#include <arpa/inet.h>

#include <array>
#include <cerrno>
#include <charconv>
#include <cstring>

namespace lemonstair::net {

std::optional<Address> parse_address(std::string_view text) {
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0 || colon > 15) return std::nullopt;
    std::array<char, 16> host{};
    std::memcpy(host.data(), text.data(), colon);
    Address out;
    out.socket_address.sin_family = AF_INET;
    unsigned port = 0;
    const char* end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data() + colon + 1, end, port);
    if (error != std::errc{} || stop != end || port == 0 || port > 65535) return std::nullopt;
    if (::inet_pton(AF_INET, host.data(), &out.socket_address.sin_addr) != 1) return std::nullopt;
    out.socket_address.sin_port = htons(static_cast<std::uint16_t>(port));
    return out;
}

std::string format_address(const Address& at) {
    std::array<char, INET_ADDRSTRLEN> host{};
    ::inet_ntop(AF_INET, &at.socket_address.sin_addr, host.data(), host.size());
    return std::string(host.data()) + ":" + std::to_string(ntohs(at.socket_address.sin_port));
}

bool is_resource_exhausted(int error) {
    return error == EMFILE || error == ENFILE || error == ENOBUFS || error == ENOMEM;
}

bool is_per_call_accept_error(int error) {
    return error == ECONNABORTED || error == EINTR || error == EPROTO;
}

bool is_local_failure(int error) {
    return is_resource_exhausted(error) || error == EADDRNOTAVAIL || error == EAGAIN || error == EINTR ||
           error == ENETUNREACH || error == ENETDOWN;
}

}  // namespace lemonstair::net
