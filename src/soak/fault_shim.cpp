// Fault shim: a library that the soak loads into each process (LD_PRELOAD). It stands between the process and
// the C library for the clock, files and sockets, and lets calls fail as their manual pages say they may, a
// little at a time, from a seed. Nothing of it is linked into the program.
#include <dlfcn.h>
#include <fcntl.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <time.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <cerrno>
#include <cstdarg>
#include <cstdlib>
#include <mutex>

#include "soak/fault_plan.h"

namespace {

using lemonstair::soak::FaultPlan;

constexpr long ns_per_ms = 1000000, ms_per_s = 1000;

template <class Function>
Function real(const char* name) {
    return reinterpret_cast<Function>(::dlsym(RTLD_NEXT, name));
}

int real_clock(clockid_t which, timespec* into) {
    static const auto call = real<int (*)(clockid_t, timespec*)>("clock_gettime");
    return call(which, into);
}

std::int64_t monotonic_ms() {
    timespec now{};
    real_clock(CLOCK_MONOTONIC, &now);
    return now.tv_sec * ms_per_s + now.tv_nsec / ns_per_ms;
}

class Shim {
  public:
    Shim() : started_(monotonic_ms()) {
        const char* text = std::getenv(lemonstair::soak::plan_variable);
        plan_ = lemonstair::soak::read_plan(text != nullptr ? text : "");
        state_ = plan_.seed * 0x9e3779b97f4a7c15U + 1;
        next_hold_ = draw_below(plan_.hold_every_ms * 2);
    }
    const FaultPlan& plan() const { return plan_; }
    std::int64_t age_ms() const { return monotonic_ms() - started_; }
    // Whether this call fails.
    bool strikes(double odds) {
        if (odds <= 0) return false;
        const std::int64_t age = age_ms();
        return age >= plan_.calls_from_ms && age < plan_.calls_until_ms && unit() < odds;
    }
    bool shortens() { return plan_.short_io > 0 && unit() < plan_.short_io; }
    std::size_t some_of(std::size_t whole) {
        return whole < 2 ? whole
                         : 1 + static_cast<std::size_t>(draw_below(static_cast<std::int64_t>(whole) - 1));
    }
    template <std::size_t n>
    int fail(const std::array<int, n>& errors) {
        errno = errors[static_cast<std::size_t>(draw_below(n))];
        return -1;
    }
    std::int64_t wall_shift_ms() const {
        const bool stepped = plan_.wall_step_after_ms > 0 && age_ms() >= plan_.wall_step_after_ms;
        return plan_.wall_offset_ms + (stepped ? plan_.wall_step_ms : 0);
    }
    void hold_up() {
        if (plan_.hold_every_ms <= 0 || age_ms() < next_hold_) return;
        next_hold_ = age_ms() + draw_below(plan_.hold_every_ms * 2);
        const std::int64_t span = draw_below(plan_.hold_ms);
        const timespec pause{0, span * ns_per_ms};
        ::nanosleep(&pause, nullptr);
    }

  private:
    std::uint64_t bits() {
        state_ ^= state_ << 13;
        state_ ^= state_ >> 7;
        state_ ^= state_ << 17;
        return state_;
    }
    double unit() { return static_cast<double>(bits() >> 11) * 0x1.0p-53; }
    std::int64_t draw_below(std::int64_t limit) {
        return limit <= 0 ? 0 : static_cast<std::int64_t>(bits() % static_cast<std::uint64_t>(limit));
    }
    FaultPlan plan_;
    std::int64_t started_, next_hold_ = 0;
    std::uint64_t state_ = 1;
};

Shim& shim() {
    static Shim one;
    return one;
}

bool is_file(int fd) {
    struct stat is {};
    return ::fstat(fd, &is) == 0 && S_ISREG(is.st_mode);
}

}  // namespace

extern "C" {

int clock_gettime(clockid_t which, timespec* into) {
    const int result = real_clock(which, into);
    if (result != 0) return result;
    if (which == CLOCK_REALTIME) {
        const std::int64_t shift = shim().wall_shift_ms();
        into->tv_sec += shift / ms_per_s;
    }
    if (which == CLOCK_MONOTONIC) shim().hold_up();
    return result;
}

int accept4(int fd, sockaddr* at, socklen_t* size, int flags) {
    static const auto call = real<int (*)(int, sockaddr*, socklen_t*, int)>("accept4");
    if (shim().strikes(shim().plan().accept))
        return shim().fail(std::array{ECONNABORTED, EINTR, ENFILE, ENOBUFS, ENOMEM, EPROTO});
    return call(fd, at, size, flags);
}

int socket(int domain, int type, int protocol) {
    static const auto call = real<int (*)(int, int, int)>("socket");
    if (shim().strikes(shim().plan().socket)) return shim().fail(std::array{ENFILE, ENOBUFS, ENOMEM});
    return call(domain, type, protocol);
}

int connect(int fd, const sockaddr* to, socklen_t size) {
    static const auto call = real<int (*)(int, const sockaddr*, socklen_t)>("connect");
    if (!shim().strikes(shim().plan().connect)) return call(fd, to, size);
    const int result = shim().fail(std::array{EADDRNOTAVAIL, ENETUNREACH, EAGAIN, EINTR});
    if (errno != EINTR) return result;
    call(fd, to, size);  // an interrupted connect goes on by itself
    errno = EINTR;
    return -1;
}

int poll(pollfd* set, nfds_t count, int timeout) {
    static const auto call = real<int (*)(pollfd*, nfds_t, int)>("poll");
    if (shim().strikes(shim().plan().poll)) return shim().fail(std::array{EINTR, ENOMEM});
    return call(set, count, timeout);
}

ssize_t send(int fd, const void* bytes, size_t size, int flags) {
    static const auto call = real<ssize_t (*)(int, const void*, size_t, int)>("send");
    if (shim().strikes(shim().plan().send)) return shim().fail(std::array{EINTR, ENOBUFS, ENOMEM});
    return call(fd, bytes, shim().shortens() ? shim().some_of(size) : size, flags);
}

ssize_t recv(int fd, void* bytes, size_t size, int flags) {
    static const auto call = real<ssize_t (*)(int, void*, size_t, int)>("recv");
    if (shim().strikes(shim().plan().recv)) return shim().fail(std::array{EINTR, ENOMEM});
    const bool plain = (flags & (MSG_PEEK | MSG_TRUNC)) == 0;
    return call(fd, bytes, plain && shim().shortens() ? shim().some_of(size) : size, flags);
}

int open(const char* path, int flags, ...) {
    static const auto call = real<int (*)(const char*, int, mode_t)>("open");
    va_list more;
    va_start(more, flags);
    const mode_t mode = (flags & O_CREAT) != 0 ? va_arg(more, mode_t) : 0;
    va_end(more);
    if (shim().strikes(shim().plan().file)) return shim().fail(std::array{ENFILE, EMFILE, EINTR, EIO});
    return call(path, flags, mode);
}

ssize_t read(int fd, void* bytes, size_t size) {
    static const auto call = real<ssize_t (*)(int, void*, size_t)>("read");
    if (shim().plan().file > 0 && is_file(fd) && shim().strikes(shim().plan().file))
        return shim().fail(std::array{EIO, EINTR});
    return call(fd, bytes, size);
}

}  // extern "C"
