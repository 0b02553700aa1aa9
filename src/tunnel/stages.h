// The chain of stages that a tunnel passes: take in, admit, route, send, relay, book. What happens to a
// tunnel's sockets and timers goes to the stage that its state names.
#pragma once

#include "tunnel/acceptor.h"
#include "tunnel/admission.h"
#include "tunnel/attempt.h"
#include "tunnel/completion.h"
#include "tunnel/dispatcher.h"
#include "tunnel/relay.h"
#include "tunnel/transfer.h"
#include "tunnel/tunnel_registry.h"

namespace lemonstair::tunnel {

class TunnelStages final : public net::EventHandler {
  public:
    TunnelStages(net::EventLoop& loop, const config::NodeConfig& launch, discovery::EndpointDirectory& hosts,
                 log::Log& log, metrics::ResourceCounters& costs)
        : floor(loop, *this, launch, hosts, log, costs) {}
    void on_ready(std::uint64_t token, short events) override {
        const TunnelId id = token >> 1;
        const auto side = static_cast<Side>(token & 1);
        at_stage(id, [&](auto& stage) { stage.tunnel_ready(id, side, events); });
    }
    void on_timer(std::uint64_t token) override {
        const TunnelId id = token >> 1;
        at_stage(id, [&](auto& stage) { stage.tunnel_due(id); });
    }

    TunnelRegistry floor;
    Completion book{floor};
    Relay relay{floor, book};
    Transfer carry{floor, relay, book};
    AttemptRunner send{floor, book, relay};
    Dispatcher route{floor, send, relay, book};
    Admission admit{floor, route, book};
    Acceptor take_in{floor, admit, book};

  private:
    // Calls tell(stage) with the stage that has a tunnel in its present state; not where it is no more.
    template <class Tell>
    void at_stage(TunnelId id, Tell&& tell) {
        const Tunnel* t = floor.find(id);
        if (t == nullptr) return;
        switch (t->state) {
            case TunnelState::free:
            case TunnelState::handing:  // nothing is asked of its sockets meanwhile
                return;
            case TunnelState::taking_in:
                return tell(take_in);
            case TunnelState::deciding:
            case TunnelState::connecting:
            case TunnelState::sending_line:
            case TunnelState::awaiting_answer:
                return tell(send);
            case TunnelState::relaying:
            case TunnelState::moving:
                return tell(relay);
            case TunnelState::departing:
                return tell(book);
        }
    }
};

}  // namespace lemonstair::tunnel
