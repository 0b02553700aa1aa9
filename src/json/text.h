// Text as it stands in JSON.
#pragma once

#include <string>
#include <string_view>

namespace lemonstair::json {

// With its quotes.
std::string quoted(std::string_view text);

}  // namespace lemonstair::json
