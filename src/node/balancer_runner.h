/// Owns the balancer of this process and the actions that it has requested.
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
    /// Creates the balancer. Tests substitute another policy, or one that they can observe.
    using Factory = std::function<std::unique_ptr<Balancer>(BalancerConfig, BalancerDelegate&, Ticks now)>;
    /// `initial_endpoints`: the endpoint list of the configuration; ignored unless it is a JSON object.
    BalancerRunner(tunnel::TunnelStages& stages, PeerLink& peers, const json::Value& initial_endpoints,
                   Factory factory);
    /// Creates a new balancer. `endpoint_list` and `state` come from the process that this one replaces; both
    /// may be empty. If the state is invalid, this is logged and the balancer starts without it.
    void start(std::string_view endpoint_list, std::string_view state);
    /// Calls execute(action) for each action that the balancer has requested.
    template <class Execute>
    void run_actions(Execute&& execute) {
        actions_.run_all(execute);
    }
    /// All zero before the first start.
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
