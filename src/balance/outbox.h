/// Outbox: collects items into one message for each node until they are sent.
#pragma once
#include <cstdint>
#include <vector>

#include "balance/balance.h"
#include "peer/codec.h"

namespace lemonstair::peer {

class Outbox {
  public:
    /// For the nodes numbered 0 to nodes - 1.
    Outbox(BalancerDelegate& delegate, std::size_t nodes) : delegate_(delegate), pending_(nodes) {}
    /// Adds an item for one node; a message that has no room for it is sent first. `add(message)` adds the
    /// item and returns whether it fits.
    template <class Add>
    void post(std::uint32_t node, Add&& add) {
        has_pending_ = true;
        if (add(pending_[node])) return;
        send(node);
        add(pending_[node]);
    }
    /// Sends all collected messages.
    void flush() {
        for (std::uint32_t node = 0; has_pending_ && node < pending_.size(); ++node)
            if (!pending_[node].empty()) send(node);
        has_pending_ = false;
    }
    /// Sends a message with one item to all nodes at once.
    template <class Add>
    void broadcast(Add&& add) {
        Message message;
        add(message);
        delegate_.broadcast_gossip(message.bytes());
    }
    /// Sends items to all nodes at once, in as many messages as they need, but at least one. `fill(post)`
    /// calls `post(add)` for each item.
    template <class Fill>
    void broadcast_items(Fill&& fill) {
        Message message;
        fill([&](auto&& add) {
            if (add(message)) return;
            delegate_.broadcast_gossip(message.bytes());
            message.clear();
            add(message);
        });
        delegate_.broadcast_gossip(message.bytes());
    }

  private:
    void send(std::uint32_t node) {
        delegate_.send_gossip(node, pending_[node].bytes());
        pending_[node].clear();
    }
    BalancerDelegate& delegate_;
    std::vector<Message> pending_;  // by node
    bool has_pending_ = false;
};

/// Flushes an outbox at the end of its scope, which is a call into the Balancer.
class FlushOnExit {
  public:
    explicit FlushOnExit(Outbox& outbox) : outbox_(outbox) {}
    FlushOnExit(const FlushOnExit&) = delete;
    FlushOnExit& operator=(const FlushOnExit&) = delete;
    ~FlushOnExit() { outbox_.flush(); }

  private:
    Outbox& outbox_;
};

}  // namespace lemonstair::peer
