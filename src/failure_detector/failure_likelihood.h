/// Sequential probability ratio test on the outcomes of an endpoint. It compares the hypothesis that half of
/// them fail with the hypothesis that as many fail as on the other endpoints, since failures that occur
/// everywhere are not an endpoint's fault. No I/O; the clock is an argument, in tenths of a millisecond.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace lemonstair::failure_detector {

constexpr double outlier_failure_rate = 0.5,  // the assumed failure rate of an outlier
    baseline_failure_rate = 0.015,            // the lowest failure rate that is assumed of other endpoints
    shared_failure_rate = 0.1,  // the same, for failures that may have a cause that endpoints share
    ejection_threshold = 6.0;   // the log-likelihood ratio at which an endpoint is ejected
/// The exponential decay of outcome counts, which makes them look back about 3 s.
constexpr double outcome_decay = 0.967;              // per outcome_decay_period
constexpr std::int64_t outcome_decay_period = 1000;  // 0.1 s

/// The number of recent outcomes and of the failures among them; both decay.
struct OutcomeTotals {
    double tried = 0, failed = 0;
    void decay(double factor) { tried *= factor, failed *= factor; }
};

/// How much more likely it is that an endpoint is an outlier than that it fails as often as the others.
struct FailureLikelihood {
    double log_likelihood_ratio = 0;  // the endpoint is ejected at ejection_threshold
    OutcomeTotals recent;
    std::int64_t counted_at = 0;  // the last outcome; `recent` has decayed up to then

    /// The recent failure rate of all other endpoints, with a prior of five outcomes at
    /// baseline_failure_rate. `all` includes this endpoint.
    double failure_rate_elsewhere(const OutcomeTotals& all, std::int64_t now) const {
        const double factor = decay_since(now);
        return (all.failed - recent.failed * factor + 5 * baseline_failure_rate) /
               (all.tried - recent.tried * factor + 5);
    }
    /// Counts an outcome here and in `all`. `shared`: a failure may well have a cause that endpoints share,
    /// such as a store that setups need and health checks do not.
    void count(bool failed, bool shared, OutcomeTotals& all, std::int64_t now) {
        const double rate_elsewhere =
            std::clamp(failure_rate_elsewhere(all, now), shared ? shared_failure_rate : baseline_failure_rate,
                       outlier_failure_rate);
        recent.decay(decay_since(now));
        counted_at = now;
        ++recent.tried, ++all.tried;
        if (failed) ++recent.failed, ++all.failed;
        log_likelihood_ratio += failed ? std::log(outlier_failure_rate / rate_elsewhere)
                                       : std::log((1 - outlier_failure_rate) / (1 - rate_elsewhere));
        log_likelihood_ratio = std::clamp(log_likelihood_ratio, 0.0, 2 * ejection_threshold);
    }

  private:
    double decay_since(std::int64_t now) const {
        const std::int64_t periods = (now - counted_at) / outcome_decay_period;
        return std::pow(outcome_decay, static_cast<double>(periods));
    }
};

}  // namespace lemonstair::failure_detector
