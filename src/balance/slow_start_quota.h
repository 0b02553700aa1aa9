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

    /// The rate of new tunnels, a second, that all nodes together may send an endpoint in slow start. In an
    /// overload window come the units of the window and those still spendable from before it.
    double slow_start_rate(const Endpoint& endpoint) const;
    bool slow_start_allows(std::uint32_t index) const;
    /// Requests units of other nodes' slots for a waiting tunnel; it waits only briefly where it could be
    /// placed elsewhere.
    void request_lease(std::uint32_t index);
    void on_lease_request(std::uint32_t sender, std::uint32_t endpoint_id, std::uint32_t slot);
    bool on_lease_grant(std::uint32_t sender, std::uint32_t endpoint_id, std::uint32_t slot);
    /// Starts anew, so that no unit is spent twice: earlier units may have been spent by the previous owner
    /// of the state.
    void restart_quota_schedule();
    const quota::QuotaSchedule& quota_schedule() const { return quota_schedule_; }

  private:
    // The time, in s, over which new tunnels fill an endpoint: its slow start, or the lifetime of tunnels
    // where that is shorter.
    double fill_duration() const;
    // Slots begun earlier may have been spent by an earlier incarnation, or by the process that ran the
    // node before.
    void start_quota_schedule(Ticks incarnation_started_at);

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
