// The operating system as a node sees it: the clock, poll, streams, datagrams, signals, descriptors and the
// configuration file. `Kernel` implements it for a real process, `simnet::Process` for one on a simulated
// machine; docs/simulation.md says why it is a virtual class. A call that fails sets errno as the system call
// does.
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

    // Tenths of a ms since the epoch of Unix time; it only goes forward.
    virtual Ticks now() = 0;
    // How far now() is ahead of the monotonic clock, which all processes of the machine share.
    virtual Ticks clock_base() = 0;
    // Processor time that the process has used.
    virtual std::uint64_t processor_us() = 0;
    // As poll(2): the number of descriptors with events, 0 after `longest` or sooner, or -1.
    virtual int poll(std::span<pollfd> set, Ticks longest) = 0;
    virtual void close(int fd) = 0;
    // Raises the descriptor limit to `asked` if possible; the number granted, never more than `asked`.
    virtual std::size_t descriptor_limit(std::size_t asked) = 0;

    // This and bind_datagrams throw std::system_error.
    virtual Fd listen_on(const Address& at) = 0;
    // Connections on which nothing arrives may be withheld from accept for a few seconds.
    virtual void defer_accept(int listener) = 0;
    virtual Fd bind_datagrams(const Address& at) = 0;
    // Starts a connection; not open where the system had no descriptor or address for it.
    virtual Fd connect_to(const Address& to) = 0;
    // Not open where no connection waits, or there is no descriptor for it.
    virtual Fd accept(int listener) = 0;
    // A reserve descriptor without a use, to be closed when one is needed and none is left.
    virtual Fd open_spare() = 0;
    // The result of an asynchronous connect, as an errno; 0: connected.
    virtual int connect_error(int fd) = 0;
    // Whether the peer has closed its sending side or the connection is over, even with unread bytes before
    // that.
    virtual bool peer_closed(int fd) = 0;
    virtual IoResult read_some(int fd, std::span<char> into) = 0;
    // The same, but the bytes stay unread.
    virtual IoResult peek(int fd, std::span<char> into) = 0;
    // Reads and drops what there is, up to a limit, without copying it.
    virtual IoResult discard_some(int fd) = 0;
    virtual IoResult write_some(int fd, std::string_view text) = 0;
    virtual void shutdown_write(int fd) = 0;
    // Closing the descriptor will send a reset to the peer.
    virtual void reset_on_close(int fd) = 0;

    // Bytes sent or received; negative where the system took or had none.
    virtual std::ptrdiff_t send_to(int fd, const Address& to, std::span<const std::uint8_t> bytes) = 0;
    virtual std::ptrdiff_t receive(int fd, Address& from, std::span<std::uint8_t> into) = 0;

    // A listening TCP socket that the process was started with; throws std::system_error where it is none.
    virtual Fd inherited_listener(int fd) = 0;

    // Packets with descriptors between two processes of one user on this machine. A name is a path in the
    // file system. Not open where nobody listens or the name cannot be bound.
    virtual Fd listen_local(const std::string& name) = 0;
    virtual Fd connect_local(const std::string& name) = 0;
    // Accepts only processes of the same user.
    virtual Fd accept_local(int listener) = 0;
    virtual IoResult send_packet(int fd, std::string_view bytes, std::span<const int> descriptors) = 0;
    // One whole packet; longer ones are an error. The descriptors are the receiver's from then on.
    virtual IoResult receive_packet(int fd, std::span<char> into, std::vector<Fd>& descriptors) = 0;

    // A descriptor from which the signals that a node handles are read; throws std::system_error.
    virtual Fd signals() = 0;
    // The number of the next signal; 0: none is pending.
    virtual int next_signal(int fd) = 0;

    // Reads a regular file no longer than `longest`; null, or in a few words what is wrong with it.
    virtual const char* read_file(const std::string& path, std::size_t longest, std::string& into) = 0;
};

}  // namespace lemonstair::net
