/// Fd owns a file descriptor and closes it through the System that opened it.
#pragma once

#include <utility>

namespace lemonstair::net {

class System;

class Fd {
  public:
    Fd() = default;
    // `owner` closes the descriptor; without an owner close(2) does.
    explicit Fd(int fd, System* owner = nullptr) : fd_(fd), owner_(owner) {}
    Fd(Fd&& other) noexcept : fd_(std::exchange(other.fd_, -1)), owner_(other.owner_) {}
    Fd& operator=(Fd&& other) noexcept {
        if (this != &other) {
            close();
            fd_ = std::exchange(other.fd_, -1);
            owner_ = other.owner_;
        }
        return *this;
    }
    ~Fd() { close(); }
    void close() {
        if (fd_ >= 0) close_descriptor(std::exchange(fd_, -1));
    }
    // Gives up ownership and returns the descriptor.
    int release() { return std::exchange(fd_, -1); }
    int get() const { return fd_; }
    bool open() const { return fd_ >= 0; }

  private:
    void close_descriptor(int fd) const;
    int fd_ = -1;
    System* owner_ = nullptr;
};

}  // namespace lemonstair::net
