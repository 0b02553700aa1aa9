#include "node/balancer_runner.h"

namespace lemonstair::node {

BalancerRunner::BalancerRunner(tunnel::TunnelStages& stages, PeerLink& peers,
                               const json::Value& initial_endpoints, Factory factory)
    : stages_(stages),
      initial_endpoints_(initial_endpoints.with_context("known")),
      factory_(std::move(factory)),
      actions_(stages.registry.loop, peers, stages.registry.log, stages.registry.resource_counters) {}

void BalancerRunner::make_balancer(std::string_view endpoint_list) {
    tunnel::TunnelRegistry& registry = stages_.registry;
    const Ticks now = registry.loop.now();
    actions_.retire_balancer();
    balancer_ = factory_(registry.config.balancer, actions_, now);
    actions_.set_balancer(*balancer_);
    registry.balancer = balancer_.get();
    if (initial_endpoints_.type() == json::Type::object)
        registry.endpoints.apply(initial_endpoints_, registry.balancer_now(), discovery::ListSource::cache,
                                 now);
    json::Document document;
    if (!endpoint_list.empty() && document.parse(endpoint_list))
        registry.endpoints.apply_inherited(document.root().with_context("inherited list"),
                                           registry.balancer_now(), stages_.transfer.clock_shift(), now);
}

void BalancerRunner::start(std::string_view endpoint_list, std::string_view state) {
    make_balancer(endpoint_list);
    if (state.empty()) return;
    if (stages_.registry.balancer_now().restore_state(state, stages_.transfer.clock_shift())) return;
    stages_.registry.log.error()
        << "hot restart: the balancer state of the old process is invalid; starting without it";
    make_balancer(endpoint_list);
}

}  // namespace lemonstair::node
