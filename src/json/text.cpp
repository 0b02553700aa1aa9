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

}  // namespace lemonstair::json
