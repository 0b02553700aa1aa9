// Helpers to parse HTTP/1.1 headers, for requests and responses.
#pragma once

#include <string_view>

namespace lemonstair::http {

// ASCII only.
bool equals_ignoring_case(std::string_view a, std::string_view b);
// Without the blanks and tabs around it.
std::string_view trim(std::string_view text);

}  // namespace lemonstair::http
