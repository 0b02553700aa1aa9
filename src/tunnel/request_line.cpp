#include "tunnel/request_line.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>

namespace lemonstair::tunnel {

namespace {

constexpr std::string_view word = "OPEN ";
constexpr double longest_wait_ms = 1e9;

std::string_view cut(std::string_view& rest, char at) {
    const auto end = std::min(rest.find(at), rest.size());
    const auto part = rest.substr(0, end);
    rest.remove_prefix(std::min(end + 1, rest.size()));
    return part;
}

bool read_number(std::string_view text, double& into) {
    const char* end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, into);
    return error == std::errc{} && stop == end && std::isfinite(into);
}

bool printable(std::string_view text) {
    return std::all_of(text.begin(), text.end(), [](char c) { return c >= 0x20 && c < 0x7f; });
}

// Calls each(name, value) for each of a list of names and values; false where it is no such list.
template <class Each>
bool each_value(std::string_view list, Each&& each) {
    while (!list.empty()) {
        std::string_view value = cut(list, ',');
        const auto equals = value.find('=');
        if (equals == std::string_view::npos || equals == 0) return false;
        if (!each(value.substr(0, equals), value.substr(equals + 1))) return false;
    }
    return true;
}

}  // namespace

bool read_opening(std::string_view line, const std::vector<std::string>& profiles, Ticks now,
                  TunnelRequest& arrival, std::string_view& holder) {
    if (line.substr(0, word.size()) != word || !printable(line)) return false;
    line.remove_prefix(word.size());
    const std::string_view id = cut(line, ' ');
    arrival.key = cut(line, ' ');
    if (id.empty() || arrival.key.empty() || line.find(' ') != std::string_view::npos) return false;
    double wait_ms = -1;
    bool profile_told = false;
    const bool listed = each_value(line, [&](std::string_view name, std::string_view value) {
        if (name == "c") {
            const auto it = std::find(profiles.begin(), profiles.end(), value);
            arrival.traffic_class = static_cast<std::uint32_t>(it - profiles.begin());
            profile_told = it != profiles.end();
            return profile_told;
        }
        if (name == "d") return read_number(value, wait_ms) && wait_ms >= 0 && wait_ms <= longest_wait_ms;
        if (name == "g") arrival.group = value;
        if (name == "at") holder = value;
        if (name == "mid") arrival.mid_flow = value == "1";
        if (name == "again") arrival.reconnect = value == "1";
        if (name == "h") return read_number(value, arrival.expected_load) && arrival.expected_load >= 0;
        return true;
    });
    if (!listed || !profile_told || wait_ms < 0) return false;
    arrival.deadline = now + static_cast<Ticks>(std::floor(wait_ms * 10));
    return true;
}

std::string_view opening_id(std::string_view line) {
    line.remove_prefix(word.size());
    return cut(line, ' ');
}

bool begins_command(std::string_view bytes) {
    if (bytes.empty()) return false;
    for (const std::string_view command : {word, std::string_view("PING\r\n")}) {
        const auto n = std::min(bytes.size(), command.size());
        if (bytes.substr(0, n) == command.substr(0, n)) return true;
    }
    return false;
}

bool write_opening(std::string_view line, Ticks wait, net::Buffer& into) {
    const auto list = line.rfind(' ') + 1;
    auto at = list;
    while (at < line.size() && line.substr(at, 2) != "d=")
        at = std::min(line.find(',', at), line.size() - 1) + 1;
    const auto rest = std::min(line.find(',', at), line.size());
    std::array<char, 24> digits{};
    const char* end =
        std::to_chars(digits.data(), digits.data() + digits.size(), std::max<Ticks>(wait, 0) / 10).ptr;
    bool fits = into.append(line.substr(0, at));
    if (at < line.size()) {
        fits = fits && into.append("d=") &&
               into.append({digits.data(), static_cast<std::size_t>(end - digits.data())});
        fits = fits && into.append(line.substr(rest));
    }
    return fits && into.append("\r\n");
}

}  // namespace lemonstair::tunnel
