/// Buffers of one size, reused through a pool. A buffer is a queue of bytes: they are appended at the end and
/// consumed from the front.
#pragma once

#include <array>
#include <cstddef>
#include <cstring>
#include <memory>
#include <string_view>
#include <utility>
#include <vector>

namespace lemonstair::net {

/// Room for a line of 4 KiB, its line end, and the digits that may be added when the line is rewritten.
constexpr std::size_t buffer_bytes = 4096 + 64;

class BufferPool;

/// Holds no memory when default-constructed; BufferPool::acquire() returns one that does. The pool must
/// outlive its buffers.
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
    // Returns the memory to the pool; the buffer is empty afterwards.
    inline void release();
    bool is_allocated() const { return bytes_ != nullptr; }
    bool empty() const { return begin_ == end_; }
    std::string_view view() const {
        return is_allocated() ? std::string_view(bytes_->data() + begin_, end_ - begin_) : std::string_view{};
    }
    // Removes the first `n` bytes; at most as many as view() has.
    void consume(std::size_t n) { begin_ += n; }
    // The free space behind the contents, as address and size; moves the contents to the front first. Call it
    // only on an allocated buffer.
    std::pair<char*, std::size_t> free_space() {
        if (begin_ > 0) {
            std::memmove(bytes_->data(), bytes_->data() + begin_, end_ - begin_);
            end_ -= begin_;
            begin_ = 0;
        }
        return {bytes_->data() + end_, bytes_->size() - end_};
    }
    // Appends the first `n` bytes that were written to free_space().
    void commit(std::size_t n) { end_ += n; }
    void remove_suffix(std::size_t n) { end_ -= n; }
    // Appends nothing and returns false where the text does not fit.
    bool append(std::string_view text) {
        const auto [end, capacity] = free_space();
        if (text.empty()) return true;
        if (text.size() > capacity) return false;
        std::memcpy(end, text.data(), text.size());
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
    // Keeps the memory of at most `max_free` unused buffers, so that what a burst needed is freed after it.
    explicit BufferPool(std::size_t max_free = 256) : max_free_(max_free) { free_.reserve(max_free); }
    BufferPool(const BufferPool&) = delete;
    BufferPool& operator=(const BufferPool&) = delete;
    ~BufferPool() = default;
    Buffer acquire() {
        Buffer buffer;
        buffer.pool_ = this;
        if (free_.empty()) {
            buffer.bytes_ = std::make_unique_for_overwrite<Buffer::Bytes>();
        } else {
            buffer.bytes_ = std::move(free_.back());
            free_.pop_back();
        }
        ++in_use_;
        return buffer;
    }
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
