/// Decoder of the settings: maps their keys and words to the fields of the balancer's configuration. The
/// settings give times in seconds; these are rounded to ticks to the safe side: minimum durations up, limits
/// down.
#pragma once

#include <cmath>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "balance/balance.h"
#include "json/json.h"
#include "json/text.h"

namespace lemonstair::config {

// The tolerance is a fraction of a tick. Without it, rounding would move decimal fractions that have no exact
// binary form by a whole tick.
constexpr double ticks_per_second = 10000.0, rounding_tolerance = 1e-3;
inline Ticks round_down_to_ticks(double seconds) {
    return static_cast<Ticks>(std::floor(seconds * ticks_per_second + rounding_tolerance));
}
inline Ticks round_up_to_ticks(double seconds) {
    return static_cast<Ticks>(std::ceil(seconds * ticks_per_second - rounding_tolerance));
}

/// Throws json::Malformed, which names the invalid key.
BalancerConfig parse_settings(const json::Value& settings, std::uint64_t seed);

/// Returns the value of a word in a table of all allowed words. Throws json::Malformed for any other word;
/// the message names the key, the allowed words and the rejected one.
template <class T, std::size_t N>
T decode_word(std::string_view word, const std::pair<std::string_view, T> (&words)[N], const char* key) {
    for (const auto& [name, value] : words)
        if (name == word) return value;
    std::string message = std::string("field '").append(key).append("' must be");
    const char* separator = " '";
    for (const auto& [name, value] : words) message.append(std::exchange(separator, "' or '")).append(name);
    throw json::Malformed(message.append("', got ").append(json::quoted_excerpt(word)));
}

/// The field of a load report by its name in an endpoint's answer; null for an unknown name.
inline double* load_report_field(LoadReport& report, std::string_view name) {
    const std::pair<std::string_view, double*> fields[] = {{"inflight", &report.inflight},
                                                           {"queue", &report.queue},
                                                           {"util", &report.utilization},
                                                           {"x0", &report.load},
                                                           {"x1", &report.backlog_seconds}};
    for (const auto& [field_name, field] : fields)
        if (field_name == name) return field;
    return nullptr;
}

}  // namespace lemonstair::config
