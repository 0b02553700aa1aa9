/// DecisionEngine implements the Balancer interface: it owns the decision modules, connects them to each
/// other, passes each call to the module that handles it, and runs the periodic tick. One engine decides for
/// one node.
#pragma once
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

#include "balance/admission_control.h"
#include "balance/balance.h"
#include "balance/endpoint_list_poller.h"
#include "balance/endpoint_table.h"
#include "balance/failure_gossip.h"
#include "balance/gossip_budget.h"
#include "balance/gossip_handler.h"
#include "balance/gossip_sender.h"
#include "balance/group_affinity.h"
#include "balance/health_check_schedule.h"
#include "balance/load_cost.h"
#include "balance/load_estimator.h"
#include "balance/load_reporter.h"
#include "balance/node_context.h"
#include "balance/outlier_detector.h"
#include "balance/peer_monitor.h"
#include "balance/peer_table.h"
#include "balance/placement.h"
#include "balance/rebalancer.h"
#include "balance/record_lookup.h"
#include "balance/record_replicator.h"
#include "balance/record_table.h"
#include "balance/slow_start.h"
#include "balance/slow_start_quota.h"
#include "balance/state_codec.h"
#include "balance/tunnel_lifecycle.h"
#include "balance/tunnel_table.h"
#include "balance/tunnel_turnover.h"

namespace lemonstair {

class DecisionEngine final : public Balancer {
  public:
    DecisionEngine(BalancerConfig config, BalancerDelegate& delegate, Ticks now);

    void set_time(Ticks now) override;
    void update_config(BalancerConfig config) override;
    void begin_endpoint_list(EndpointListKind kind) override;
    void add_endpoint(std::uint32_t id, std::uint32_t zone, std::uint32_t cell, EndpointState state,
                      double size, Ticks started) override;
    void end_endpoint_list() override;
    void on_request(std::uint64_t id, const TunnelRequest& request) override;
    void adopt_open_tunnel(std::uint64_t id, const TunnelRequest& request,
                           std::uint32_t endpoint_id) override;
    void on_opened(std::uint64_t id, int attempt, std::uint32_t endpoint_id, Ticks took) override;
    void on_ended(std::uint64_t id, int attempt, std::uint32_t endpoint_id, Outcome outcome, Ticks took,
                  bool settled) override;
    void on_client_disconnected(std::uint64_t id) override;
    Reason may_write(std::uint64_t id, Ticks reserve) const override;
    void set_answer_deadline(Ticks when) override;
    void on_load_changed(std::uint64_t id, double load) override;
    void on_slow_messages(std::uint64_t id, std::uint32_t endpoint_id, Ticks delay) override;
    void on_unresponsive(std::uint32_t endpoint_id, Ticks span) override;
    void on_health_check(std::uint32_t endpoint_id, Outcome outcome, Ticks took,
                         const LoadReport& report) override;
    void on_gossip(std::uint32_t node, std::span<const std::uint8_t> bytes) override;
    void on_timer(std::uint64_t label) override;
    EndpointCounts endpoint_counts() const override;
    void serialize_state(std::string& into) const override;
    bool restore_state(std::string_view bytes, Ticks clock_shift) override;
    void resume_ownership() override;
    bool serialize_tunnel(std::uint64_t id, std::string& into) const override;
    bool restore_tunnel(std::uint64_t id, std::string_view bytes, Ticks clock_shift) override;

  private:
    void tick();
    // Health checks, migrations, and reports on each endpoint.
    void review_endpoints();

    NodeContext node_;
    EndpointTable endpoint_table_;
    RecordTable records_;
    PeerTable peer_table_;
    GossipSender gossip_;
    SlowStart slow_start_;
    TunnelTurnover turnover_;
    GossipBudget gossip_budget_;
    LoadEstimator load_;
    LoadCost load_cost_model_;
    TunnelTable tunnel_table_;
    AdmissionControl admission_;
    RecordReplicator replicator_;
    GroupAffinity affinity_;
    SlowStartQuota slow_start_quota_;
    HealthCheckSchedule health_checks_;
    OutlierDetector outliers_;
    FailureGossip failure_gossip_;
    LoadReporter reporter_;
    PeerMonitor peer_monitor_;
    Placement placement_;
    RecordLookup lookup_;
    TunnelLifecycle lifecycle_;
    Rebalancer rebalancer_;
    EndpointListPoller list_poller_;
    GossipHandler gossip_handler_;
    StateCodec state_codec_;
};

}  // namespace lemonstair
