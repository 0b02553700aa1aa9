/// Sends gossip to other nodes: items are gathered into one message a node until the call into the balancer
/// ends.
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
