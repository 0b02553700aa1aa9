// Outbox: items gathered into one message for each node until they are sent.
#pragma once
#include <cstdint>
#include <vector>

#include "balance/balance.h"
#include "peer/codec.h"

namespace lemonstair::peer {

class Outbox {
  public:
    Outbox(BalancerDelegate& host, std::size_t nodes) : host_(host), waiting_(nodes) {}
    template <class Add>
    void post(std::uint32_t node, Add&& add) {
        any_ = true;
        if (add(waiting_[node])) return;
        send(node);
        add(waiting_[node]);
    }
    void flush() {
        for (std::uint32_t n = 0; any_ && n < waiting_.size(); ++n)
            if (!waiting_[n].empty()) send(n);
        any_ = false;
    }
    template <class Add>
    void tell_all(Add&& add) {
        Message m;
        add(m);
        host_.broadcast_gossip(m.bytes());
    }
    // One message, and as many more as its items need, to all nodes.
    template <class Fill>
    void tell_all_of(Fill&& fill) {
        Message m;
        fill([&](auto&& add) {
            if (add(m)) return;
            host_.broadcast_gossip(m.bytes());
            m.clear();
            add(m);
        });
        host_.broadcast_gossip(m.bytes());
    }

  private:
    void send(std::uint32_t node) {
        host_.send_gossip(node, waiting_[node].bytes());
        waiting_[node].clear();
    }
    BalancerDelegate& host_;
    std::vector<Message> waiting_;
    bool any_ = false;
};

// Sends what is gathered when a call into the Balancer is over.
class Delivery {
  public:
    explicit Delivery(Outbox& of) : of_(of) {}
    Delivery(const Delivery&) = delete;
    Delivery& operator=(const Delivery&) = delete;
    ~Delivery() { of_.flush(); }

  private:
    Outbox& of_;
};

}  // namespace lemonstair::peer
