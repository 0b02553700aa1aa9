#include "net/loop.h"

#include <algorithm>
#include <cerrno>
#include <system_error>

namespace lemonstair::net {

namespace {

// Tenths of a ms.
constexpr Ticks max_wait = 10000, pause_after_failure = 10;

}  // namespace

std::uint32_t EventLoop::add(int fd, short events, EventHandler& handler, std::uint64_t token,
                             EventPriority priority) {
    if (free_slots_.empty()) {
        free_slots_.push_back(static_cast<std::uint32_t>(polled_.size()));
        polled_.push_back({-1, 0, 0});
        slots_.emplace_back();
    }
    const std::uint32_t slot = free_slots_.back();
    free_slots_.pop_back();
    polled_[slot] = {fd, events, 0};
    slots_[slot].handler = &handler;
    slots_[slot].token = token;
    slots_[slot].priority = priority;
    return slot;
}

void EventLoop::remove(std::uint32_t slot) {
    polled_[slot] = {-1, 0, 0};  // poll ignores negative descriptors
    slots_[slot].handler = nullptr;
    ++slots_[slot].generation;
    free_slots_.push_back(slot);
}

void EventLoop::wait() {
    update_time();
    Ticks timeout = max_wait;
    if (!timers_.empty()) timeout = std::clamp<Ticks>(timers_.top().deadline - now_, 0, timeout);
    ready_first_.clear();
    ready_.clear();
    const int ready_count = system_.poll(polled_, timeout);
    if (ready_count < 0) handle_poll_error(errno);
    for (std::uint32_t slot = 0, left = ready_count > 0 ? static_cast<std::uint32_t>(ready_count) : 0;
         left > 0 && slot < polled_.size(); ++slot) {
        if (polled_[slot].revents == 0) continue;
        // The end of a connection that a handler waits for is handled before other events of the same pass.
        const bool connection_ended = (polled_[slot].events & POLLRDHUP) != 0 &&
                                      (polled_[slot].revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
        (slots_[slot].priority == EventPriority::first || connection_ended ? ready_first_ : ready_)
            .push_back({slot, slots_[slot].generation, polled_[slot].revents});
        // poll reports a connection that is closed in both directions even if no events are requested, and
        // the handler may not read it yet because it waits for buffer space elsewhere. To keep the loop from
        // spinning, the descriptor is disabled by its complement until set_events() requests events again.
        if (polled_[slot].events == 0 && polled_[slot].revents == POLLHUP)
            polled_[slot].fd = ~polled_[slot].fd;
        --left;
    }
}

// A temporary lack of memory must not end a process with open tunnels. Timers continue to run, and a short
// pause keeps the loop from spinning.
void EventLoop::handle_poll_error(int error) {
    if (error == EINTR) return;
    if (error != ENOMEM && error != EAGAIN) throw std::system_error(error, std::generic_category(), "poll");
    static_cast<void>(system_.poll({}, pause_after_failure));
}

void Socket::reset() {
    if (!open()) return;
    loop_->system().reset_on_close(fd_.get());
    close();
}

}  // namespace lemonstair::net
