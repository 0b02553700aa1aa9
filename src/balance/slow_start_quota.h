/// The fleet-wide rate of new tunnels to an endpoint in slow start: each node has a quota of it (src/quota)
/// and leases units of other nodes for tunnels that wait for one.
#pragma once

#include "balance/endpoint.h"

namespace lemonstair {

class EndpointTable;
class GossipSender;
class LoadEstimator;
class NodeContext;
class Placement;
class SlowStart;
class TunnelTable;
class TunnelTurnover;

class SlowStartQuota {
  public:
    SlowStartQuota(NodeContext& node, EndpointTable& endpoint_table, GossipSender& gossip,
                   SlowStart& slow_start, TunnelTurnover& turnover, LoadEstimator& load,
                   TunnelTable& tunnel_table, Placement& placement);
    SlowStartQuota(const SlowStartQuota&) = delete;
    SlowStartQuota& operator=(const SlowStartQuota&) = delete;

    /// What all nodes together may send a cold endpoint a second: each has its share (src/budget), and
    /// borrows units for tunnels that wait for one. In a window of `fall` come units of the window and of
    /// `keep` before it.
    double slow_start_rate(const Endpoint& endpoint) const;
    bool slow_start_allows(std::uint32_t index) const;
    /// A tunnel waits for want of a unit: some are asked for where they lie. Not for long where it could go
    /// elsewhere.
    void request_lease(std::uint32_t index);
    void on_lease_request(std::uint32_t sender, std::uint32_t endpoint_id, std::uint32_t slot);
    bool on_lease_grant(std::uint32_t sender, std::uint32_t endpoint_id, std::uint32_t slot);
    /// Guards against two dealings of one budget: what was spent by the one before is of an earlier life.
    void restart_quota_schedule();
    const quota::QuotaSchedule& quota_schedule() const { return quota_schedule_; }

  private:
    friend class StateCodec;

    // A cold endpoint takes new tunnels as fast as fills it over its warm-up; where they end sooner,
    // faster.
    double fill_duration() const;
    // What began before may have been spent by an earlier life, or by the process that was the node before.
    void start_quota_schedule(Ticks born_at);

    NodeContext& node_;
    EndpointTable& endpoint_table_;
    GossipSender& gossip_;
    SlowStart& slow_start_;
    TunnelTurnover& turnover_;
    LoadEstimator& load_;
    TunnelTable& tunnel_table_;
    Placement& placement_;
    quota::QuotaSchedule quota_schedule_;
};

}  // namespace lemonstair
