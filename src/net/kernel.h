/// The System of a real process: non-blocking TCP and UDP over IPv4, local packet sockets, poll(2) and
/// signalfd(2).
#pragma once

#include "net/clock.h"
#include "net/system.h"

namespace lemonstair::net {

/// Blocks the signals that a node handles; they stay pending until the node reads them. Throws
/// std::system_error.
void block_signals();

/// The calls of System on streams and datagrams, for programs without a System. listen_on and bind_datagrams
/// throw std::system_error.
Fd listen_on(const Address& address);
Fd bind_datagrams(const Address& address);
Fd connect_to(const Address& to);
IoResult read_some(int fd, std::span<char> into);
IoResult write_some(int fd, std::string_view text);

/// Implements each call of System with the system call of the Linux kernel.
class Kernel : public System {
  public:
    Ticks now() override { return clock_.now(); }
    Ticks clock_base() override { return clock_.base(); }
    std::uint64_t processor_us() override;
    int poll(std::span<pollfd> descriptors, Ticks timeout) override;
    void close(int fd) override;
    std::size_t descriptor_limit(std::size_t requested) override;
    Fd listen_on(const Address& address) override { return net::listen_on(address); }
    void defer_accept(int listener) override;
    Fd bind_datagrams(const Address& address) override { return net::bind_datagrams(address); }
    Fd connect_to(const Address& to) override { return net::connect_to(to); }
    Fd accept(int listener) override;
    Fd open_spare() override;
    int connect_error(int fd) override;
    bool peer_closed(int fd) override;
    IoResult read_some(int fd, std::span<char> into) override { return net::read_some(fd, into); }
    IoResult peek(int fd, std::span<char> into) override;
    IoResult discard_some(int fd) override;
    IoResult write_some(int fd, std::string_view text) override { return net::write_some(fd, text); }
    void shutdown_write(int fd) override;
    void reset_on_close(int fd) override;
    std::ptrdiff_t send_to(int fd, const Address& to, std::span<const std::uint8_t> bytes) override;
    std::ptrdiff_t receive(int fd, Address& from, std::span<std::uint8_t> into) override;
    Fd inherited_listener(int fd) override;
    Fd listen_local(const std::string& path) override;
    Fd connect_local(const std::string& path) override;
    Fd accept_local(int listener) override;
    IoResult send_packet(int fd, std::string_view bytes, std::span<const int> descriptors) override;
    IoResult receive_packet(int fd, std::span<char> into, std::vector<Fd>& descriptors) override;
    Fd signals() override;
    int next_signal(int fd) override;
    const char* read_file(const std::string& path, std::size_t max_bytes, std::string& into) override;

  private:
    Clock clock_;
};

}  // namespace lemonstair::net
