/// Helpers to parse the headers of HTTP/1.1 requests and responses.
#pragma once

#include <string_view>

namespace lemonstair::http {

/// Ignores the case of ASCII letters only.
bool equals_ignoring_case(std::string_view a, std::string_view b);
/// The text without leading and trailing spaces and tabs.
std::string_view trim(std::string_view text);

}  // namespace lemonstair::http
