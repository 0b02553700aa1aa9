// The decoder of the settings: their keys and words are mapped to the balancer's terms here. Times are given
// in seconds and rounded to the safe side: minimum durations up, limits down.
#pragma once

#include <cmath>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "balance/balance.h"
#include "json/json.h"

namespace lemonstair::config {

// The tolerance keeps decimal fractions that have no exact binary form from moving by a whole tick.
constexpr double ticks_per_second = 10000.0, rounding_tolerance = 1e-3;
inline Ticks round_down_to_ticks(double seconds) {
    return static_cast<Ticks>(std::floor(seconds * ticks_per_second + rounding_tolerance));
}
inline Ticks round_up_to_ticks(double seconds) {
    return static_cast<Ticks>(std::ceil(seconds * ticks_per_second - rounding_tolerance));
}

// Throws json::Malformed, which names the faulty key.
BalancerConfig parse_settings(const json::Value& settings, std::uint64_t seed);

// The value of a word in a table of all that are allowed; throws json::Malformed, which names the key and the
// word, for any other.
template <class T, std::size_t N>
T decode_word(std::string_view word, const std::pair<std::string_view, T> (&words)[N], const char* key) {
    for (const auto& [name, value] : words)
        if (name == word) return value;
    throw json::Malformed(std::string(key).append(" '").append(word).append("' is unknown"));
}

// The field of a load report by its name on the wire; null for an unknown name.
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
