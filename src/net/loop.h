/// The event loop polls descriptors and runs timers in one thread. Each descriptor has a numbered slot. The
/// slot's generation changes with each use, so that an event never reaches a handler that took the slot later
/// in the same pass.
#pragma once

#include <poll.h>

#include <cstdint>
#include <queue>
#include <utility>
#include <vector>

#include "net/system.h"

namespace lemonstair::net {

/// Handles events of descriptors and timers; the token is the one given when it was registered.
class EventHandler {
  public:
    EventHandler() = default;
    EventHandler(const EventHandler&) = delete;
    EventHandler& operator=(const EventHandler&) = delete;
    virtual ~EventHandler() = default;
    virtual void on_ready(std::uint64_t token, short events) = 0;
    virtual void on_timer(std::uint64_t token) = 0;
};

/// `first`: handled before the others in each pass, for descriptors that need a quick response under any
/// load. The end of a connection whose handler requested POLLRDHUP is handled first as well.
enum class EventPriority : std::uint8_t { normal, first };

class EventLoop {
  public:
    explicit EventLoop(System& system) : system_(system) {}
    System& system() const { return system_; }
    // The time that was read when the current handler was called, or by refresh() since.
    Ticks now() const { return now_; }
    Ticks refresh() {
        update_time();
        return now_;
    }
    // Registers a descriptor for poll events and returns its slot.
    std::uint32_t add(int fd, short events, EventHandler& handler, std::uint64_t token,
                      EventPriority priority = EventPriority::normal);
    void set_events(std::uint32_t slot, short events) {
        polled_[slot].events = events;
        if (events != 0 && polled_[slot].fd < 0) polled_[slot].fd = ~polled_[slot].fd;
    }
    void remove(std::uint32_t slot);
    // Calls on_timer(token) at `deadline` or soon after. A timer cannot be cancelled: the handler decides by
    // the token whether the timer still applies.
    void schedule(Ticks deadline, EventHandler& handler, std::uint64_t token) {
        timers_.push({deadline, next_order_++, &handler, token});
    }
    std::size_t timers() const { return timers_.size(); }
    // Descriptors that are registered or reserved.
    std::size_t descriptors() const { return in_use() + reserved_; }
    // Registered descriptors.
    std::size_t in_use() const { return polled_.size() - free_slots_.size(); }
    // Counts this many descriptors as held, in place of those reserved before.
    void reserve_descriptors(std::size_t descriptors) { reserved_ = descriptors; }
    // One pass: waits for events, then calls each handler whose descriptor is ready or whose timer is due,
    // and `after` when the handler returns.
    template <class After>
    void run_once(After&& after) {
        wait();
        for (const auto* events : {&ready_first_, &ready_})
            for (const auto& event : *events) {
                if (slots_[event.slot].generation != event.generation ||
                    slots_[event.slot].handler == nullptr)
                    continue;
                update_time();
                slots_[event.slot].handler->on_ready(slots_[event.slot].token, event.events);
                after();
            }
        update_time();
        while (!timers_.empty() && timers_.top().deadline <= now_) {
            const Timer timer = timers_.top();
            timers_.pop();
            timer.handler->on_timer(timer.token);
            after();
            update_time();
        }
    }

  private:
    struct Slot {
        EventHandler* handler = nullptr;
        std::uint64_t token = 0;
        std::uint32_t generation = 0;
        EventPriority priority = EventPriority::normal;
    };
    struct Event {
        std::uint32_t slot, generation;
        short events;
    };
    struct Timer {
        Ticks deadline;
        std::uint64_t order;
        EventHandler* handler;
        std::uint64_t token;
        bool operator<(const Timer& other) const {
            return deadline != other.deadline ? deadline > other.deadline : order > other.order;
        }
    };
    void wait();
    void handle_poll_error(int error);
    void update_time() { now_ = system_.now(); }

    System& system_;
    Ticks now_ = system_.now();
    std::vector<pollfd> polled_;
    std::vector<Slot> slots_;
    std::vector<std::uint32_t> free_slots_;
    std::vector<Event> ready_first_, ready_;
    std::size_t reserved_ = 0;
    std::priority_queue<Timer> timers_;
    std::uint64_t next_order_ = 0;
};

/// A descriptor registered in an event loop. The destructor unregisters and closes it; the loop must outlive
/// it.
class Socket {
  public:
    Socket() = default;
    Socket(EventLoop& loop, Fd fd, short events, EventHandler& handler, std::uint64_t token,
           EventPriority priority = EventPriority::normal)
        : loop_(&loop),
          fd_(std::move(fd)),
          slot_(loop.add(fd_.get(), events, handler, token, priority)),
          events_(events) {}
    Socket(Socket&& other) noexcept
        : loop_(other.loop_), fd_(std::move(other.fd_)), slot_(other.slot_), events_(other.events_) {}
    Socket& operator=(Socket&& other) noexcept {
        if (this != &other) {
            close();
            loop_ = other.loop_;
            slot_ = other.slot_;
            events_ = other.events_;
            fd_ = std::move(other.fd_);
        }
        return *this;
    }
    ~Socket() { close(); }
    void close() {
        if (!open()) return;
        loop_->remove(slot_);
        fd_.close();
    }
    // Closes the connection so that the peer sees a reset.
    void reset();
    void set_events(short events) {
        if (!open() || events == events_) return;
        events_ = events;
        loop_->set_events(slot_, events);
    }
    IoResult read(std::span<char> into) const { return loop_->system().read_some(fd_.get(), into); }
    IoResult peek(std::span<char> into) const { return loop_->system().peek(fd_.get(), into); }
    IoResult discard() const { return loop_->system().discard_some(fd_.get()); }
    IoResult write(std::string_view text) const { return loop_->system().write_some(fd_.get(), text); }
    // The result of an asynchronous connect, as an errno; 0: connected.
    int connect_error() const { return loop_->system().connect_error(fd_.get()); }
    bool peer_closed() const { return loop_->system().peer_closed(fd_.get()); }
    void shutdown_write() const { loop_->system().shutdown_write(fd_.get()); }
    Fd accept() const { return loop_->system().accept(fd_.get()); }
    bool open() const { return fd_.open(); }
    int fd() const { return fd_.get(); }

  private:
    EventLoop* loop_ = nullptr;
    Fd fd_;
    std::uint32_t slot_ = 0;
    short events_ = 0;
};

}  // namespace lemonstair::net
