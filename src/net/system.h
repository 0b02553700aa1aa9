// The one place through which a node takes anything from the system that it runs on: the clock, poll,
// streams, datagrams, signals, descriptors, the configuration file. It has two sides: `Kernel`, for a process
// of its own, and `simnet::Process`, a process on a simulated machine. docs/simulation.md says why it is a virtual
// class. A call that fails leaves its reason in errno, as the call of the kernel does.
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
    // What now() is ahead of the monotonic clock that all processes of the machine share.
    virtual Ticks clock_base() = 0;
    // Processor time that the process has used.
    virtual std::uint64_t processor_us() = 0;
    // As poll(2): the number of descriptors with events, 0 after `longest` or sooner, -1 with errno.
    virtual int poll(std::span<pollfd> set, Ticks longest) = 0;
    virtual void close(int fd) = 0;
    // Descriptors that the process may hold when it asks for so many; never more than it asks for.
    virtual std::size_t descriptor_limit(std::size_t asked) = 0;

    // These throw std::system_error: at the start a socket that cannot be had is final.
    virtual Fd listen_on(const Address& at) = 0;
    // Who calls there and says nothing may be kept from the process for a few seconds.
    virtual void defer_accept(int listener) = 0;
    virtual Fd bind_datagrams(const Address& at) = 0;
    // A connection under way; not open where the system had no descriptor or address for it.
    virtual Fd connect_to(const Address& to) = 0;
    // Not open where none waits, or the system has no descriptor for it.
    virtual Fd accept(int listener) = 0;
    // A descriptor that is nothing but that, to be given up when one is wanted and none is left.
    virtual Fd spare() = 0;
    // What became of a connection under way, as an errno; 0: it is up.
    virtual int connected(int fd) = 0;
    // Whether the other side has ended its sending, or the connection is over, also behind unread bytes.
    virtual bool peer_closed(int fd) = 0;
    virtual IoResult read_some(int fd, std::span<char> into) = 0;
    // The same, but the bytes stay unread.
    virtual IoResult peek(int fd, std::span<char> into) = 0;
    // Reads and throws away what there is, up to a limit, without copying it.
    virtual IoResult discard_some(int fd) = 0;
    virtual IoResult write_some(int fd, std::string_view text) = 0;
    virtual void shutdown_write(int fd) = 0;
    // When it is closed, the other side sees a reset.
    virtual void reset_on_close(int fd) = 0;

    // Bytes sent or received; negative where the system took or had none.
    virtual std::ptrdiff_t send_to(int fd, const Address& to, std::span<const std::uint8_t> bytes) = 0;
    virtual std::ptrdiff_t receive(int fd, Address& from, std::span<std::uint8_t> into) = 0;

    // A listening TCP socket that the process was started with; throws std::system_error where it is none.
    virtual Fd inherited_listener(int fd) = 0;

    // Packets between two processes of one user on this machine, which may hold descriptors. A name is a path
    // in the file system. Not open, with errno, where nobody listens or the name cannot be had.
    virtual Fd listen_local(const std::string& name) = 0;
    virtual Fd connect_local(const std::string& name) = 0;
    // Nobody but a process of the same user.
    virtual Fd accept_local(int listener) = 0;
    virtual IoResult send_packet(int fd, std::string_view bytes, std::span<const int> descriptors) = 0;
    // One whole packet; longer ones are an error. The descriptors are the receiver's from then on.
    virtual IoResult receive_packet(int fd, std::span<char> into, std::vector<Fd>& descriptors) = 0;

    // Where the signals that a node answers are read; throws std::system_error.
    virtual Fd signals() = 0;
    // The next one's number; 0: none waits.
    virtual int next_signal(int fd) = 0;

    // Reads a whole file that is plain and no longer than a limit; else says in a few words what is wrong.
    virtual const char* read_file(const std::string& path, std::size_t longest, std::string& into) = 0;
};

}  // namespace lemonstair::net
