// Simulated network of machines, with TCP-like streams and with datagrams. The bytes of a stream are limited
// by a window, arrive in order after a delay, and reads and writes may end anywhere. The end of a stream
// arrives after its bytes; a reset overtakes them. Times are tenths of a ms.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "net/transfer.h"
#include "simnet/datagram_faults.h"
#include "simnet/event_queue.h"
#include "simnet/random_source.h"
#include "simnet/streams.h"
#include "simnet/trace.h"

namespace lemonstair::simnet {

// Conditions of all links; times in tenths of a ms, shares from 0 to 1.
struct NetworkConditions {
    Ticks min_delay = 1, max_delay = 20;
    double cut_reads = 0, cut_writes = 0;  // shares of calls that are shortened at random
    std::size_t window = 65536;            // bytes per direction that are sent and not read yet
    double lost = 0, doubled = 0;          // shares of all datagrams
    Ticks datagram_jitter = 0;             // upper limit of the random addition to a datagram's delay
};

// Deterministic for a given seed and order of calls. Errors are the errno values that the kernel would give.
class Network final : public Streams, public EventTarget {
  public:
    Network(EventQueue& events, Trace& trace, RandomSource random, const NetworkConditions& conditions)
        : events_(events), trace_(trace), random_(random), conditions_(conditions) {
        datagram_faults_.lost = conditions.lost;
        datagram_faults_.doubled = conditions.doubled;
        datagram_faults_.jitter = conditions.datagram_jitter;
    }

    // ---- machines
    Machine add_machine() override;
    static Address address(Machine machine, std::uint16_t port);
    // Nothing reaches or leaves the machine until it is healed. Its processes go on.
    void cut_off(Machine machine) { machines_[machine].cut = true; }
    void heal(Machine machine) { machines_[machine].cut = false; }
    bool is_cut(Machine machine) const override { return machines_[machine].cut; }
    Address address_of(Machine machine, std::uint16_t port) const override { return address(machine, port); }
    Address address_seen_by(Machine, const Address& at) const override { return at; }
    // Nothing that `from` sends reaches `to`.
    void cut_path(Machine from, Machine to) { cut_paths_.insert(path(from, to)); }
    void heal_path(Machine from, Machine to) { cut_paths_.erase(path(from, to)); }
    // Multiplies the delays of all that the machine sends and receives. Between two slow machines, the larger
    // factor applies.
    void slow_by(Machine machine, double times) { machines_[machine].slow = times; }
    // As in a reboot: the machine loses its connections and listeners, and the peers are not notified.
    // Segments that arrive later are answered with a reset once the machine is reachable.
    void forget(Machine machine);
    DatagramFaults& datagram_faults() { return datagram_faults_; }

    // ---- streams
    void listen(const Address& at, StreamListener& listener, std::size_t backlog) override;
    void unlisten(const Address& at) override;
    bool is_free(const Address& at) const { return listeners_.find(key(at)) == listeners_.end(); }
    // Connections that wait to be accepted.
    std::size_t pending_connections(const Address& at) const;
    std::optional<End> accept(const Address& at) override;
    End connect(Machine from, const Address& to, StreamListener& owner) override;
    void set_owner(End end, StreamListener& owner) override { at(end).owner = &owner; }
    // Several processes of a machine may hold one end; the last that took hold of it receives its events.
    // release() returns false if no other process holds the end: the caller then has to close it.
    void hold(End end, StreamListener& holder);
    bool release(End end, StreamListener& holder);
    net::IoResult read(End end, std::span<char> into, bool whole = false) override;
    net::IoResult peek(End end, std::span<char> into) const;
    net::IoResult write(End end, std::string_view text, bool whole = false) override;
    void shutdown_write(End end) override;
    void close(End end) override;
    void reset(End end) override;
    // The errno value of a failed end; 0 if it has not failed. The error then counts as reported: read() and
    // write() do not return it again.
    int connect_error(End end);
    // Events as poll() reports them.
    short poll_events(End end, short wanted) const;

    void notify_delivered(End end, EventTarget& target, std::uint64_t token) override;

    // ---- for the invariants
    bool is_up(End end) const override { return at(end).phase == Phase::up; }
    Ticks last_received_sent_at(End end) const override { return at(end).last_sent_time; }
    static Machine machine_at(const Address& at);
    Machine machine_of(End end) const override { return at(end).machine; }
    bool is_open(End end) const override { return at(end).open; }

