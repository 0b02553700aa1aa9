/// Slow start: the part of its capacity that an endpoint may be given while it warms up after a start.
#pragma once

#include "balance/endpoint.h"

namespace lemonstair {

class NodeContext;

class SlowStart {
  public:
    explicit SlowStart(NodeContext& node);
    SlowStart(const SlowStart&) = delete;
    SlowStart& operator=(const SlowStart&) = delete;

    double slow_start_factor(const Endpoint& endpoint) const;
    bool is_warming_up(const Endpoint& endpoint) const;

  private:
    NodeContext& node_;
};

}  // namespace lemonstair
