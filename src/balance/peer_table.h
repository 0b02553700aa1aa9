/// The nodes of the fleet: which are alive, and the consistent hash ring that chooses among the live ones.
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

    bool ring_changed() const { return ring_changed_; }
    void mark_ring_changed() { ring_changed_ = true; }
    void mark_owners_elected() { ring_changed_ = false; }
    /// The next two live nodes by number, or with `step` = all but one the previous two.
    NodePair next_alive(std::size_t step) const;
    bool is_alive(std::uint32_t node) const;
    std::size_t chain(std::uint64_t key, Ring::Chain& out) const;
    bool on_chain(std::uint64_t key, std::uint32_t node) const;
    std::uint32_t first_alive(std::uint64_t place) const;
    std::vector<Peer>& peers() { return peers_; }
    Ring& ring() { return ring_; }

  private:
    friend class StateCodec;

    NodeContext& node_;
    std::vector<Peer> peers_;
    Ring ring_;
    bool ring_changed_ = true;  // since report owners were last elected
};

}  // namespace lemonstair
