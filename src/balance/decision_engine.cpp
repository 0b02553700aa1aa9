#include "balance/decision_engine.h"

#include <memory>
#include <utility>

#include "balance/constants.h"

namespace lemonstair {

DecisionEngine::DecisionEngine(BalancerConfig config, BalancerDelegate& delegate, Ticks now)
    : node_(std::move(config), delegate, now),
      endpoint_table_(node_),
      peer_table_(node_),
      gossip_(node_),
      slow_start_(node_),
      turnover_(endpoint_table_),
      gossip_budget_(node_, endpoint_table_),
      load_(node_, endpoint_table_, peer_table_, slow_start_, records_),
      load_cost_model_(node_, load_),
      tunnel_table_(endpoint_table_),
      admission_(node_, tunnel_table_),
      replicator_(node_, endpoint_table_, peer_table_, gossip_, gossip_budget_, load_, tunnel_table_,
                  affinity_, records_),
      affinity_(node_, endpoint_table_, peer_table_, gossip_, slow_start_, load_, load_cost_model_,
                slow_start_quota_, records_),
      slow_start_quota_(node_, endpoint_table_, gossip_, slow_start_, turnover_, load_, tunnel_table_,
                        placement_),
      health_checks_(node_, endpoint_table_, gossip_budget_, load_, outliers_, failure_gossip_),
      outliers_(node_, endpoint_table_, gossip_, slow_start_, load_, failure_gossip_),
      failure_gossip_(node_, endpoint_table_, peer_table_, gossip_, load_, health_checks_, outliers_),
      reporter_(node_, endpoint_table_, peer_table_, gossip_, gossip_budget_, load_, outliers_),
      peer_monitor_(node_, endpoint_table_, peer_table_, gossip_, gossip_budget_, load_, replicator_),
      placement_(node_, endpoint_table_, slow_start_, gossip_budget_, load_, load_cost_model_, affinity_,
                 slow_start_quota_),
      lookup_(node_, peer_table_, gossip_, tunnel_table_, replicator_, lifecycle_, records_),
      lifecycle_(node_, endpoint_table_, peer_table_, gossip_, slow_start_, turnover_, gossip_budget_, load_,
                 tunnel_table_, admission_, replicator_, slow_start_quota_, outliers_, placement_, lookup_,
                 records_),
      rebalancer_(node_, endpoint_table_, turnover_, load_, load_cost_model_, tunnel_table_, admission_,
                  affinity_, slow_start_quota_, placement_, records_),
      list_poller_(node_, endpoint_table_, peer_table_, gossip_budget_, load_, health_checks_, reporter_),
      gossip_handler_(node_, peer_table_, gossip_, peer_monitor_, replicator_, lookup_, reporter_, outliers_,
                      failure_gossip_, affinity_, slow_start_quota_, lifecycle_),
      state_codec_(node_, endpoint_table_, peer_table_, records_, turnover_, gossip_budget_, load_,
                   admission_, outliers_, reporter_, peer_monitor_, rebalancer_) {
    list_poller_.start_polling();
    reporter_.start_publishing();
    delegate.set_timer(now + tick_interval, NodeContext::tick_timer);
}

void DecisionEngine::set_time(Ticks now) { node_.set_time(now); }

void DecisionEngine::update_config(BalancerConfig config) {
    const bool window_changed = config.rules.overload_window != node_.config().rules.overload_window;
    node_.set_config(std::move(config));
    if (window_changed) slow_start_quota_.restart_quota_schedule();
}

void DecisionEngine::begin_endpoint_list(EndpointListKind kind) { list_poller_.begin_endpoint_list(kind); }

void DecisionEngine::add_endpoint(std::uint32_t id, std::uint32_t zone, std::uint32_t cell,
                                  EndpointState state, double size, Ticks started) {
    endpoint_table_.add_endpoint(id, zone, cell, state, size, started);
}

void DecisionEngine::end_endpoint_list() { list_poller_.end_endpoint_list(); }

void DecisionEngine::on_request(std::uint64_t id, const TunnelRequest& request) {
    const peer::FlushOnExit flush(gossip_.outbox());
    lifecycle_.on_request(id, request);
}

void DecisionEngine::adopt_open_tunnel(std::uint64_t id, const TunnelRequest& request,
                                       std::uint32_t endpoint_id) {
    const peer::FlushOnExit flush(gossip_.outbox());
    lifecycle_.adopt_open_tunnel(id, request, endpoint_id);
}

void DecisionEngine::on_opened(std::uint64_t id, int attempt, std::uint32_t, Ticks) {
    const peer::FlushOnExit flush(gossip_.outbox());
    lifecycle_.on_opened(id, attempt);
}

void DecisionEngine::on_ended(std::uint64_t id, int attempt, std::uint32_t, Outcome outcome, Ticks took,
                              bool settled) {
    const peer::FlushOnExit flush(gossip_.outbox());
    lifecycle_.on_ended(id, attempt, outcome, took, settled);
}

void DecisionEngine::on_client_disconnected(std::uint64_t id) { lifecycle_.on_client_disconnected(id); }

Reason DecisionEngine::may_write(std::uint64_t id, Ticks reserve) const {
    return lifecycle_.may_write(id, reserve);
}

void DecisionEngine::set_answer_deadline(Ticks when) { lifecycle_.set_answer_deadline(when); }

void DecisionEngine::on_load_changed(std::uint64_t id, double load) { lifecycle_.on_load_changed(id, load); }

void DecisionEngine::on_slow_messages(std::uint64_t, std::uint32_t endpoint_id, Ticks delay) {
    outliers_.on_slow_messages(endpoint_id, delay);
}

void DecisionEngine::on_unresponsive(std::uint32_t endpoint_id, Ticks span) {
    outliers_.on_unresponsive(endpoint_id, span);
}

void DecisionEngine::on_health_check(std::uint32_t endpoint_id, Outcome outcome, Ticks,
                                     const LoadReport& report) {
    health_checks_.on_health_check(endpoint_id, outcome, report);
}

void DecisionEngine::on_gossip(std::uint32_t node, std::span<const std::uint8_t> bytes) {
    const peer::FlushOnExit flush(gossip_.outbox());
    gossip_handler_.receive(node, bytes);
}

void DecisionEngine::on_timer(std::uint64_t label) {
    const peer::FlushOnExit flush(gossip_.outbox());
    if (label == NodeContext::tick_timer) return tick();
    lifecycle_.on_tunnel_timer(label);
}

EndpointCounts DecisionEngine::endpoint_counts() const { return endpoint_table_.count_endpoints(); }

void DecisionEngine::serialize_state(std::string& into) const { state_codec_.write(into); }

bool DecisionEngine::restore_state(std::string_view bytes, Ticks clock_shift) {
    const bool read = state_codec_.read(bytes, clock_shift);
    records_.for_each([this](const Record& record) { replicator_.observe_stamp(record.stamp); });
    slow_start_quota_.restart_quota_schedule();
    return read;
}

void DecisionEngine::resume_ownership() { slow_start_quota_.restart_quota_schedule(); }

bool DecisionEngine::serialize_tunnel(std::uint64_t id, std::string& into) const {
    return lifecycle_.serialize_tunnel(id, into);
}

bool DecisionEngine::restore_tunnel(std::uint64_t id, std::string_view bytes, Ticks clock_shift) {
    return lifecycle_.restore_tunnel(id, bytes, clock_shift);
}

void DecisionEngine::tick() {
    node_.delegate().set_timer(node_.now() + tick_interval, NodeContext::tick_timer);
    peer_monitor_.announce_start();
    list_poller_.poll_endpoint_list();
    load_.expire_pending_loads(load_.load_totals_known() ? gossip_budget_.load_totals_interval()
                                                         : placement_visible_after);
    outliers_.decay_outcomes();
    admission_.decay_setups();
    load_.decay_recent_loads();
    placement_.estimate_unseen_load();
    lifecycle_.retry_waiting();
    const double age_seconds = static_cast<double>(node_.now() - node_.started_at()) / second;
    turnover_.update_turnover(age_seconds);
    gossip_budget_.update_placement_rate(age_seconds);
    rebalancer_.refill_tokens();
    // All endpoints are reviewed the less often the more there are.
    if (node_.count_tick() % (1 + endpoint_table_.endpoints().size() / 64) == 0) review_endpoints();
    peer_monitor_.check_heartbeats();
    reporter_.publish_load_totals_when_due();
    replicator_.refresh();
}

void DecisionEngine::review_endpoints() {
    if (peer_table_.ring_changed()) reporter_.elect_report_owners();
    load_.update_fleet_estimates();
    if (node_.config().limits.health_checks_enabled) health_checks_.send_health_checks();
    auto& endpoints = endpoint_table_.endpoints();
    for (std::uint32_t index = 0; index < endpoints.size(); ++index) rebalancer_.migrate_excess(index);
    const bool reports_in_use = !load_.load_totals_known() && node_.gossip_enabled();
    for (auto& endpoint : endpoints) {
        failure_gossip_.report_failure(endpoint);
        outliers_.readmit_expired(endpoint);
        if (reports_in_use && failure_gossip_.failure_is_due(endpoint))
            failure_gossip_.publish_failure(endpoint);
    }
    if (failure_gossip_.isolated()) failure_gossip_.check_isolation();
    if (reports_in_use) reporter_.publish_reports();
}

std::unique_ptr<Balancer> Balancer::start(BalancerConfig config, BalancerDelegate& delegate, Ticks now) {
    return std::make_unique<DecisionEngine>(std::move(config), delegate, now);
}

}  // namespace lemonstair
