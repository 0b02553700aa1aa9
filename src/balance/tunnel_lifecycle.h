/// TunnelLifecycle drives each tunnel from its request to its end: attempts, retries, waiting and final
/// answers.
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

    /// Rejects or places a new tunnel; looks up the record of one that arrives mid-flow.
    void on_request(std::uint64_t id, const TunnelRequest& request);
    /// A lookup or a wait for a lease may have timed out. Timers of tunnels that have ended are ignored.
    void on_tunnel_timer(std::uint64_t label);
    /// Registers a tunnel that is already open; without effect if its endpoint is not known.
    void adopt_open_tunnel(std::uint64_t id, const TunnelRequest& request, std::uint32_t endpoint_id);
    void on_opened(std::uint64_t id, int attempt);
    /// An attempt or an open tunnel has ended; `settled`: its client has the final answer already.
    void on_ended(std::uint64_t id, int attempt, Outcome outcome, Ticks took, bool settled);
    /// Whether the pending attempt may still be written within `reserve` (see attempt_policy.h).
    Reason may_write(std::uint64_t id, Ticks reserve) const;
    /// Shortens the deadlines and waits of the present tunnels to this time. A pending attempt keeps the
    /// max_wait that it was started with.
    void set_answer_deadline(Ticks when);
    void on_client_disconnected(std::uint64_t id);
    /// `load` in standard cores.
    void on_load_changed(std::uint64_t id, double load);
    /// Sends a tunnel to the endpoint that its record names, if that endpoint still holds it; otherwise
    /// places it anew. `endpoint_id`: `none` if no record was found.
    void resume(std::uint32_t index, std::uint32_t endpoint_id);
    /// Tries again to place each waiting tunnel.
    void retry_waiting();
    /// Hot restart. Both return false, without effect: serialize_tunnel if the tunnel is not open,
    /// restore_tunnel if the bytes cannot be used or the endpoint is not known.
    bool serialize_tunnel(std::uint64_t id, std::string& into) const;
    bool restore_tunnel(std::uint64_t id, std::string_view bytes, Ticks clock_shift);

  private:
    // Chooses an endpoint and starts an attempt there. If none can be chosen, the tunnel waits or gets its
    // final answer.
    void place(std::uint32_t index);
    // Starts an attempt. `is_sticky`: the endpoint already holds the tunnel, so no slow-start quota is spent.
    void send(std::uint32_t index, std::uint32_t endpoint_index, bool is_sticky = false);
    // Gives the final answer and forgets the tunnel: a rejection if a retry by the client is certainly
    // harmless, otherwise a failure.
    void finish(std::uint32_t index, Reason reason);
    // Forgets the tunnel, and its record unless the key has a newer one.
    void release(std::uint32_t index);
    // Registers a tunnel in state idle and returns its index.
    std::uint32_t track_tunnel(std::uint64_t id, const TunnelRequest& request);
    // Tries again to place a waiting tunnel; gives the final answer when its wait is over.
    void retry(std::uint32_t index);
    // Whether a tunnel may be sent to the endpoint that holds it: always until its drain grace ends.
    bool may_send_sticky(const Endpoint& endpoint) const;
    attempt_policy::TunnelLimits limits_of(const TrackedTunnel& tunnel) const;
    static attempt_policy::History history_of(const TrackedTunnel& tunnel);
    // Whether a tunnel may be retried after an attempt with this outcome; the only place that decides this.
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
    std::vector<std::uint32_t> retried_tunnels_;  // a copy: retries change the list of waiting tunnels
};

}  // namespace lemonstair
