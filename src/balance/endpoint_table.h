/// The endpoints that this node knows, by a stable index each, with their states and start times as service
/// discovery lists them. An endpoint that is listed no more stays, as removed.
#pragma once
#include <vector>

#include "balance/endpoint.h"

namespace lemonstair {

class NodeContext;

class EndpointTable {
  public:
    explicit EndpointTable(NodeContext& node);
    EndpointTable(const EndpointTable&) = delete;
    EndpointTable& operator=(const EndpointTable&) = delete;

    /// Starts receiving a list.
    void begin_list();
    /// A complete list has been received: what it did not name is removed.
    void remove_unlisted();
    Endpoint* find_endpoint(std::uint32_t id);
    void add_endpoint(std::uint32_t id, std::uint32_t zone, std::uint32_t cell, EndpointState state,
                      double size, Ticks started);
    /// Whether gossip alone may eject one more endpoint of this one's zone and cell.
    bool gossip_may_eject(const Endpoint& one) const;
    bool is_excluded(const Endpoint& endpoint) const;
    EndpointCounts count_endpoints() const;
    std::vector<Endpoint>& endpoints() { return endpoints_; }
    const std::vector<std::uint32_t>& endpoint_ids() const { return endpoint_ids_; }
    const IdIndex& endpoint_by_id() const { return endpoint_by_id_; }

  private:
    friend class StateCodec;

    // The grace of a drain runs from the first notification, whatever follows.
    void set_state(Endpoint& endpoint, EndpointState state);
    // Ejected endpoints among those that `same` selects, by the kind of evidence.
    template <class Same>
    failure_detector::EjectionCounts ejection_counts(Same&& same) const {
        failure_detector::EjectionCounts out;
        for (const Endpoint& endpoint : endpoints_) {
            if (endpoint.state != EndpointState::active || !same(endpoint)) continue;
            ++out.active;
            if (endpoint.ejected)
                ++(endpoint.gossip_ejection_until != 0 ? out.by_gossip : out.by_own_evidence);
        }
        return out;
    }

    NodeContext& node_;
    std::vector<Endpoint> endpoints_;
    std::vector<std::uint32_t> endpoint_ids_;  // by index
    IdIndex endpoint_by_id_;
};

}  // namespace lemonstair
