#include "json/text.h"

#include <array>
#include <cstdio>

namespace lemonstair::json {

std::string quoted(std::string_view text) {
    std::string out = "\"";
    for (const char c : text) {
        if (c == '"' || c == '\\') {
            out.append({'\\', c});
        } else if (static_cast<unsigned char>(c) < 0x20) {
            std::array<char, 8> code{};
            std::snprintf(code.data(), code.size(), "\\u%04x", static_cast<unsigned>(c));
            out += code.data();
        } else {
            out += c;
        }
    }
    return out += '"';
}

std::string excerpt(std::string_view text) {
    constexpr std::size_t max_shown_bytes = 64;
    std::string out;
    for (const char c : text.substr(0, max_shown_bytes)) {
        if (c == '"' || c == '\\') {
            out.append({'\\', c});
        } else if (c < 0x20 || c > 0x7e) {
            std::array<char, 8> code{};
            std::snprintf(code.data(), code.size(), "\\x%02x", static_cast<unsigned char>(c));
            out += code.data();
        } else {
            out += c;
        }
    }
    return text.size() > max_shown_bytes ? out += "..." : out;
}

std::string quoted_excerpt(std::string_view text) { return '"' + excerpt(text) + '"'; }

}  // namespace lemonstair::json
