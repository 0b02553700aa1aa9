// Owns the balancer that decides for this process, and the actions that it asks for.
#pragma once

#include <functional>
#include <memory>
#include <string_view>

#include "balance/balance.h"
#include "json/json.h"
#include "node/deferred_actions.h"
#include "node/peer_link.h"
#include "tunnel/stages.h"

namespace lemonstair::node {

class BalancerRunner {
  public:
    // Makes the balancer; tests put another policy, or an observed one, in its place.
    using Factory = std::function<std::unique_ptr<Balancer>(BalancerConfig, BalancerDelegate&, Ticks now)>;
    // `initial_endpoints`: the list of the configuration, or no object.
    BalancerRunner(tunnel::TunnelStages& stages, PeerLink& peers, const json::Value& initial_endpoints,
                   Factory factory);
    // Makes the balancer anew. `endpoint_list` and `state` come from the process before this one; both may be
    // empty. A state that cannot be read is logged, and the balancer begins without it.
    void start(std::string_view endpoint_list, std::string_view state);
    // Calls carry_out(action) for each action that the balancer has asked for.
    template <class CarryOut>
    void run_actions(CarryOut&& carry_out) {
        actions_.run_all(carry_out);
    }
    // Zeros before the first start.
    EndpointCounts endpoint_counts() const {
        return balancer_ ? balancer_->endpoint_counts() : EndpointCounts{};
    }

  private:
    void make_balancer(std::string_view endpoint_list);

    tunnel::TunnelStages& stages_;
    json::Value initial_endpoints_;
    Factory factory_;
    DeferredActions actions_;
    std::unique_ptr<Balancer> balancer_;
};

}  // namespace lemonstair::node
