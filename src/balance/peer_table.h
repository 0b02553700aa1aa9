/// PeerTable: the nodes of the fleet, which of them are alive, and the consistent hash ring that selects live
/// nodes for a key.
#pragma once
#include <array>
#include <vector>

#include "balance/endpoint.h"
#include "balance/peer_state.h"
#include "balance/ring.h"

namespace lemonstair {

class NodeContext;

class PeerTable {
  public:
    explicit PeerTable(NodeContext& node);
    PeerTable(const PeerTable&) = delete;
    PeerTable& operator=(const PeerTable&) = delete;

    /// Whether a node has come up or gone down since the owners of load reports were last elected.
    bool ring_changed() const { return ring_changed_; }
    void mark_ring_changed() { ring_changed_ = true; }
    void mark_owners_elected() { ring_changed_ = false; }
    /// The next two live nodes in the cyclic order of their numbers, for a `step` of 1; the previous two for
    /// a `step` of the number of nodes - 1.
    NodePair next_alive(std::size_t step) const;
    bool is_alive(std::uint32_t node) const;
    /// Writes the chain of a key to `out`, tail first, and returns its length.
    std::size_t chain(std::uint64_t key, Ring::Chain& out) const;
    bool on_chain(std::uint64_t key, std::uint32_t node) const;
    /// The first live node on the ring from the point of a key.
    std::uint32_t first_alive(std::uint64_t key) const;
    std::vector<Peer>& peers() { return peers_; }
    Ring& ring() { return ring_; }

  private:
    friend class StateCodec;

    NodeContext& node_;
    std::vector<Peer> peers_;
    Ring ring_;
    bool ring_changed_ = true;
};

}  // namespace lemonstair
