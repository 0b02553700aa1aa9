#include "tunnel/request_line.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>

#include "tunnel/wire_protocol.h"

namespace lemonstair::tunnel {

namespace {

constexpr double max_wait_ms = 1e9;
constexpr Ticks ticks_per_ms = 10;

// Returns the text before `separator`, or all of it, and removes it and the separator from `rest`.
std::string_view cut(std::string_view& rest, char separator) {
    const auto end = std::min(rest.find(separator), rest.size());
    const auto part = rest.substr(0, end);
    rest.remove_prefix(std::min(end + 1, rest.size()));
    return part;
}

bool read_number(std::string_view text, double& into) {
    const char* end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, into);
    return error == std::errc{} && stop == end && std::isfinite(into);
}

bool is_printable(std::string_view text) {
    return std::all_of(text.begin(), text.end(), [](char c) { return c >= 0x20 && c < 0x7f; });
}

// Parses the list of parameters into a RequestLine.
struct Parameters {
    const std::vector<std::string>& traffic_classes;
    RequestLine& line;
    double wait_ms = -1;  // -1: not given
    bool has_traffic_class = false;

    // Returns false if a known parameter has an invalid value; unknown ones are ignored.
    bool read(std::string_view name, std::string_view value) {
        namespace parameter = wire::parameter;
        if (name == parameter::traffic_class) return read_traffic_class(value);
        if (name == parameter::wait_ms)
            return read_number(value, wait_ms) && wait_ms >= 0 && wait_ms <= max_wait_ms;
        if (name == parameter::expected_load)
            return read_number(value, line.request.expected_load) && line.request.expected_load >= 0;
        if (name == parameter::group) line.request.group = value;
        if (name == parameter::current_endpoint) line.current_endpoint = value;
        if (name == parameter::mid_flow) line.request.mid_flow = value == parameter::flag_set;
        if (name == parameter::reconnect) line.request.reconnect = value == parameter::flag_set;
        return true;
    }

    bool read_traffic_class(std::string_view name) {
        const auto found = std::find(traffic_classes.begin(), traffic_classes.end(), name);
        line.request.traffic_class = static_cast<std::uint32_t>(found - traffic_classes.begin());
        has_traffic_class = found != traffic_classes.end();
        return has_traffic_class;
    }

    // Reads "name=value,name=value". Returns false if the list is malformed or a value invalid.
    bool read_list(std::string_view list) {
        while (!list.empty()) {
            const std::string_view entry = cut(list, ',');
            const auto equals = entry.find('=');
            if (equals == std::string_view::npos || equals == 0) return false;
            if (!read(entry.substr(0, equals), entry.substr(equals + 1))) return false;
        }
        return true;
    }
};

}  // namespace

std::optional<RequestLine> parse_request_line(std::string_view line,
                                              const std::vector<std::string>& traffic_classes, Ticks now) {
    if (line.substr(0, wire::request_prefix.size()) != wire::request_prefix || !is_printable(line))
        return std::nullopt;
    line.remove_prefix(wire::request_prefix.size());
    RequestLine parsed;
    parsed.id = cut(line, ' ');
    parsed.request.key = cut(line, ' ');
    if (parsed.id.empty() || parsed.request.key.empty() || line.find(' ') != std::string_view::npos)
        return std::nullopt;
    Parameters parameters{traffic_classes, parsed};
    if (!parameters.read_list(line) || !parameters.has_traffic_class || parameters.wait_ms < 0)
        return std::nullopt;
    parsed.request.deadline =
        now + static_cast<Ticks>(std::floor(parameters.wait_ms * static_cast<double>(ticks_per_ms)));
    return parsed;
}

bool begins_command(std::string_view bytes) {
    if (bytes.empty()) return false;
    for (const std::string_view command : {wire::request_prefix, wire::readiness_check_line}) {
        const auto compared = std::min(bytes.size(), command.size());
        if (bytes.substr(0, compared) == command.substr(0, compared)) return true;
    }
    return false;
}

bool write_request_line(std::string_view line, Ticks wait, net::Buffer& into) {
    auto wait_begin = line.rfind(' ') + 1;
    while (wait_begin < line.size() && line.substr(wait_begin, wire::wait_prefix.size()) != wire::wait_prefix)
        wait_begin = std::min(line.find(',', wait_begin), line.size() - 1) + 1;
    const auto wait_end = std::min(line.find(',', wait_begin), line.size());
    std::array<char, 24> digits{};
    const char* digits_end =
        std::to_chars(digits.data(), digits.data() + digits.size(), std::max<Ticks>(wait, 0) / ticks_per_ms)
            .ptr;
    bool fits = into.append(line.substr(0, wait_begin));
    if (wait_begin < line.size()) {
        fits = fits && into.append(wire::wait_prefix) &&
               into.append({digits.data(), static_cast<std::size_t>(digits_end - digits.data())});
        fits = fits && into.append(line.substr(wait_end));
    }
    return fits && into.append(wire::line_end);
}

}  // namespace lemonstair::tunnel
