// The log: lines on one descriptor, written with iostreams behind a level filter. It never blocks: what the
// reader does not take waits in a bounded buffer, and what finds no place there is dropped and counted.
#pragma once

#include <cstdint>
#include <optional>
#include <ostream>
#include <streambuf>
#include <string>
#include <string_view>

namespace lemonstair::log {

enum class Level : std::uint8_t { error, info, debug };

std::optional<Level> level_of(std::string_view name);

class Lines final : public std::streambuf {
  public:
    explicit Lines(int fd) : fd_(fd) {}
    void end_line();
    void write_out();

  protected:
    int_type overflow(int_type c) override;
    std::streamsize xsputn(const char* text, std::streamsize n) override;

  private:
    static constexpr std::size_t most_waiting = 1 << 16;
    int fd_;
    std::string line_, waiting_;
    std::uint64_t dropped_ = 0;
};

class Log {
  public:
    Log(Level most, int fd) : most_(most), lines_(fd), out_(&lines_) {}
    // One line: what is streamed into it until it goes out of scope.
    class Line {
      public:
        explicit Line(Log* to) : to_(to) {}
        Line(const Line&) = delete;
        Line& operator=(const Line&) = delete;
        ~Line() {
            if (to_ != nullptr) to_->lines_.end_line();
        }
        template <class T>
        Line& operator<<(const T& value) {
            if (to_ != nullptr) to_->out_ << value;
            return *this;
        }

      private:
        Log* to_;
    };
    Line error() { return at(Level::error, "error "); }
    Line info() { return at(Level::info, ""); }
    Line debug() { return at(Level::debug, "debug "); }
    void write_out() { lines_.write_out(); }

  private:
    Line at(Level level, std::string_view mark) {
        if (level > most_) return Line(nullptr);
        out_ << mark;
        return Line(this);
    }
    Level most_;
    Lines lines_;
    std::ostream out_;
};

}  // namespace lemonstair::log
