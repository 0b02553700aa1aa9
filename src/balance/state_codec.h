/// The state that outlives the process, as bytes for the process that takes its place (hot restart): one
/// description serves writing and reading. Endpoints go by their ids, since the other process numbers them by
/// itself; what it learns anew at once (the watch, timers, the ring) is left out.
#pragma once
#include <cstdint>
#include <string>
#include <string_view>

#include "balance/endpoint.h"

namespace lemonstair {

namespace serialization {
class Reader;
}

class AdmissionControl;
class EndpointTable;
class GossipBudget;
class LoadEstimator;
class LoadReporter;
class NodeContext;
class OutlierDetector;
class PeerMonitor;
class PeerTable;
class Rebalancer;
class RecordTable;
class TunnelTurnover;

class StateCodec {
  public:
    StateCodec(NodeContext& node, EndpointTable& endpoint_table, PeerTable& peer_table, RecordTable& records,
               TunnelTurnover& turnover, GossipBudget& gossip_budget, LoadEstimator& load,
               AdmissionControl& admission, OutlierDetector& outliers, LoadReporter& reporter,
               PeerMonitor& peer_monitor, Rebalancer& rebalancer);
    StateCodec(const StateCodec&) = delete;
    StateCodec& operator=(const StateCodec&) = delete;

    void write(std::string& into) const;
    /// False where the bytes are malformed or of another fleet; then what was read must not be used. Times
    /// are on the writer's clock, which is `clock_shift` behind this process's; stamps belong to no clock.
    bool read(std::string_view bytes, Ticks clock_shift);

    /// An open tunnel.
    static void write_tunnel(std::string& into, const TrackedTunnel& tunnel, std::uint32_t endpoint_id);
    /// Returns the id of the tunnel's endpoint; `none` where the bytes are malformed.
    static std::uint32_t read_tunnel(std::string_view bytes, TrackedTunnel& tunnel, Ticks clock_shift);

  private:
    template <class Io>
    void transfer_figures(Io& io) const;
    void read_endpoints(serialization::Reader& in, Ticks clock_shift);
    void read_placements(serialization::Reader& in, Ticks clock_shift);
    void read_records(serialization::Reader& in, Ticks clock_shift);

    NodeContext& node_;
    EndpointTable& endpoint_table_;
    PeerTable& peer_table_;
    RecordTable& records_;
    TunnelTurnover& turnover_;
    GossipBudget& gossip_budget_;
    LoadEstimator& load_;
    AdmissionControl& admission_;
    OutlierDetector& outliers_;
    LoadReporter& reporter_;
    PeerMonitor& peer_monitor_;
    Rebalancer& rebalancer_;
};

}  // namespace lemonstair