    // ---- datagrams
    void bind(const Address& at, StreamListener& listener) { bound_[key(at)] = &listener; }
    // Does nothing if another listener has been bound to the address since.
    void unbind(const Address& at, const StreamListener& listener) {
        const auto it = bound_.find(key(at));
        if (it != bound_.end() && it->second == &listener) bound_.erase(it);
    }
    void send(const Address& from, const Address& to, std::span<const std::uint8_t> bytes);
    // Keeps the last datagrams of each machine from now on, so that send_again() can repeat them much later.
    void keep_datagrams() { keeps_datagrams_ = true; }
    // Sends the oldest kept datagrams of the machine again, `max_count` at most.
    void send_again(Machine from, std::size_t max_count);

    void on_event(std::uint64_t token) override;

  private:
    enum class Phase : std::uint8_t { connecting, up, failed };
    struct Segment {
        Ticks arrives_at, sent_at;
        std::string bytes;
        bool end = false;
        EventTarget* delivery_target = nullptr;  // receives an event when the segment has arrived
        std::uint64_t token = 0;
    };
    struct Side {
        StreamListener* owner = nullptr;
        std::vector<StreamListener*> other_holders;  // besides the owner; the last one is the next owner
        Machine machine = 0;
        Phase phase = Phase::connecting;
        bool open = true;                 // not yet closed by its application
        bool forgotten = false;           // its machine has lost it, as in a reboot
        bool end_sent = false;            // this side has ended its sending
        bool end_received = false;        // the end of the other side has arrived
        bool blocked = false;             // a write did not take all bytes: the window was full
        bool reset_reported = false;      // the error has been returned once
        bool delivery_scheduled = false;  // a `deliver` event for in_flight is scheduled
        int error = 0;
        Ticks last_arrival = 0, last_sent_time = 0;
        Ticks retry = 0;                // current retransmission delay; 0: nothing lost
        std::string inbox;              // received, not read
        std::size_t head = 0;           // where the unread bytes of inbox begin
        std::deque<Segment> in_flight;  // sent by this side, not arrived
        std::size_t used = 0;           // bytes of the window: sent by this side, not yet read by the other
    };
    struct Stream {
        Side side[2];
        Address to;
        int attempts = 0;
    };
    struct Listener {
        StreamListener* listener = nullptr;
        std::size_t backlog = 0;
        std::deque<End> pending;  // connected, not accepted
    };
    struct MachineState {
        bool cut = false;  // partitioned from all others
        double slow = 1;   // factor of its delays
    };
    struct Datagram {
        Address from, to;
        std::vector<std::uint8_t> bytes;
    };
    enum Kind : std::uint64_t {
        connect_request,
        connect_confirmed,
        refused,
        deliver,
        reset_arrives,
        window_opened,
        datagram
    };
    static std::uint64_t key(const Address& at) {
        return std::uint64_t{at.socket_address.sin_addr.s_addr} << 16 | at.socket_address.sin_port;
    }
    static std::uint64_t path(Machine from, Machine to) { return std::uint64_t{from} << 32 | to; }
    bool passes(Machine from, Machine to) const {
        return !machines_[from].cut && !machines_[to].cut && cut_paths_.count(path(from, to)) == 0;
    }
    Side& at(End end) { return streams_[end.stream].side[end.side]; }
    const Side& at(End end) const { return streams_[end.stream].side[end.side]; }
    Ticks delay(Machine from, Machine to);
    void later(Ticks when, Kind kind, End end) {
        events_.schedule(when, *this, static_cast<std::uint64_t>(kind) << 56 | end.number());
    }
    void notify_owner(End end);
    void send_segment(End end, std::string_view bytes, bool ends);
    void send_reset(End end);
    void on_connect_request(End end);
    void deliver_bytes(End end);
    void deliver_reset(End end);
    void fail(End end, int error);
    std::size_t cut(double share, std::size_t n, bool whole) {
        return !whole && n > 1 && random_.odds(share)
                   ? static_cast<std::size_t>(random_.between(std::int64_t{1}, static_cast<std::int64_t>(n)))
                   : n;
    }

    EventQueue& events_;
    Trace& trace_;
    RandomSource random_;
    NetworkConditions conditions_;
    DatagramFaults datagram_faults_;
    std::vector<MachineState> machines_;
    std::unordered_set<std::uint64_t> cut_paths_;
    std::deque<Stream> streams_;
    std::unordered_map<std::uint64_t, Listener> listeners_;
    std::unordered_map<std::uint64_t, StreamListener*> bound_;
    std::vector<Datagram> datagrams_;  // in flight; free slots are reused
    std::vector<std::uint32_t> free_datagram_slots_;
    bool keeps_datagrams_ = false;
    std::unordered_map<Machine, std::deque<Datagram>> kept_;  // by sender, the oldest first
};

}  // namespace lemonstair::simnet
