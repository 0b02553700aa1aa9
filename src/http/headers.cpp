#include "http/headers.h"

#include <algorithm>
#include <cctype>

namespace lemonstair::http {

bool equals_ignoring_case(std::string_view a, std::string_view b) {
    const auto lower = [](char c) { return std::tolower(static_cast<unsigned char>(c)); };
    return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                      [&](char x, char y) { return lower(x) == lower(y); });
}

std::string_view trim(std::string_view text) {
    const auto from = text.find_first_not_of(" \t");
    if (from == std::string_view::npos) return {};
    return text.substr(from, text.find_last_not_of(" \t") - from + 1);
}

}  // namespace lemonstair::http
