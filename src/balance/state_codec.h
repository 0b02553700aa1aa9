/// StateCodec: the state of the decision modules as bytes, for the process that takes over in a hot restart.
/// Writing and reading share one description of the fields. Endpoints are named by their ids, because the
/// other process assigns its own indexes. The endpoint list, timers and the ring are left out, because the
/// other process gets or creates them itself; so are tunnels, which are transferred one by one.
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

    /// Appends the state.
    void write(std::string& into) const;
    /// Returns false if the bytes are malformed or do not fit this node's fleet or settings; the modules must
    /// then not be used. Times in the bytes are on the writer's clock, which is `clock_shift` behind this
    /// process's, and are converted; the stamps of records are not, since they do not belong to the clock of
    /// one process.
    bool read(std::string_view bytes, Ticks clock_shift);

    /// Appends the state of an open tunnel.
    static void write_tunnel(std::string& into, const TrackedTunnel& tunnel, std::uint32_t endpoint_id);
    /// Reads that state into `tunnel` and returns the id of its endpoint; `none` if the bytes are malformed.
    static std::uint32_t read_tunnel(std::string_view bytes, TrackedTunnel& tunnel, Ticks clock_shift);

  private:
    // Writes or reads the values that stand alone, outside of any list.
    template <class Io>
    void transfer_scalars(Io& io) const;
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
