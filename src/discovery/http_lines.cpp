#include "discovery/http_lines.h"

#include <charconv>

#include "http/headers.h"

namespace lemonstair::discovery {

void HttpLines::head(std::string_view& bytes) {
    const auto end = bytes.find('\n');
    const auto size = std::min(end, bytes.size());
    head_line_.append(bytes.substr(0, size));
    bytes.remove_prefix(std::min(size + 1, bytes.size()));
    if (head_line_.size() > max_head_line_bytes) part_ = Part::invalid;
    if (end == std::string_view::npos || part_ == Part::invalid) return;
    if (!head_line_.empty() && head_line_.back() == '\r') head_line_.pop_back();
    head_line(head_line_);
    head_line_.clear();
}

void HttpLines::head_line(std::string_view line) {
    switch (part_) {
        case Part::status: {
            const bool ok = line.substr(0, 7) == "HTTP/1." && line.substr(8, 4) == " 200";
            part_ = ok ? Part::header : Part::invalid;
            return;
        }
        case Part::header:
            return header(line);
        case Part::chunk_size:
            return chunk_size(line);
        case Part::chunk_end:
            part_ = line.empty() ? Part::chunk_size : Part::invalid;
            return;
        case Part::trailer:
            if (line.empty()) part_ = Part::end;
            return;
        default:
            return;
    }
}

void HttpLines::header(std::string_view line) {
    if (line.empty()) {
        part_ = chunked_ ? Part::chunk_size : Part::body;
        return;
    }
    const auto colon = line.find(':');
    if (++headers_ > max_headers || colon == std::string_view::npos) {
        part_ = Part::invalid;
    } else if (http::equals_ignoring_case(line.substr(0, colon), "transfer-encoding")) {
        chunked_ = http::equals_ignoring_case(http::trim(line.substr(colon + 1)), "chunked");
    }
}

void HttpLines::chunk_size(std::string_view line) {
    const char* end = line.data() + line.size();
    const auto [stop, error] = std::from_chars(line.data(), end, chunk_left_, 16);
    const bool valid = error == std::errc{} && (stop == end || *stop == ';' || *stop == ' ');
    part_ = !valid ? Part::invalid : chunk_left_ > 0 ? Part::body : Part::trailer;
}

}  // namespace lemonstair::discovery
