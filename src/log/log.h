/// The log: lines are written with stream operators, filtered by level and passed to one sink. Logging never
/// blocks: bytes that the sink does not accept wait in a buffer of limited size, and lines that do not fit
/// into it are dropped and counted.
#pragma once

#include <cstdint>
#include <optional>
#include <ostream>
#include <streambuf>
#include <string>
#include <string_view>

namespace lemonstair::log {

enum class Level : std::uint8_t { error, info, debug };

/// The level of this name; nothing for an unknown name.
std::optional<Level> parse_level(std::string_view name);

/// Destination of a log's lines.
class Sink {
  public:
    Sink() = default;
    Sink(const Sink&) = delete;
    Sink& operator=(const Sink&) = delete;
    virtual ~Sink() = default;
    /// Writes as much of the text as is possible without blocking, and returns the number of bytes written.
    virtual std::size_t write(std::string_view text) = 0;
};

/// Writes to a file descriptor, which it does not own. The descriptor is not made non-blocking, because it
/// may be shared with other processes, which this would affect.
class DescriptorSink final : public Sink {
  public:
    explicit DescriptorSink(int fd) : fd_(fd) {}
    std::size_t write(std::string_view text) override;

  private:
    int fd_;
};

/// Stream buffer that collects one line at a time and queues complete lines for the sink.
class LineBuffer final : public std::streambuf {
  public:
    explicit LineBuffer(Sink& sink) : sink_(sink) {}
    /// Queues the current line, or drops it where the queue is full, and writes what the sink accepts.
    void end_line();
    /// Writes as many of the queued bytes as the sink accepts now.
    void flush();

  protected:
    int_type overflow(int_type c) override;
    std::streamsize xsputn(const char* text, std::streamsize n) override;

  private:
    static constexpr std::size_t max_queued_bytes = 1 << 16;
    Sink& sink_;
    std::string line_, queued_;
    std::uint64_t dropped_lines_ = 0;  // since the last line that reported them
};

/// A log that writes lines up to a level. Not thread-safe.
class Log {
  public:
    Log(Level max_level, Sink& sink) : max_level_(max_level), buffer_(sink), out_(&buffer_) {}
    /// A line, which ends when this object is destroyed.
    class Line {
      public:
        /// A null log discards the line.
        explicit Line(Log* log) : log_(log) {}
        Line(const Line&) = delete;
        Line& operator=(const Line&) = delete;
        ~Line() {
            if (log_ != nullptr) log_->buffer_.end_line();
        }
        template <class T>
        Line& operator<<(const T& value) {
            if (log_ != nullptr) log_->out_ << value;
            return *this;
        }

      private:
        Log* log_;
    };
    Line error() { return begin_line(Level::error, "error "); }
    Line info() { return begin_line(Level::info, ""); }
    Line debug() { return begin_line(Level::debug, "debug "); }
    void flush() { buffer_.flush(); }

  private:
    Line begin_line(Level level, std::string_view prefix) {
        if (level > max_level_) return Line(nullptr);
        out_ << prefix;
        return Line(this);
    }
    Level max_level_;
    LineBuffer buffer_;
    std::ostream out_;
};

}  // namespace lemonstair::log
