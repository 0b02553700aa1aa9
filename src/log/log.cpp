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
    if (dropped_ > 0 && buffered_.size() + line_.size() < max_buffered_bytes / 2) {
        buffered_.append("log lines dropped: ").append(std::to_string(dropped_)).append("\n");
        dropped_ = 0;
    }
    if (buffered_.size() + line_.size() <= max_buffered_bytes)
        buffered_.append(line_);
    else
        ++dropped_;
    line_.clear();
    flush();
}

// A pipe that poll reports as writable takes PIPE_BUF bytes without blocking, so no more are written at once.
std::size_t DescriptorSink::write(std::string_view text) {
    pollfd p{fd_, POLLOUT, 0};
    if (::poll(&p, 1, 0) <= 0 || (p.revents & POLLOUT) == 0) return 0;
    const ssize_t n = ::write(fd_, text.data(), std::min<std::size_t>(text.size(), PIPE_BUF));
    return n > 0 ? static_cast<std::size_t>(n) : 0;
}

void LineBuffer::flush() {
    std::size_t sent = 0;
    while (sent < buffered_.size()) {
        const std::size_t n = sink_.write(std::string_view(buffered_).substr(sent));
        if (n == 0) break;
        sent += n;
    }
    buffered_.erase(0, sent);
}

}  // namespace lemonstair::log
