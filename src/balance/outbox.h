/// Outbox: items gathered into one message for each node until they are sent.
#pragma once
#include <cstdint>
#include <vector>

#include "balance/balance.h"
#include "peer/codec.h"

namespace lemonstair::peer {

class Outbox {
  public:
    Outbox(BalancerDelegate& delegate, std::size_t nodes) : delegate_(delegate), pending_(nodes) {}
    template <class Add>
    void post(std::uint32_t node, Add&& add) {
        has_pending_ = true;
        if (add(pending_[node])) return;
        send(node);
        add(pending_[node]);
    }
    void flush() {
        for (std::uint32_t n = 0; has_pending_ && n < pending_.size(); ++n)
            if (!pending_[n].empty()) send(n);
        has_pending_ = false;
    }
    template <class Add>
    void broadcast(Add&& add) {
        Message m;
        add(m);
        delegate_.broadcast_gossip(m.bytes());
    }
    // One message, and as many more as its items need, to all nodes.
    template <class Fill>
    void broadcast_items(Fill&& fill) {
        Message m;
        fill([&](auto&& add) {
            if (add(m)) return;
            delegate_.broadcast_gossip(m.bytes());
            m.clear();
            add(m);
        });
        delegate_.broadcast_gossip(m.bytes());
    }

  private:
    void send(std::uint32_t node) {
        delegate_.send_gossip(node, pending_[node].bytes());
        pending_[node].clear();
    }
    BalancerDelegate& delegate_;
    std::vector<Message> pending_;
    bool has_pending_ = false;
};

// Sends what is gathered when a call into the Balancer is over.
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
