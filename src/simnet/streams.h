// Network interface of the fakes: streams between machines, and the listeners that own their ends.
// Implemented by Network (simulated) and by process_harness::StreamProxy (sockets of the kernel, to real
// processes).
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

#include "net/transfer.h"
#include "simnet/event_queue.h"

namespace lemonstair::simnet {

using net::Address;
using Machine = std::uint32_t;

// One end of a stream. A stream's number is never reused within a run.
struct End {
    std::uint32_t stream = 0;
    std::uint8_t side = 0;  // 0: the end that connected
    bool operator==(const End&) const = default;
    End other() const { return {stream, static_cast<std::uint8_t>(1 - side)}; }
    std::uint64_t number() const { return std::uint64_t{stream} << 1 | side; }
};

// Owner of stream ends, listening addresses or datagram sockets; receives their events.
class StreamListener {
  public:
    StreamListener() = default;
    StreamListener(const StreamListener&) = delete;
    StreamListener& operator=(const StreamListener&) = delete;
    virtual ~StreamListener() = default;
    // The end has connected or failed, has become readable or writable again, or was closed or reset by the
    // peer.
    virtual void on_stream_event(End end) = 0;
    // A connection is waiting to be accepted at this address.
    virtual void on_connection(const Address& at) = 0;
    virtual void on_datagram(const Address& at, const Address& from, std::span<const std::uint8_t> bytes) {
        static_cast<void>(at), static_cast<void>(from), static_cast<void>(bytes);
    }
};

// Streams behave like non-blocking sockets: read and write return at once. Times are tenths of a ms.
class Streams {
  public:
    Streams() = default;
    Streams(const Streams&) = delete;
    Streams& operator=(const Streams&) = delete;
    virtual ~Streams() = default;

    virtual Machine add_machine() = 0;
    virtual bool is_cut(Machine machine) const = 0;
    // Address of a machine's port, and the address under which machine `who` reaches it.
    virtual Address address_of(Machine machine, std::uint16_t port) const = 0;
    virtual Address address_seen_by(Machine who, const Address& at) const = 0;

    virtual void listen(const Address& at, StreamListener& listener, std::size_t backlog) = 0;
    virtual void unlisten(const Address& at) = 0;
    virtual std::optional<End> accept(const Address& at) = 0;
    virtual End connect(Machine from, const Address& to, StreamListener& owner) = 0;
    virtual void set_owner(End end, StreamListener& owner) = 0;
    // whole: the call is never shortened at random.
    virtual net::IoResult read(End end, std::span<char> into, bool whole = false) = 0;
    virtual net::IoResult write(End end, std::string_view text, bool whole = false) = 0;
    virtual void shutdown_write(End end) = 0;
    virtual void close(End end) = 0;
    virtual void reset(End end) = 0;
    // Schedules an event for the time when all bytes written at this end so far have reached the other
    // machine. If they are lost, there is no event.
    virtual void notify_delivered(End end, EventTarget& target, std::uint64_t token) = 0;

    // ---- for the invariants
    virtual bool is_up(End end) const = 0;
    // When the other end sent the bytes that were received here last; 0: none received yet.
    virtual Ticks last_received_sent_at(End end) const = 0;
    virtual Machine machine_of(End end) const = 0;
    virtual bool is_open(End end) const = 0;
};

}  // namespace lemonstair::simnet
