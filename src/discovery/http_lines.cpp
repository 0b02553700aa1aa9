#include "discovery/http_lines.h"

#include <charconv>

#include "http/headers.h"

namespace lemonstair::discovery {

void HttpLineParser::parse_head(std::string_view& bytes) {
    const auto end = bytes.find('\n');
    const auto size = std::min(end, bytes.size());
    head_line_.append(bytes.substr(0, size));
    bytes.remove_prefix(std::min(size + 1, bytes.size()));
    if (head_line_.size() > max_head_line_bytes) state_ = State::invalid;
    if (end == std::string_view::npos || state_ == State::invalid) return;
    if (!head_line_.empty() && head_line_.back() == '\r') head_line_.pop_back();
    parse_head_line(head_line_);
    head_line_.clear();
}

void HttpLineParser::parse_head_line(std::string_view line) {
    switch (state_) {
        case State::status: {
            const bool is_ok = line.substr(0, 7) == "HTTP/1." && line.substr(8, 4) == " 200";
            state_ = is_ok ? State::header : State::invalid;
            return;
        }
        case State::header:
            return parse_header(line);
        case State::chunk_size:
            return parse_chunk_size(line);
        case State::chunk_end:
            state_ = line.empty() ? State::chunk_size : State::invalid;
            return;
        case State::trailer:
            if (line.empty()) state_ = State::end;
            return;
        default:
            return;
    }
}

void HttpLineParser::parse_header(std::string_view line) {
    if (line.empty()) {
        state_ = chunked_ ? State::chunk_size : State::body;
        return;
    }
    const auto colon = line.find(':');
    if (++header_count_ > max_headers || colon == std::string_view::npos) {
        state_ = State::invalid;
    } else if (http::equals_ignoring_case(line.substr(0, colon), "transfer-encoding")) {
        chunked_ = http::equals_ignoring_case(http::trim(line.substr(colon + 1)), "chunked");
    }
}

void HttpLineParser::parse_chunk_size(std::string_view line) {
    const char* end = line.data() + line.size();
    const auto [stop, error] = std::from_chars(line.data(), end, chunk_bytes_left_, 16);
    const bool valid = error == std::errc{} && (stop == end || *stop == ';' || *stop == ' ');
    state_ = !valid ? State::invalid : chunk_bytes_left_ > 0 ? State::body : State::trailer;
}

}  // namespace lemonstair::discovery
