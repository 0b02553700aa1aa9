#include "discovery/http_lines.h"

#include <algorithm>
#include <charconv>

#include "http/headers.h"

namespace lemonstair::discovery {

using http::equals_ignoring_case;
using http::trim;

void HttpLines::head(std::string_view& bytes) {
    const auto end = bytes.find('\n');
    const auto n = std::min(end, bytes.size());
    head_.append(bytes.substr(0, n));
    bytes.remove_prefix(std::min(n + 1, bytes.size()));
    if (head_.size() > longest_head) part_ = Part::bad;
    if (end == std::string_view::npos || part_ == Part::bad) return;
    if (!head_.empty() && head_.back() == '\r') head_.pop_back();
    head_line(head_);
    head_.clear();
}

void HttpLines::head_line(std::string_view line) {
    switch (part_) {
        case Part::status:
            part_ = line.substr(0, 7) == "HTTP/1." && line.substr(8, 4) == " 200" ? Part::header : Part::bad;
            return;
        case Part::header: {
            if (line.empty()) {
                part_ = chunked_ ? Part::chunk_size : Part::body;
                return;
            }
            const auto colon = line.find(':');
            if (++heads_ > 100 || colon == std::string_view::npos) {
                part_ = Part::bad;
            } else if (equals_ignoring_case(line.substr(0, colon), "transfer-encoding")) {
                chunked_ = equals_ignoring_case(trim(line.substr(colon + 1)), "chunked");
            }
            return;
        }
        case Part::chunk_size: {
            const auto [stop, error] = std::from_chars(line.data(), line.data() + line.size(), left_, 16);
            const bool sized =
                error == std::errc{} && (stop == line.data() + line.size() || *stop == ';' || *stop == ' ');
            part_ = !sized ? Part::bad : left_ > 0 ? Part::body : Part::trailer;
            return;
        }
        case Part::chunk_end:
            part_ = line.empty() ? Part::chunk_size : Part::bad;
            return;
        case Part::trailer:
            if (line.empty()) part_ = Part::over;
            return;
        default:
            return;
    }
}

}  // namespace lemonstair::discovery
