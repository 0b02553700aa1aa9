// Writing of JSON texts.
#pragma once

#include <string>
#include <string_view>

namespace lemonstair::json {

// The text escaped and in quotes.
std::string quoted(std::string_view text);

}  // namespace lemonstair::json
