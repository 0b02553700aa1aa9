/// Limits the rate at which all nodes together place new tunnels on an endpoint in slow start. Each node has
/// a quota of this rate (src/quota) and leases units of other nodes for tunnels that wait for one.
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

    /// The rate, in tunnels per second, at which all nodes together may place new tunnels on an endpoint in
    /// slow start. Within an overload window the units of that window can be spent, and those of earlier
    /// slots that have not expired; the rate is low enough for both.
    double slow_start_rate(const Endpoint& endpoint) const;
    /// Whether a new tunnel may be placed on the endpoint: it is not in slow start, or a unit of quota is
    /// left.
    bool slow_start_allows(std::uint32_t index) const;
    /// Requests units of other nodes' slots for the tunnel `index`, which waits for one. The tunnel waits no
    /// longer than lease_timeout if it can be placed on another endpoint.
    void request_lease(std::uint32_t index);
    /// Another node requests a unit of a slot; `slot` is the low 32 bits of its number. There is no answer
    /// when none can be granted.
    void on_lease_request(std::uint32_t sender, std::uint32_t endpoint_id, std::uint32_t slot);
    /// Another node granted a unit. False, without effect, if the grant is not valid.
    bool on_lease_grant(std::uint32_t sender, std::uint32_t endpoint_id, std::uint32_t slot);
    /// Starts a new schedule, in which no slot that has begun can be spent: another process that owned the
    /// state meanwhile may have spent its units.
    void restart_quota_schedule();
    const quota::QuotaSchedule& quota_schedule() const { return quota_schedule_; }

  private:
    // The time in seconds in which new tunnels fill an endpoint: the duration of slow start, or the mean
    // lifetime of tunnels if that is shorter.
    double fill_duration() const;
    // Slots that began before `incarnation_started_at` are not used: an earlier incarnation of this node, or
    // the process that ran it before, may have spent them.
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
