// The poll loop: which descriptors are waited for, and timers. A descriptor has a numbered slot; a slot's
// serial tells one use of it from the next, so an event of this pass never reaches who took the slot in it.
#pragma once

#include <poll.h>

#include <cstdint>
#include <queue>
#include <utility>
#include <vector>

#include "net/system.h"

namespace lemonstair::net {

// Who waits for a descriptor or a timer; the token is what it gave when it asked.
class EventHandler {
  public:
    EventHandler() = default;
    EventHandler(const EventHandler&) = delete;
    EventHandler& operator=(const EventHandler&) = delete;
    virtual ~EventHandler() = default;
    virtual void on_ready(std::uint64_t token, short events) = 0;
    virtual void on_timer(std::uint64_t token) = 0;
};

// Whose events go first in a pass: what must be answered soon whatever the rest brings. The end of a
// connection that was waited for with POLLRDHUP goes first too.
enum class EventPriority : std::uint8_t { usual, first };

class EventLoop {
  public:
    explicit EventLoop(System& system) : system_(system) {}
    System& system() const { return system_; }
    Ticks now() const { return now_; }
    // The time of just now, for what must not rely on when this pass began.
    Ticks refresh() {
        tick();
        return now_;
    }
    std::uint32_t add(int fd, short events, EventHandler& handler, std::uint64_t token,
                      EventPriority turn = EventPriority::usual);
    void set_events(std::uint32_t slot, short events) {
        polled_[slot].events = events;
        if (events != 0 && polled_[slot].fd < 0) polled_[slot].fd = ~polled_[slot].fd;
    }
    void remove(std::uint32_t slot);
    // There is no way to unset a timer: its handler tells by the token whether it still counts.
    void schedule(Ticks when, EventHandler& handler, std::uint64_t token) {
        timers_.push({when, order_++, &handler, token});
    }
    std::size_t timers() const { return timers_.size(); }
    // In the loop, and beside those held back for a purpose.
    std::size_t descriptors() const { return in_use() + set_aside_; }
    std::size_t in_use() const { return polled_.size() - free_.size(); }
    void set_aside(std::size_t descriptors) { set_aside_ = descriptors; }
    // One pass: waits, then calls each handler whose descriptor is ready or whose timer is due, and `after`
    // when it returns.
    template <class After>
    void run_once(After&& after) {
        wait();
        for (const auto* events : {&first_, &happened_})
            for (const auto& event : *events) {
                if (uses_[event.slot].serial != event.serial || uses_[event.slot].handler == nullptr)
                    continue;
                tick();
                uses_[event.slot].handler->on_ready(uses_[event.slot].token, event.events);
                after();
            }
        tick();
        while (!timers_.empty() && timers_.top().at <= now_) {
            const Timer timer = timers_.top();
            timers_.pop();
            timer.handler->on_timer(timer.token);
            after();
            tick();
        }
    }

  private:
    struct Use {
        EventHandler* handler = nullptr;
        std::uint64_t token = 0;
        std::uint32_t serial = 0;
        EventPriority turn = EventPriority::usual;
    };
    struct Event {
        std::uint32_t slot, serial;
        short events;
    };
    struct Timer {
        Ticks at;
        std::uint64_t order;
        EventHandler* handler;
        std::uint64_t token;
        bool operator<(const Timer& other) const {
            return at != other.at ? at > other.at : order > other.order;
        }
    };
    void wait();
    void poll_failed(int error);
    void tick() { now_ = system_.now(); }

    System& system_;
    Ticks now_ = system_.now();
    std::vector<pollfd> polled_;
    std::vector<Use> uses_;
    std::vector<std::uint32_t> free_;
    std::vector<Event> first_, happened_;
    std::size_t set_aside_ = 0;
    std::priority_queue<Timer> timers_;
    std::uint64_t order_ = 0;
};

// A descriptor in the loop: leaves the loop and closes when it goes.
class Socket {
  public:
    Socket() = default;
    Socket(EventLoop& loop, Fd fd, short events, EventHandler& handler, std::uint64_t token,
           EventPriority turn = EventPriority::usual)
        : loop_(&loop),
          fd_(std::move(fd)),
          slot_(loop.add(fd_.get(), events, handler, token, turn)),
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
    // The other side sees a reset.
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
    // What became of a connection under way, as an errno; 0: it is up.
    int connected() const { return loop_->system().connected(fd_.get()); }
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
