/// GossipSender sends gossip to other nodes. Items are collected into one message for each node until the
/// current call into the Balancer ends.
#pragma once

#include "balance/endpoint.h"
#include "balance/node_context.h"
#include "balance/outbox.h"

namespace lemonstair {

class GossipSender {
  public:
    explicit GossipSender(NodeContext& node);
    GossipSender(const GossipSender&) = delete;
    GossipSender& operator=(const GossipSender&) = delete;

    /// Adds an item to the message for a node; does nothing if gossip is off or `node` is this node or
    /// `none`. `add(message)` adds the item and returns whether it fits.
    template <class Add>
    void post(std::uint32_t node, Add&& add) {
        if (node_.gossip_enabled() && node != node_.config().own_node && node != none)
            outbox_.post(node, add);
    }
    peer::Outbox& outbox() { return outbox_; }

  private:
    NodeContext& node_;
    peer::Outbox outbox_;
};

}  // namespace lemonstair
