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
class Drain {
  public:
    Drain() = default;
    Drain(const Drain&) = delete;
    Drain& operator=(const Drain&) = delete;
    virtual ~Drain() = default;
    // Writes a prefix of the text without blocking; the number of bytes written.
    virtual std::size_t take(std::string_view text) = 0;
};

// A descriptor. It may be shared with other processes, so it is not made non-blocking: that would affect
// them.
class Descriptor final : public Drain {
  public:
    explicit Descriptor(int fd) : fd_(fd) {}
    std::size_t take(std::string_view text) override;

  private:
    int fd_;
};

// Collects one line at a time and queues complete lines for the drain.
class Lines final : public std::streambuf {
  public:
    explicit Lines(Drain& drain) : drain_(drain) {}
    void end_line();
    void write_out();

  protected:
    int_type overflow(int_type c) override;
    std::streamsize xsputn(const char* text, std::streamsize n) override;

  private:
    static constexpr std::size_t max_buffered_bytes = 1 << 16;
    Drain& drain_;
    std::string line_, buffered_;
    std::uint64_t dropped_ = 0;
};

class Log {
  public:
    Log(Level max_level, Drain& drain) : max_level_(max_level), lines_(drain), out_(&lines_) {}
    // One line: ends when the object goes out of scope.
    class Line {
      public:
        // Null: the line is filtered out.
        explicit Line(Log* log) : log_(log) {}
        Line(const Line&) = delete;
        Line& operator=(const Line&) = delete;
        ~Line() {
            if (log_ != nullptr) log_->lines_.end_line();
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
    void write_out() { lines_.write_out(); }

  private:
    Line begin_line(Level level, std::string_view prefix) {
        if (level > max_level_) return Line(nullptr);
        out_ << prefix;
        return Line(this);
    }
    Level max_level_;
    Lines lines_;
    std::ostream out_;
};

}  // namespace lemonstair::log
