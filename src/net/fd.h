// Fd: owns one descriptor and closes it.
#pragma once

#include <unistd.h>

#include <utility>

namespace lemonstair::net {

class Fd {
  public:
    Fd() = default;
    explicit Fd(int fd) : fd_(fd) {}
    Fd(Fd&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
    Fd& operator=(Fd&& other) noexcept {
        if (this != &other) {
            close();
            fd_ = std::exchange(other.fd_, -1);
        }
        return *this;
    }
    ~Fd() { close(); }
    void close() {
        if (fd_ >= 0) ::close(std::exchange(fd_, -1));
    }
    int get() const { return fd_; }
    bool open() const { return fd_ >= 0; }

  private:
    int fd_ = -1;
};

}  // namespace lemonstair::net
