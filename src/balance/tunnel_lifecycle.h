/// Drives each tunnel from its request to its end: attempts, retries, waiting and final answers.
#pragma once
#include <string>
#include <string_view>
#include <vector>

#include "balance/attempt_policy.h"
#include "balance/endpoint.h"
#include "balance/state_codec.h"

namespace lemonstair {

class AdmissionControl;
class EndpointTable;
class GossipBudget;
class GossipSender;
class LoadEstimator;
class NodeContext;
class OutlierDetector;
class PeerTable;
class Placement;
class RecordLookup;
class RecordReplicator;
class RecordTable;
class SlowStart;
class SlowStartQuota;
class TunnelTable;
class TunnelTurnover;

class TunnelLifecycle {
  public:
    TunnelLifecycle(NodeContext& node, EndpointTable& endpoint_table, PeerTable& peer_table,
                    GossipSender& gossip, SlowStart& slow_start, TunnelTurnover& turnover,
                    GossipBudget& gossip_budget, LoadEstimator& load, TunnelTable& tunnel_table,
                    AdmissionControl& admission, RecordReplicator& replicator,
                    SlowStartQuota& slow_start_quota, OutlierDetector& outliers, Placement& placement,
                    RecordLookup& lookup, RecordTable& records);
    TunnelLifecycle(const TunnelLifecycle&) = delete;
    TunnelLifecycle& operator=(const TunnelLifecycle&) = delete;

    /// A new tunnel, or one met mid-flow: rejects it, looks its record up, or places it.
    void on_request(std::uint64_t id, const TunnelRequest& request);
    /// A lookup or a wait for a lease has timed out.
    void on_tunnel_timer(std::uint64_t label);
    /// A tunnel that is already open to an endpoint.
    void adopt_open_tunnel(std::uint64_t id, const TunnelRequest& request, std::uint32_t endpoint_id);
    void on_opened(std::uint64_t id, int attempt);
    /// An attempt or an open tunnel has ended; `settled`: its client has the final answer already.
    void on_ended(std::uint64_t id, int attempt, Outcome outcome, Ticks took, bool settled);
    /// Whether the attempt that is out may still be written within `reserve` (see attempt_policy).
    Reason may_write(std::uint64_t id, Ticks reserve) const;
    void set_answer_deadline(Ticks when);
    void on_client_disconnected(std::uint64_t id);
    void on_load_changed(std::uint64_t id, double load);
    /// Sends a tunnel to the endpoint that its record names (an id, or none), if that still holds it.
    void resume(std::uint32_t index, std::uint32_t endpoint_id);
    /// Chooses again for each waiting tunnel.
    void retry_waiting();
    /// Hot restart. False where the tunnel is not open, or the bytes cannot be used.
    bool serialize_tunnel(std::uint64_t id, std::string& into) const;
    bool restore_tunnel(std::uint64_t id, std::string_view bytes, Ticks clock_shift);

  private:
    void place(std::uint32_t index);
    // Starts an attempt. `is_sticky`: the endpoint holds the tunnel already, so no slow-start quota is spent.
    void send(std::uint32_t index, std::uint32_t endpoint_index, bool is_sticky = false);
    // Gives the final answer: a rejection wherever a retry is certainly harmless, else a failure.
    void finish(std::uint32_t index, Reason reason);
    void release(std::uint32_t index);
    std::uint32_t track_tunnel(std::uint64_t id, const TunnelRequest& request);
    void retry(std::uint32_t index);
    // Whether the endpoint that holds a tunnel may be sent it: until the grace of a drain is over.
    bool may_send_sticky(const Endpoint& endpoint) const;
    attempt_policy::TunnelLimits limits_of(const TrackedTunnel& tunnel) const;
    static attempt_policy::History history_of(const TrackedTunnel& tunnel);
    // The one place that decides whether a retry may begin.
    Reason may_retry(const TrackedTunnel& tunnel, Outcome outcome);

    NodeContext& node_;
    EndpointTable& endpoint_table_;
    PeerTable& peer_table_;
    GossipSender& gossip_;
    SlowStart& slow_start_;
    TunnelTurnover& turnover_;
    GossipBudget& gossip_budget_;
    LoadEstimator& load_;
    TunnelTable& tunnel_table_;
    AdmissionControl& admission_;
    RecordReplicator& replicator_;
    SlowStartQuota& slow_start_quota_;
    OutlierDetector& outliers_;
    Placement& placement_;
    RecordLookup& lookup_;
    RecordTable& records_;
    std::vector<std::uint32_t> retried_tunnels_;
};

}  // namespace lemonstair
