/// The stages that a tunnel passes through, and the dispatch of socket events and timers to the stage that is
/// responsible for the tunnel's current state.
#pragma once

#include "tunnel/acceptor.h"
#include "tunnel/admission.h"
#include "tunnel/attempt.h"
#include "tunnel/completion.h"
#include "tunnel/dispatcher.h"
#include "tunnel/id_claims.h"
#include "tunnel/relay.h"
#include "tunnel/transfer.h"
#include "tunnel/tunnel_registry.h"

namespace lemonstair::tunnel {

/// Owns the registry and all stages. The token of an event is the tunnel's id and, in its lowest bit, the
/// side whose socket is ready.
class TunnelStages final : public net::EventHandler {
  public:
    TunnelStages(net::EventLoop& loop, const config::NodeConfig& config,
                 discovery::EndpointDirectory& endpoints, log::Log& log, metrics::ResourceCounters& counters)
        : registry(loop, *this, config, endpoints, log, counters) {}
    void on_ready(std::uint64_t token, short events) override {
        const TunnelId id = token >> 1;
        const auto side = static_cast<Side>(token & 1);
        at_stage(id, [&](auto& stage) { stage.on_tunnel_ready(id, side, events); });
    }
    void on_timer(std::uint64_t token) override {
        const TunnelId id = token >> 1;
        at_stage(id, [&](auto& stage) { stage.on_tunnel_timer(id); });
    }

    TunnelRegistry registry;
    Completion completion{registry};
    Relay relay{registry, completion};
    Transfer transfer{registry, relay, completion};
    AttemptRunner attempts{registry, completion, relay};
    Dispatcher dispatcher{registry, attempts, relay, completion};
    Admission admission{registry, dispatcher, completion};
    IdClaims id_claims{registry, admission, attempts, completion};
    Acceptor acceptor{registry, admission, id_claims, completion};

  private:
    // Calls call(stage) with the stage for the tunnel's state. Does nothing if the tunnel no longer exists.
    template <class Call>
    void at_stage(TunnelId id, Call&& call) {
        const Tunnel* tunnel = registry.find(id);
        if (tunnel == nullptr) return;
        switch (tunnel->state) {
            case TunnelState::free:
            case TunnelState::transferring:  // its sockets are not polled and its timers do not apply
                return;
            case TunnelState::reading_request:
                return call(acceptor);
            case TunnelState::awaiting_id:
                return call(id_claims);
            case TunnelState::awaiting_placement:
            case TunnelState::connecting:
            case TunnelState::sending_request:
            case TunnelState::awaiting_answer:
                return call(attempts);
            case TunnelState::open:
            case TunnelState::migrating:
                return call(relay);
            case TunnelState::closing:
                return call(completion);
        }
    }
};

}  // namespace lemonstair::tunnel
