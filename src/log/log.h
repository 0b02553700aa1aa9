// The log: lines written with iostreams, filtered by level, into one sink. It never blocks: what the sink
// does not take waits in a bounded buffer, and lines that do not fit there are dropped and counted.
#pragma once

#include <cstdint>
#include <optional>
#include <ostream>
#include <streambuf>
#include <string>
#include <string_view>

namespace lemonstair::log {

enum class Level : std::uint8_t { error, info, debug };

// The level of that name; nothing for an unknown name.
std::optional<Level> parse_level(std::string_view name);

// Where a log's lines go.
class Sink {
  public:
    Sink() = default;
    Sink(const Sink&) = delete;
    Sink& operator=(const Sink&) = delete;
    virtual ~Sink() = default;
    // Writes a prefix of the text without blocking; the number of bytes written.
    virtual std::size_t write(std::string_view text) = 0;
};

// A descriptor. It may be shared with other processes, so it is not made non-blocking: that would affect
// them.
class DescriptorSink final : public Sink {
  public:
    explicit DescriptorSink(int fd) : fd_(fd) {}
    std::size_t write(std::string_view text) override;

  private:
    int fd_;
};

// Collects one line at a time and queues complete lines for the sink.
class LineBuffer final : public std::streambuf {
  public:
    explicit LineBuffer(Sink& sink) : sink_(sink) {}
    void end_line();
    void flush();

  protected:
    int_type overflow(int_type c) override;
    std::streamsize xsputn(const char* text, std::streamsize n) override;

  private:
    static constexpr std::size_t max_buffered_bytes = 1 << 16;
    Sink& sink_;
    std::string line_, buffered_;
    std::uint64_t dropped_ = 0;
};

class Log {
  public:
    Log(Level max_level, Sink& sink) : max_level_(max_level), buffer_(sink), out_(&buffer_) {}
    // One line: ends when the object goes out of scope.
    class Line {
      public:
        // Null: the line is filtered out.
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
