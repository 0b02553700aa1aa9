/// Lines of text that end with CRLF or with LF alone.
#pragma once

#include <string_view>

namespace lemonstair::net {

/// The first line of a text, without its line end.
inline std::string_view first_line(std::string_view text) {
    auto line = text.substr(0, text.find('\n'));
    if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
    return line;
}

}  // namespace lemonstair::net
