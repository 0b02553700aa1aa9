// The one decoder of the settings that an instance or a node is handed at its start. Times are rounded to the
// safe side: spans that must pass up, limits down.
#pragma once

#include <cmath>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "balance/balance.h"
#include "json/json.h"

namespace lemonstair::config {

constexpr double tenths_a_second = 10000.0;
inline Ticks down(double seconds) { return static_cast<Ticks>(std::floor(seconds * tenths_a_second + 1e-3)); }
inline Ticks up(double seconds) { return static_cast<Ticks>(std::ceil(seconds * tenths_a_second - 1e-3)); }

// Throws json::Malformed, which names the faulty field.
BalancerConfig parse_settings(const json::Value& settings, std::uint64_t seed);

// The meaning of a word, from a list of all that may stand there.
template <class T, std::size_t N>
T pick(std::string_view word, const std::pair<std::string_view, T> (&words)[N], const char* what) {
    for (const auto& [name, value] : words)
        if (name == word) return value;
    throw json::Malformed(std::string(what).append(" '").append(word).append("' is unknown"));
}

// A load report's figures by name; what did not come is not a number.
inline double* figure(LoadReport& into, std::string_view name) {
    const std::pair<std::string_view, double*> all[] = {{"inflight", &into.inflight},
                                                        {"queue", &into.queue},
                                                        {"util", &into.utilization},
                                                        {"x0", &into.load},
                                                        {"x1", &into.backlog_seconds}};
    for (const auto& [known, at] : all)
        if (known == name) return at;
    return nullptr;
}

}  // namespace lemonstair::config
