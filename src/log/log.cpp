#include "log/log.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <climits>

namespace lemonstair::log {

std::optional<Level> parse_level(std::string_view name) {
    if (name == "error") return Level::error;
    if (name == "info") return Level::info;
    if (name == "debug") return Level::debug;
    return std::nullopt;
}

LineBuffer::int_type LineBuffer::overflow(int_type c) {
    if (c != traits_type::eof()) line_.push_back(static_cast<char>(c));
    return traits_type::not_eof(c);
}

std::streamsize LineBuffer::xsputn(const char* text, std::streamsize n) {
    line_.append(text, static_cast<std::size_t>(n));
    return n;
}

void LineBuffer::end_line() {
    line_.push_back('\n');
    if (dropped_lines_ > 0 && queued_.size() + line_.size() < max_queued_bytes / 2) {
        queued_.append("log lines dropped: ").append(std::to_string(dropped_lines_)).append("\n");
        dropped_lines_ = 0;
    }
    if (queued_.size() + line_.size() <= max_queued_bytes)
        queued_.append(line_);
    else
        ++dropped_lines_;
    line_.clear();
    flush();
}

// A pipe that poll() reports as writable accepts PIPE_BUF bytes without blocking, so no more are written at
// once.
std::size_t DescriptorSink::write(std::string_view text) {
    pollfd polled{fd_, POLLOUT, 0};
    if (::poll(&polled, 1, 0) <= 0 || (polled.revents & POLLOUT) == 0) return 0;
    const ssize_t written = ::write(fd_, text.data(), std::min<std::size_t>(text.size(), PIPE_BUF));
    return written > 0 ? static_cast<std::size_t>(written) : 0;
}

void LineBuffer::flush() {
    std::size_t written = 0;
    while (written < queued_.size()) {
        const std::size_t accepted = sink_.write(std::string_view(queued_).substr(written));
        if (accepted == 0) break;
        written += accepted;
    }
    queued_.erase(0, written);
}

}  // namespace lemonstair::log
