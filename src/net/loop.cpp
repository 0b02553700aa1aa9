#include "net/loop.h"

#include <algorithm>
#include <cerrno>
#include <system_error>

namespace lemonstair::net {

namespace {

constexpr Ticks rest_after_failure = 10;

}  // namespace

std::uint32_t EventLoop::add(int fd, short events, EventHandler& handler, std::uint64_t token,
                             EventPriority turn) {
    if (free_.empty()) {
        free_.push_back(static_cast<std::uint32_t>(polled_.size()));
        polled_.push_back({-1, 0, 0});
        uses_.emplace_back();
    }
    const std::uint32_t slot = free_.back();
    free_.pop_back();
    polled_[slot] = {fd, events, 0};
    uses_[slot].handler = &handler;
    uses_[slot].token = token;
    uses_[slot].turn = turn;
    return slot;
}

void EventLoop::remove(std::uint32_t slot) {
    polled_[slot] = {-1, 0, 0};  // poll passes over a negative descriptor
    uses_[slot].handler = nullptr;
    ++uses_[slot].serial;
    free_.push_back(slot);
}

void EventLoop::wait() {
    tick();
    Ticks span = 10000;
    if (!timers_.empty()) span = std::clamp<Ticks>(timers_.top().at - now_, 0, span);
    first_.clear();
    happened_.clear();
    const int n = system_.poll(polled_, span);
    if (n < 0) poll_failed(errno);
    for (std::uint32_t slot = 0, left = n > 0 ? static_cast<std::uint32_t>(n) : 0;
         left > 0 && slot < polled_.size(); ++slot) {
        if (polled_[slot].revents == 0) continue;
        // Who waits to hear of an end hears it before what came at the same time from elsewhere is acted on.
        const bool end = (polled_[slot].events & POLLRDHUP) != 0 &&
                         (polled_[slot].revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
        (uses_[slot].turn == EventPriority::first || end ? first_ : happened_)
            .push_back({slot, uses_[slot].serial, polled_[slot].revents});
        // Guards against spinning: poll tells of a connection that is over both ways whatever is asked of it,
        // and its reader may wait for room elsewhere. It is told once, and again when something is wanted of
        // it.
        if (polled_[slot].events == 0 && polled_[slot].revents == POLLHUP)
            polled_[slot].fd = ~polled_[slot].fd;
        --left;
    }
}

// Guards against an end of the process, with tunnels open, for want of memory that is over in a moment.
// Timers go on meanwhile, and a short rest keeps the loop from spinning.
void EventLoop::poll_failed(int error) {
    if (error == EINTR) return;
    if (error != ENOMEM && error != EAGAIN) throw std::system_error(error, std::generic_category(), "poll");
    static_cast<void>(system_.poll({}, rest_after_failure));
}

void Socket::reset() {
    if (!open()) return;
    loop_->system().reset_on_close(fd_.get());
    close();
}

}  // namespace lemonstair::net
