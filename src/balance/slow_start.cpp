#include "balance/slow_start.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "balance/constants.h"
#include "balance/node_context.h"

namespace lemonstair {

SlowStart::SlowStart(NodeContext& node) : node_(node) {}

double SlowStart::slow_start_factor(const Endpoint& endpoint) const {
    const Ticks age = node_.now() - endpoint.started_at;
    if (endpoint.started_at <= 0 || node_.config().rules.slow_start_duration <= 0 ||
        age >= node_.config().rules.slow_start_duration)
        return 1;
    const double initial = node_.config().rules.slow_start_initial_factor;
    return initial + (1 - initial) * static_cast<double>(std::max<Ticks>(age, 0)) /
                         static_cast<double>(node_.config().rules.slow_start_duration);
}

bool SlowStart::is_warming_up(const Endpoint& endpoint) const { return slow_start_factor(endpoint) < 1; }

}  // namespace lemonstair
