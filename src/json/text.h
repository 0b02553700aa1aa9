/// Writer of JSON strings.
#pragma once

#include <string>
#include <string_view>

namespace lemonstair::json {

/// The text as a JSON string: escaped and in quotes.
std::string quoted(std::string_view text);

}  // namespace lemonstair::json
