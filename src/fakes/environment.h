// What all fakes of a run share: event queue, network, trace, execution log and traffic profiles. Also
// helpers for line protocols.
#pragma once

#include <array>
#include <charconv>
#include <string>
#include <string_view>
#include <vector>

#include "fakes/execution_log.h"
#include "simnet/event_queue.h"
#include "simnet/streams.h"
#include "simnet/trace.h"

namespace lemonstair::fakes {

// Lives as long as the run. Times are tenths of a ms.
struct TestEnvironment {
    simnet::EventQueue& events;
    simnet::Streams& network;
    simnet::Trace& trace;
    ExecutionLog& execution_log;
    std::vector<Profile> profiles;
    bool packet_passthrough = false;  // a tunnel continues through another node when its own has died
    Ticks parking_timeout = 60000;    // how long a server keeps a tunnel that has lost its connection

    Ticks now() const { return events.now(); }
    // Since the start of the scenario.
    Ticks elapsed() const { return events.now() - events.start_time(); }
    // Adds an entry to the trace, at the current time.
    void note(std::string_view what, std::uint64_t a, std::uint64_t b, std::string_view text = {}) {
        trace.note(elapsed(), what, a, b, text);
    }
};

// Writes as many of the queued bytes as the network accepts now, and removes them from the queue.
inline void write_unsent(simnet::Streams& network, End end, std::string& unsent) {
    while (!unsent.empty()) {
        const std::size_t n = network.write(end, unsent).bytes;
        if (n == 0) return;
        unsent.erase(0, n);
    }
}

// Returns the first word of `rest`, and removes it and the blank after it.
inline std::string_view next_word(std::string_view& rest) {
    const auto end = std::min(rest.find(' '), rest.size());
    const auto word = rest.substr(0, end);
    rest.remove_prefix(std::min(end + 1, rest.size()));
    return word;
}

// Parses a text that is exactly one number; returns false otherwise. `into` may then have been written.
template <class Number>
bool parse_number(std::string_view text, Number& into, int base = 10) {
    const auto [stop, error] = std::from_chars(text.data(), text.data() + text.size(), into, base);
    return error == std::errc{} && stop == text.data() + text.size() && !text.empty();
}

// Splits the bytes of one connection into lines. An unfinished line may have at most 8192 bytes.
class LineReader {
  public:
    // Calls each(line) for every complete line, without its line ending. If each() returns false, the
    // remaining bytes are discarded. Returns false once a line is too long.
    template <class Each>
    bool feed(std::string_view bytes, Each&& each) {
        text_.append(bytes);
        std::size_t at = 0;
        for (std::size_t end = 0; (end = text_.find('\n', at)) != std::string::npos; at = end + 1) {
            std::string_view line(text_.data() + at, end - at);
            if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
            if (!each(line)) {
                text_.clear();
                return true;
            }
        }
        text_.erase(0, at);
        return text_.size() <= 8192;
    }
    bool between_lines() const { return text_.empty(); }

  private:
    std::string text_;
};

}  // namespace lemonstair::fakes
