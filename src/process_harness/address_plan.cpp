#include "process_harness/address_plan.h"

#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <system_error>

namespace lemonstair::process_harness {

// A listener reserves the block against other harnesses; it ends with this process, however that ends.
AddressPlan::AddressPlan(std::uint32_t nodes) : nodes_(nodes) {
    constexpr std::uint32_t first = 16, blocks = 72, wide = 3;
    const auto start = static_cast<std::uint32_t>(::getpid()) % blocks;
    for (std::uint32_t i = 0; i < blocks; ++i) {
        block_ = first + (start + i) % blocks * wide;
        const Address at = make(block_, 0xfffe, datagram_port);
        net::Fd fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
        if (fd.open() &&
            ::bind(fd.get(), reinterpret_cast<const sockaddr*>(&at.socket_address),
                   sizeof at.socket_address) == 0 &&
            ::listen(fd.get(), 1) == 0) {
            held_ = std::move(fd);
            return;
        }
    }
    throw std::system_error(errno, std::generic_category(), "no block of 127.0.0.0/8 is free");
}

}  // namespace lemonstair::process_harness
