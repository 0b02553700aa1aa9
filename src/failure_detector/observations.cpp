#include "failure_detector/observations.h"

#include <algorithm>

namespace lemonstair::failure_detector {

bool Observations::found(std::uint32_t node, Ticks when, Ticks now) {
    if (node >= nobody || when <= now - word_lasts || when > now + clocks_apart) return false;
    const auto known =
        std::find_if(words_.begin(), words_.end(), [&](const Observation& w) { return w.node == node; });
    Observation& w =
        known != words_.end()
            ? *known
            : *std::min_element(words_.begin(), words_.end(),
                                [](const Observation& a, const Observation& b) { return a.when < b.when; });
    if (w.when >= when) return false;
    w = {node, when};
    return true;
}

int Observations::count(Ticks now, Ticks since) const {
    return static_cast<int>(std::count_if(words_.begin(), words_.end(), [&](const Observation& w) {
        return w.node != nobody && w.when > now - word_lasts && w.when > since;
    }));
}

Two Observations::newest() const {
    auto sorted = words_;
    std::sort(sorted.begin(), sorted.end(),
              [](const Observation& a, const Observation& b) { return a.when > b.when; });
    Two out;
    std::copy_n(sorted.begin(), out.size(), out.begin());
    return out;
}

}  // namespace lemonstair::failure_detector
