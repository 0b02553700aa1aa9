/// The operating system as a node uses it: the clock, poll, streams, datagrams, signals, descriptors and the
/// configuration file. `Kernel` implements it for a real process, `simnet::Process` for a process on a
/// simulated machine; docs/simulation.md explains why it is a virtual class. A call that fails sets errno as
/// the system call does.
#pragma once

#include <poll.h>

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "net/clock.h"
#include "net/fd.h"
#include "net/transfer.h"

namespace lemonstair::net {

class System {
  public:
    System() = default;
    System(const System&) = delete;
    System& operator=(const System&) = delete;
    virtual ~System() = default;

    // Unix time in tenths of a ms; it never goes back.
    virtual Ticks now() = 0;
    // How far now() is ahead of the monotonic clock, which all processes of the machine share.
    virtual Ticks clock_base() = 0;
    // Processor time that the process has used, in microseconds.
    virtual std::uint64_t processor_us() = 0;
    // As poll(2): returns the number of descriptors with events, 0 if there are none after `timeout` (tenths
    // of a ms) or earlier, or -1.
    virtual int poll(std::span<pollfd> descriptors, Ticks timeout) = 0;
    virtual void close(int fd) = 0;
    // Raises the descriptor limit to `requested` if possible; returns the limit, at most `requested`.
    virtual std::size_t descriptor_limit(std::size_t requested) = 0;

    // A listening TCP socket; throws std::system_error.
    virtual Fd listen_on(const Address& address) = 0;
    // Lets the system withhold connections from accept for a few seconds until data arrives on them.
    virtual void defer_accept(int listener) = 0;
    // A bound UDP socket; throws std::system_error.
    virtual Fd bind_datagrams(const Address& address) = 0;
    // Starts a connection. The result is not open where it failed at once, for example where the system has
    // no descriptor or no local address for it.
    virtual Fd connect_to(const Address& to) = 0;
    // The result is not open where no connection is pending or there is no descriptor for it.
    virtual Fd accept(int listener) = 0;
    // A descriptor held in reserve, to be closed when one is needed and none is left.
    virtual Fd open_spare() = 0;
    // The result of an asynchronous connect, as an errno; 0: connected.
    virtual int connect_error(int fd) = 0;
    // Whether the peer has closed its sending side or the connection has ended, even if bytes received before
    // that are still unread.
    virtual bool peer_closed(int fd) = 0;
    virtual IoResult read_some(int fd, std::span<char> into) = 0;
    // As read_some, but the bytes stay unread.
    virtual IoResult peek(int fd, std::span<char> into) = 0;
    // Reads and discards received bytes, up to a limit, without copying them.
    virtual IoResult discard_some(int fd) = 0;
    virtual IoResult write_some(int fd, std::string_view text) = 0;
    virtual void shutdown_write(int fd) = 0;
    // Makes the later close of the descriptor send a reset to the peer.
    virtual void reset_on_close(int fd) = 0;

    // Each returns the size of the datagram, or a negative number where none was sent or received.
    virtual std::ptrdiff_t send_to(int fd, const Address& to, std::span<const std::uint8_t> bytes) = 0;
    virtual std::ptrdiff_t receive(int fd, Address& from, std::span<std::uint8_t> into) = 0;

    // Takes over a descriptor that the process was started with; throws std::system_error where it is not a
    // listening TCP socket.
    virtual Fd inherited_listener(int fd) = 0;

    // Local sockets: packets with descriptors between two processes of one user on this machine. The result
    // is not open where the path cannot be bound, or where no process listens on it.
    virtual Fd listen_local(const std::string& path) = 0;
    virtual Fd connect_local(const std::string& path) = 0;
    // Accepts connections of processes of the same user only.
    virtual Fd accept_local(int listener) = 0;
    virtual IoResult send_packet(int fd, std::string_view bytes, std::span<const int> descriptors) = 0;
    // Receives one packet; a packet that does not fit is an error. The receiver owns the descriptors from
    // then on.
    virtual IoResult receive_packet(int fd, std::span<char> into, std::vector<Fd>& descriptors) = 0;

    // A descriptor for next_signal(), readable while one of the signals that a node handles is pending.
    // Blocks these signals. Throws std::system_error.
    virtual Fd signals() = 0;
    // The number of the next pending signal; 0: none.
    virtual int next_signal(int fd) = 0;

    // Reads a regular file of at most `max_bytes`. Returns null, or what is wrong with the file, as a
    // predicate: "cannot be read".
    virtual const char* read_file(const std::string& path, std::size_t max_bytes, std::string& into) = 0;
};

}  // namespace lemonstair::net
