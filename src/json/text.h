/// Writer of JSON strings, and of values in log lines and error messages.
#pragma once

#include <string>
#include <string_view>

namespace lemonstair::json {

/// The text as a JSON string: escaped and in quotes.
std::string quoted(std::string_view text);

/// The text as a log line or an error message shows it: one line of printable ASCII. At most 64 bytes are
/// shown, followed by "..." where the text is longer. Quotes and backslashes are escaped, other bytes shown
/// as \xNN.
std::string excerpt(std::string_view text);
/// The excerpt in quotes.
std::string quoted_excerpt(std::string_view text);

}  // namespace lemonstair::json
