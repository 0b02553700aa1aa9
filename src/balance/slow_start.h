/// Slow start: after a start an endpoint warms up, and only a part of its capacity may be used meanwhile.
#pragma once

#include "balance/endpoint.h"

namespace lemonstair {

class NodeContext;

class SlowStart {
  public:
    explicit SlowStart(NodeContext& node);
    SlowStart(const SlowStart&) = delete;
    SlowStart& operator=(const SlowStart&) = delete;

    /// The usable share of the endpoint's capacity: rises linearly over the slow start, from the configured
    /// initial factor to 1.
    double slow_start_factor(const Endpoint& endpoint) const;
    bool is_warming_up(const Endpoint& endpoint) const;

  private:
    NodeContext& node_;
};

}  // namespace lemonstair
