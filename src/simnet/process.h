// Process on a simulated machine: the net::System that a node runs on, with a simulated network and event
// queue.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "net/system.h"
#include "simnet/local_socket.h"
#include "simnet/network.h"

namespace lemonstair::simnet {

// One thread runs many nodes: poll() never blocks, but returns at once as if interrupted. The next pass of
// the event loop is run when a descriptor is ready or when the timeout of poll() is over. Each pass takes a
// little simulated time.
class Process final : public net::System,
                      public StreamListener,
                      public EventTarget,
                      public LocalSocketListener {
  public:
    struct Traits {
        Ticks clock_ahead = 0;           // how far its clock is ahead of that of the event queue
        Ticks loop_pass_time = 1;        // simulated time that a pass takes; at least 1
        std::size_t descriptors = 1024;  // limit of open descriptors
    };
    Process(EventQueue& events, Network& network, Machine machine, const Traits& traits)
        : events_(events), network_(network), machine_(machine), traits_(traits) {}
    ~Process() override;

    // One pass of the event loop; it is called again until it returns false. Then the process dies.
    using Pass = std::function<bool()>;
    void start(Pass pass);
    bool runs() const { return static_cast<bool>(pass_); }
    Machine machine() const { return machine_; }

    // ---- faults
    void signal(int number);
    // No pass of the event loop begins for this long.
    void stall(Ticks span);
    // on: from now on the system has no free descriptors other than those that this process closes.
    void exhaust_descriptors(bool on) { descriptor_limit_now_ = on ? held_ : traits_.descriptors; }
    // Contents of the files that it can read, by path.
    std::map<std::string, std::string>& files() { return files_; }
    // What the platform provides before the process runs: the local packet sockets of the machine, and a
    // listening socket. inherit() returns the descriptor of the socket.
    void attach_local_sockets(LocalSockets& local_sockets) { local_sockets_ = &local_sockets; }
    int inherit(SharedListener& listener);
    // The process dies: its connections are reset, except those that another process holds too or that the
    // machine has lost already.
    void die();

    // ---- for the invariants
    // Open descriptors now, and the most so far; the three standard descriptors are counted.
    std::size_t held() const { return held_; }
    std::size_t max_held() const { return max_held_; }
    // The largest number of consecutive passes with a ready descriptor that did nothing about it.
    std::size_t longest_spin() const { return longest_spin_; }
    std::uint64_t passes() const { return passes_; }
    // Calls each(end) for every stream end that the process holds.
    template <class Each>
    void each_end(Each&& each) const {
        for (std::size_t fd = 0; fd < slots_.size(); ++fd)
            if (slots_[fd].use == Use::stream) each(slots_[fd].end);
    }

    // ---- net::System
    Ticks now() override { return events_.now() + traits_.clock_ahead; }
    Ticks clock_base() override { return traits_.clock_ahead; }
    std::uint64_t processor_us() override { return 0; }
    int poll(std::span<pollfd> descriptors, Ticks timeout) override;
    void close(int fd) override;
    std::size_t descriptor_limit(std::size_t requested) override {
        return std::min(requested, traits_.descriptors);
    }
    net::Fd listen_on(const Address& at) override;
    void defer_accept(int) override {}  // as on a system without this option
    net::Fd bind_datagrams(const Address& at) override;
    net::Fd connect_to(const Address& to) override;
    net::Fd accept(int listener) override;
    net::Fd open_spare() override;
    int connect_error(int fd) override;
    bool peer_closed(int fd) override { return ready_events({fd, POLLRDHUP, 0}) != 0; }
    net::IoResult read_some(int fd, std::span<char> into) override;
    net::IoResult peek(int fd, std::span<char> into) override;
    net::IoResult discard_some(int fd) override;
    net::IoResult write_some(int fd, std::string_view text) override;
    void shutdown_write(int fd) override;
    void reset_on_close(int fd) override;
    std::ptrdiff_t send_to(int fd, const Address& to, std::span<const std::uint8_t> bytes) override;
    std::ptrdiff_t receive(int fd, Address& from, std::span<std::uint8_t> into) override;
    net::Fd inherited_listener(int fd) override;
    net::Fd listen_local(const std::string& name) override;
    net::Fd connect_local(const std::string& name) override;
    net::Fd accept_local(int listener) override;
    net::IoResult send_packet(int fd, std::string_view bytes, std::span<const int> descriptors) override;
    net::IoResult receive_packet(int fd, std::span<char> into, std::vector<net::Fd>& descriptors) override;
    net::Fd signals() override;
    int next_signal(int fd) override;
    const char* read_file(const std::string& path, std::size_t max_bytes, std::string& into) override;

    // ---- StreamListener, LocalSocketListener, EventTarget
    void on_stream_event(End) override { wake(); }
    void on_connection(const Address&) override { wake(); }
    void on_local_event() override { wake(); }
    void on_datagram(const Address& at, const Address& from, std::span<const std::uint8_t> bytes) override;
    void on_event(std::uint64_t token) override;

  private:
    enum class Use : std::uint8_t {
        free,
        stream,
        listener,
        shared,
        local_listener,
        local_connection,
        datagrams,
        signals,
        spare
    };
    struct Slot {
        Use use = Use::free;
        bool resets = false;
        int side = 0;                  // of a local connection: 0 if this process connected, 1 if it accepted
        std::uint32_t connection = 0;  // of a local connection: its number
        std::string name;
        End end;
        Address at;
        std::deque<std::pair<Address, std::vector<std::uint8_t>>> datagrams;  // received, not read
    };
    net::Fd local_connection(std::uint32_t connection, int side);
    int take(Use use);  // the lowest free descriptor; -1 with errno set if there is none
    Slot& slot(int fd) { return slots_[static_cast<std::size_t>(fd)]; }
    short ready_events(const pollfd& polled) const;
    void wake() { run_at(events_.now()); }
    void run_at(Ticks when);
    net::IoResult count_effect(net::IoResult result) {
        if (result.bytes > 0 || result.error != 0) ++effects_;
        return result;
    }

    EventQueue& events_;
    Network& network_;
    Machine machine_;
    Traits traits_;
    Pass pass_;
    std::vector<Slot> slots_;
    LocalSockets* local_sockets_ = nullptr;
    SharedListener* shared_ = nullptr;
    std::deque<int> signals_;
    std::map<std::string, std::string> files_;
    bool running_ = false, dead_ = false;
    std::size_t held_ = 3, max_held_ = 3;  // the three standard descriptors are counted
    std::size_t descriptor_limit_now_ = traits_.descriptors;
    std::uint64_t next_run_ = 0;  // token of the pass that is scheduled; 0: none
    std::uint64_t runs_ = 0, passes_ = 0;
    Ticks run_due_ = 0, busy_until_ = 0, sleeps_until_ = 0;
    int ready_count_ = 0;  // descriptors that the last poll() found ready
    // Calls of the current pass that changed something, and consecutive passes that should have and did not.
    std::size_t effects_ = 0, spin_ = 0, longest_spin_ = 0;
};

}  // namespace lemonstair::simnet
