// Buffers of one size, reused through a pool. A buffer is a queue of bytes, appended at the end and taken
// from the front; a default-constructed one holds no memory.
#pragma once

#include <array>
#include <cstddef>
#include <cstring>
#include <memory>
#include <string_view>
#include <utility>
#include <vector>

namespace lemonstair::net {

// A line of 4 KiB, its line end, and the digits by which a rewritten line may grow.
constexpr std::size_t buffer_bytes = 4096 + 64;

class BufferPool;

class Buffer {
  public:
    Buffer() = default;
    Buffer(Buffer&& other) noexcept { swap(other); }
    Buffer& operator=(Buffer&& other) noexcept {
        if (this != &other) {
            release();
            swap(other);
        }
        return *this;
    }
    ~Buffer() { release(); }
    inline void release();
    bool is_allocated() const { return bytes_ != nullptr; }
    bool empty() const { return begin_ == end_; }
    std::string_view view() const {
        return is_allocated() ? std::string_view(bytes_->data() + begin_, end_ - begin_) : std::string_view{};
    }
    void consume(std::size_t n) { begin_ += n; }
    // The free space at the end, after moving the contents to the front.
    std::pair<char*, std::size_t> free_space() {
        if (begin_ > 0) {
            std::memmove(bytes_->data(), bytes_->data() + begin_, end_ - begin_);
            end_ -= begin_;
            begin_ = 0;
        }
        return {bytes_->data() + end_, bytes_->size() - end_};
    }
    void commit(std::size_t n) { end_ += n; }
    void remove_suffix(std::size_t n) { end_ -= n; }
    bool append(std::string_view text) {
        const auto [at, left] = free_space();
        if (text.empty()) return true;
        if (text.size() > left) return false;
        std::memcpy(at, text.data(), text.size());
        end_ += text.size();
        return true;
    }

  private:
    friend class BufferPool;
    using Bytes = std::array<char, buffer_bytes>;
    void swap(Buffer& other) {
        std::swap(pool_, other.pool_);
        std::swap(bytes_, other.bytes_);
        std::swap(begin_, other.begin_);
        std::swap(end_, other.end_);
    }
    BufferPool* pool_ = nullptr;
    std::unique_ptr<Bytes> bytes_;
    std::size_t begin_ = 0, end_ = 0;
};

class BufferPool {
  public:
    // Keeps at most `max_free` unused buffers; the others are freed after a burst.
    explicit BufferPool(std::size_t max_free = 256) : max_free_(max_free) { free_.reserve(max_free); }
    BufferPool(const BufferPool&) = delete;
    BufferPool& operator=(const BufferPool&) = delete;
    ~BufferPool() = default;
    Buffer acquire() {
        Buffer b;
        b.pool_ = this;
        if (free_.empty()) {
            b.bytes_ = std::make_unique_for_overwrite<Buffer::Bytes>();
        } else {
            b.bytes_ = std::move(free_.back());
            free_.pop_back();
        }
        ++in_use_;
        return b;
    }
    // Buffers in use.
    std::size_t in_use() const { return in_use_; }

  private:
    friend class Buffer;
    void put(std::unique_ptr<Buffer::Bytes> bytes) {
        --in_use_;
        if (free_.size() < max_free_) free_.push_back(std::move(bytes));
    }
    std::size_t max_free_;
    std::vector<std::unique_ptr<Buffer::Bytes>> free_;
    std::size_t in_use_ = 0;
};

inline void Buffer::release() {
    if (is_allocated()) pool_->put(std::move(bytes_));
    begin_ = end_ = 0;
}

}  // namespace lemonstair::net
