/// The line protocol of clients and endpoints: its keywords, and the types that they are parsed into. No
/// other file of this module contains a keyword of the protocol.
#pragma once

#include <charconv>
#include <cmath>
#include <cstdint>
#include <optional>
#include <string_view>

namespace lemonstair::tunnel::wire {

/// The longest line that either side may send, in bytes without the line end.
constexpr std::size_t longest_line = 4096;
constexpr std::string_view line_end = "\r\n";

// From the client: a request for a tunnel ("OPEN <id> <key> <name>=<value>,..."), or a check whether the node
// is ready.
constexpr std::string_view request_prefix = "OPEN ";
constexpr std::string_view readiness_check = "PING";
constexpr std::string_view readiness_check_line = "PING\r\n";

// The names of the request's parameters.
namespace parameter {
constexpr std::string_view traffic_class = "c";
constexpr std::string_view wait_ms = "d";
constexpr std::string_view group = "g";
constexpr std::string_view current_endpoint = "at";
constexpr std::string_view mid_flow = "mid";
constexpr std::string_view reconnect = "again";
constexpr std::string_view expected_load = "h";
constexpr std::string_view flag_set = "1";
}  // namespace parameter
/// The start of the parameter that is rewritten for the endpoint.
constexpr std::string_view wait_prefix = "d=";

// To the client. After rejected_prefix comes the time, in ms, after which it may retry.
constexpr std::string_view ready_line = "PONG\r\n";
constexpr std::string_view rejected_line = "BUSY\r\n";
constexpr std::string_view rejected_prefix = "BUSY ";
constexpr std::string_view failed_line = "ERR\r\n";
constexpr std::string_view migrate_line = "MOVE\r\n";

/// Whether a line consists of this word, or of this word, a space and more text.
constexpr bool has_word(std::string_view line, std::string_view word) {
    return line.substr(0, word.size()) == word && (line.size() == word.size() || line[word.size()] == ' ');
}

/// The endpoint's first line: its answer to the request.
enum class Answer : std::uint8_t { opened, finished, overloaded, migrate, error, unknown };

constexpr Answer read_answer(std::string_view line) {
    if (has_word(line, "UP")) return Answer::opened;
    if (has_word(line, "BYE")) return Answer::finished;  // opened, and already served to its end
    if (has_word(line, "BUSY")) return Answer::overloaded;
    if (has_word(line, "MOVE")) return Answer::migrate;
    if (has_word(line, "ERR")) return Answer::error;
    return Answer::unknown;
}

/// The kinds of lines that an endpoint sends on an open tunnel.
enum class Message : std::uint8_t { load, finished, migrate, other };

constexpr std::string_view load_prefix = "LOAD ";

constexpr Message read_message(std::string_view line) {
    if (line.substr(0, load_prefix.size()) == load_prefix) return Message::load;
    if (has_word(line, "BYE")) return Message::finished;
    if (line == "MOVE") return Message::migrate;
    return Message::other;
}

/// The load in a Message::load, in millionths of a standard core; nullopt unless it is a finite number >= 0.
inline std::optional<double> read_load(std::string_view line) {
    double load = 0;
    const char* end = line.data() + line.size();
    const auto [stop, error] = std::from_chars(line.data() + load_prefix.size(), end, load);
    if (error != std::errc{} || stop != end || !std::isfinite(load) || load < 0) return std::nullopt;
    return load;
}

}  // namespace lemonstair::tunnel::wire
