/// Writer of JSON strings, and of values in log lines and error messages.
#pragma once

#include <string>
#include <string_view>

namespace lemonstair::json {

/// The text as a JSON string: escaped and in quotes.
std::string quoted(std::string_view text);

/// The text as log lines and error messages show it: at most 64 bytes, followed by "..." where the text is
/// longer. Quotes and backslashes are escaped, and bytes that are not printable ASCII are shown as \xNN, so
/// that the result is always one readable line.
std::string excerpt(std::string_view text);
/// The excerpt in quotes.
std::string quoted_excerpt(std::string_view text);

}  // namespace lemonstair::json
