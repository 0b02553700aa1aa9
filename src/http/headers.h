// Small words of HTTP/1.1 heads, for requests and for answers.
#pragma once

#include <string_view>

namespace lemonstair::http {

// Whether they differ in nothing but capitals.
bool same_word(std::string_view a, std::string_view b);
// Without blanks around it.
std::string_view trimmed(std::string_view text);

}  // namespace lemonstair::http
