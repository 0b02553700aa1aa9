#include "balance/gossip_sender.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "balance/constants.h"
#include "balance/node_context.h"

namespace lemonstair {

GossipSender::GossipSender(NodeContext& node) : node_(node), outbox_(node.delegate(), node.node_slots()) {}

}  // namespace lemonstair
