/// The endpoints that this node knows, each with a stable index, and their states and start times as listed
/// by service discovery. An endpoint that is no longer listed stays in the table in state `removed`.
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

    /// Starts to receive a list, complete or of changes.
    void begin_list();
    /// Marks the endpoints that a complete list did not contain as removed. Called at the end of the list.
    void remove_unlisted();
    /// Null for an unknown id.
    Endpoint* find_endpoint(std::uint32_t id);
    /// Adds a listed endpoint, or updates it. A later start than the last one listed begins a new
    /// incarnation.
    void add_endpoint(std::uint32_t id, std::uint32_t zone, std::uint32_t cell, EndpointState state,
                      double size, Ticks started);
    /// Whether gossip alone may eject one more endpoint in the zone and in the cell of `one`.
    bool gossip_may_eject(const Endpoint& one) const;
    /// Whether no new tunnel is placed on the endpoint: it is draining, removed or ejected.
    bool is_excluded(const Endpoint& endpoint) const;
    EndpointCounts count_endpoints() const;
    std::vector<Endpoint>& endpoints() { return endpoints_; }
    const std::vector<std::uint32_t>& endpoint_ids() const { return endpoint_ids_; }
    const IdIndex& endpoint_by_id() const { return endpoint_by_id_; }

  private:
    friend class StateCodec;

    // The grace period of a drain starts with the first notification; later state changes do not restart it.
    void set_state(Endpoint& endpoint, EndpointState state);
    // Counts the active endpoints that `same` selects and the ejected ones among them, by kind of evidence.
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
    IdIndex endpoint_by_id_;                   // index by id
};

}  // namespace lemonstair
