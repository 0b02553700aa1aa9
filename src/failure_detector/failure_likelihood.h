// The sequential test on a host's outcomes: "half of them fail" against "as many fail as elsewhere". What
// fails everywhere is no host's fault. No I/O; the clock is an argument, in tenths of a ms.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace lemonstair::failure_detector {

constexpr double bad_part = 0.5, usual_part = 0.015, shared_part = 0.1, doubt_limit = 6.0;
// Outcomes are looked back on for about 3 s.
constexpr double fades_to = 0.967;  // in a tenth of a second
constexpr std::int64_t fades_in = 1000;

// Outcomes lately, and those of them that were failures.
struct OutcomeTotals {
    double tried = 0, failed = 0;
    void fade(double part) { tried *= part, failed *= part; }
};

struct FailureLikelihood {
    double doubt = 0;  // the log of how much likelier the first is; it is set aside at doubt_limit
    OutcomeTotals sums;
    std::int64_t counted_at = 0;

    // The part that failed lately of the outcomes of all others.
    double elsewhere(const OutcomeTotals& all, std::int64_t now) const {
        const double old = faded(now);
        return (all.failed - sums.failed * old + 5 * usual_part) / (all.tried - sums.tried * old + 5);
    }
    // `shared`: other things than the host may well have caused the failure.
    void count(bool failed, bool shared, OutcomeTotals& all, std::int64_t now) {
        const double usual = std::clamp(elsewhere(all, now), shared ? shared_part : usual_part, bad_part);
        sums.fade(faded(now));
        counted_at = now;
        ++sums.tried, ++all.tried;
        if (failed) ++sums.failed, ++all.failed;
        doubt += failed ? std::log(bad_part / usual) : std::log((1 - bad_part) / (1 - usual));
        doubt = std::clamp(doubt, 0.0, 2 * doubt_limit);
    }

  private:
    double faded(std::int64_t now) const {
        return std::pow(fades_to, static_cast<double>((now - counted_at) / fades_in));
    }
};

}  // namespace lemonstair::failure_detector
