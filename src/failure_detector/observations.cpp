#include "failure_detector/observations.h"

#include <algorithm>

namespace lemonstair::failure_detector {

bool Observations::add(std::uint32_t node, Ticks when, Ticks now) {
    if (node >= no_observer || when <= now - observation_lifetime || when > now + max_clock_skew)
        return false;
    const auto known = std::find_if(observations_.begin(), observations_.end(),
                                    [&](const Observation& o) { return o.node == node; });
    Observation& observation =
        known != observations_.end()
            ? *known
            : *std::min_element(observations_.begin(), observations_.end(),
                                [](const Observation& a, const Observation& b) { return a.when < b.when; });
    if (observation.when >= when) return false;
    observation = {node, when};
    return true;
}

int Observations::count(Ticks now, Ticks since) const {
    return static_cast<int>(
        std::count_if(observations_.begin(), observations_.end(), [&](const Observation& observation) {
            return observation.node != no_observer && observation.when > now - observation_lifetime &&
                   observation.when > since;
        }));
}

ObservationPair Observations::newest() const {
    auto sorted = observations_;
    std::sort(sorted.begin(), sorted.end(),
              [](const Observation& a, const Observation& b) { return a.when > b.when; });
    ObservationPair out;
    std::copy_n(sorted.begin(), out.size(), out.begin());
    return out;
}

}  // namespace lemonstair::failure_detector
