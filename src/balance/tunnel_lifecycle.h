/// The life of a tunnel from its request to its end: attempts, retries, waiting and final answers.
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

    void on_request(std::uint64_t id, const TunnelRequest& a);
    void on_tunnel_timer(std::uint64_t label);
    void adopt_open_tunnel(std::uint64_t id, const TunnelRequest& a, std::uint32_t endpoint_id);
    void on_opened(std::uint64_t id, int setup);
    void on_ended(std::uint64_t id, int setup, Outcome ending, Ticks took, bool settled);
    Reason may_write(std::uint64_t id, Ticks reserve) const;
    void set_answer_deadline(Ticks when);
    void on_client_disconnected(std::uint64_t id);
    void on_load_changed(std::uint64_t id, double load);
    void resume(std::uint32_t index, std::uint32_t endpoint_id);
    void retry_waiting();
    bool serialize_tunnel(std::uint64_t id, std::string& into) const;
    bool restore_tunnel(std::uint64_t id, std::string_view bytes, Ticks clock_shift);

  private:
    friend class StateCodec;

    void place(std::uint32_t index);
    // Held there: what the endpoint holds already asks for nothing more of it.
    void send(std::uint32_t index, std::uint32_t endpoint_index, bool held_there = false);
    // The final answer of a tunnel that is given up: at once, and a decline wherever that is true.
    void finish(std::uint32_t index, Reason why);
    void release(std::uint32_t index);
    std::uint32_t track_tunnel(std::uint64_t id, const TunnelRequest& a);
    void retry(std::uint32_t index);
    // To what already holds the tunnel, until the drain's grace is over.
    bool may_send_sticky(const Endpoint& endpoint) const;
    attempt_policy::Allowance allowance_of(const TrackedTunnel& tunnel) const;
    static attempt_policy::History history_of(const TrackedTunnel& tunnel);
    Reason may_retry(const TrackedTunnel& tunnel, Outcome ending);

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
