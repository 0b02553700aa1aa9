// Kernel streams for the fakes, between this process and real nodes on the loopback. One end of a stream is
// here, the other is a node's. A cut is made here: bytes stay unread, nothing is written, and connections of
// nodes stay unaccepted (the listen queue is kept full). Times are tenths of a ms.
#pragma once

#include <sys/epoll.h>

#include <algorithm>
#include <array>
#include <deque>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "net/kernel.h"
#include "process_harness/address_plan.h"
#include "simnet/streams.h"

namespace lemonstair::process_harness {

using simnet::End;
using simnet::EventQueue;
using simnet::EventTarget;
using simnet::StreamListener;
using simnet::Ticks;

// Callback of the poller for a descriptor.
class Ready {
  public:
    Ready() = default;
    Ready(const Ready&) = delete;
    Ready& operator=(const Ready&) = delete;
    virtual ~Ready() = default;
    virtual void on_ready(std::uint64_t token, std::uint32_t events) = 0;
};

// On epoll(7): thousands of descriptors, few of them ready.
class Poller {
  public:
    Poller();
    // edge: one callback for each change.
    void add(int fd, std::uint32_t events, Ready& who, std::uint64_t token, bool edge);
    void remove(int fd);
    // Waits for at most `longest`, calls on_timer, then the callbacks of ready descriptors. False: a signal
    // interrupted the wait.
    template <class Woken>
    bool turn(Ticks longest, Woken&& on_timer) {
        const int n = wait(longest);
        on_timer();
        for (int i = 0; i < n; ++i) tell(i);
        return n >= 0;
    }

  private:
    struct Use {
        Ready* who = nullptr;
        std::uint64_t token = 0;
        std::uint32_t serial = 0;
    };
    int wait(Ticks longest);
    void tell(int happened);
    static constexpr int most_events = 256;
    net::Fd epoll_;
    std::vector<Use> uses_;  // by descriptor
    std::array<epoll_event, most_events> events_{};
};

class StreamProxy final : public simnet::Streams, public Ready, public EventTarget {
  public:
    StreamProxy(EventQueue& events, Poller& poller, const AddressPlan& addresses)
        : events_(events), poller_(poller), addresses_(addresses) {}

    // ---- faults; a pair is a node and a machine that is none, or one of the clients'
    void cut_off(Machine machine, bool on);
    void cut_path(Machine a, Machine b, bool on);
    // What the machine held is gone: its streams are reset once they may be.
    void forget(Machine machine);
    std::uint64_t calls_of_nodes() const { return connections_of_nodes_; }

    // ---- simnet::Streams
    Machine add_machine() override { return machines_++; }
    bool is_cut(Machine machine) const override { return cut_.count(machine) > 0; }
    Address address_of(Machine machine, std::uint16_t port) const override {
        return addresses_.own(machine, port);
    }
    Address address_seen_by(Machine who, const Address& at) const override;
    void listen(const Address& at, StreamListener& listener, std::size_t backlog) override;
    void unlisten(const Address& at) override;
    std::optional<End> accept(const Address& at) override;
    End connect(Machine from, const Address& to, StreamListener& owner) override;
    void set_owner(End end, StreamListener& owner) override { streams_[end.stream].owner = &owner; }
    net::IoResult read(End end, std::span<char> into, bool whole) override;
    net::IoResult write(End end, std::string_view text, bool whole) override;
    void shutdown_write(End end) override;
    void close(End end) override { drop(end, false); }
    void reset(End end) override { drop(end, true); }
    void notify_delivered(End end, EventTarget& target, std::uint64_t token) override;
    bool is_up(End end) const override { return streams_[end.stream].up; }
    Ticks last_received_sent_at(End end) const override { return streams_[end.stream].last_receive_time; }
    Machine machine_of(End end) const override;
    bool is_open(End end) const override;

    void on_ready(std::uint64_t token, std::uint32_t events) override;
    void on_event(std::uint64_t token) override;

  private:
    struct Stream {
        net::Fd fd;
        StreamListener* owner = nullptr;
        Machine here = 0, node = 0;
        std::uint8_t side = 0;  // ours
        bool up = false, over = false, sent_end = false;
        bool ends_when_healed = false;
        int failed = 0;  // errno not yet handed out
        Ticks last_receive_time = 0;
    };
    // Listening socket for one machine's port, as one node reaches it.
    struct ProxyListener {
        std::uint64_t key;
        Machine node, machine;
        net::Fd fd;
        std::vector<net::Fd> fillers;  // connections that keep the queue full while it is cut off
    };
    struct Listener {
        StreamListener* listener = nullptr;
        Address at;
        std::size_t backlog = 0;
        std::vector<std::uint32_t> doors;
        std::deque<End> waiting;
    };
    struct Delivery {
        EventTarget* target;
        std::uint64_t token;
    };
    static std::uint64_t key(const Address& at) {
        return std::uint64_t{at.socket_address.sin_addr.s_addr} << 16 | at.socket_address.sin_port;
    }
    static std::uint64_t path(Machine a, Machine b) {
        return std::uint64_t{std::min(a, b)} << 32 | std::max(a, b);
    }
    bool passes(Machine a, Machine b) const {
        return cut_.count(a) == 0 && cut_.count(b) == 0 && cut_paths_.count(path(a, b)) == 0;
    }
    bool passes(const Stream& s) const { return passes(s.here, s.node); }
    void open_listener(Listener& listener, Machine node, const Address& at, Machine machine);
    void block(ProxyListener& proxy, bool on);
    void recheck();
    void accept_waiting(std::uint32_t proxy);
    void drop(End end, bool with_reset);
    void notify_owner(std::uint32_t stream);

    EventQueue& events_;
    Poller& poller_;
    const AddressPlan& addresses_;
    net::Kernel kernel_;
    Machine machines_ = 0;
    std::deque<Stream> streams_;
    std::deque<ProxyListener> proxy_listeners_;
    std::unordered_map<std::uint64_t, Listener> listeners_;
    std::set<Machine> cut_;
    std::set<std::uint64_t> cut_paths_;
    std::unordered_map<std::uint32_t, std::vector<Delivery>> undelivered_;  // by stream
    std::uint64_t connections_of_nodes_ = 0;
};

}  // namespace lemonstair::process_harness
