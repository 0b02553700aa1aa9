/// Sequential probability ratio test on an endpoint's outcomes: "half of them fail" against "as many fail as
/// on the other endpoints". What fails everywhere is not an endpoint's fault. No I/O; the clock is an
/// argument, in tenths of a millisecond.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace lemonstair::failure_detector {

constexpr double outlier_failure_rate = 0.5, baseline_failure_rate = 0.015, shared_failure_rate = 0.1,
                 ejection_threshold = 6.0;
/// Exponential decay of outcome counts: they look back about 3 s.
constexpr double outcome_decay = 0.967;  // per outcome_decay_period
constexpr std::int64_t outcome_decay_period = 1000;

/// Recent outcomes, and the failures among them; both decay.
struct OutcomeTotals {
    double tried = 0, failed = 0;
    void fade(double part) { tried *= part, failed *= part; }
};

/// How much likelier it is that an endpoint is an outlier than that it fails as often as the others.
struct FailureLikelihood {
    double log_likelihood_ratio = 0;  // the endpoint is ejected at ejection_threshold
    OutcomeTotals recent;
    std::int64_t counted_at = 0;

    /// The recent failure rate of all other endpoints; `all` includes this one.
    double failure_rate_elsewhere(const OutcomeTotals& all, std::int64_t now) const {
        const double old = decay_since(now);
        return (all.failed - recent.failed * old + 5 * baseline_failure_rate) /
               (all.tried - recent.tried * old + 5);
    }
    /// Counts an outcome here and in `all`. `shared`: something else than the endpoint may well have caused a
    /// failure (setups share a store that health checks do without).
    void count(bool failed, bool shared, OutcomeTotals& all, std::int64_t now) {
        const double usual =
            std::clamp(failure_rate_elsewhere(all, now), shared ? shared_failure_rate : baseline_failure_rate,
                       outlier_failure_rate);
        recent.fade(decay_since(now));
        counted_at = now;
        ++recent.tried, ++all.tried;
        if (failed) ++recent.failed, ++all.failed;
        log_likelihood_ratio += failed ? std::log(outlier_failure_rate / usual)
                                       : std::log((1 - outlier_failure_rate) / (1 - usual));
        log_likelihood_ratio = std::clamp(log_likelihood_ratio, 0.0, 2 * ejection_threshold);
    }

  private:
    double decay_since(std::int64_t now) const {
        const std::int64_t periods = (now - counted_at) / outcome_decay_period;
        return std::pow(outcome_decay, static_cast<double>(periods));
    }
};

}  // namespace lemonstair::failure_detector
