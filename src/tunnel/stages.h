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

class Stages final : public net::Waiter {
  public:
    Stages(net::Loop& loop, const config::Launch& launch, discovery::Hosts& hosts, log::Log& log,
           account::Costs& costs)
        : floor(loop, *this, launch, hosts, log, costs) {}
    void ready(std::uint64_t token, short events) override {
        const Id id = token >> 1;
        const auto side = static_cast<Side>(token & 1);
        at_stage(id, [&](auto& stage) { stage.tunnel_ready(id, side, events); });
    }
    void due(std::uint64_t token) override {
        const Id id = token >> 1;
        at_stage(id, [&](auto& stage) { stage.tunnel_due(id); });
    }

    Floor floor;
    Book book{floor};
    Relay relay{floor, book};
    Carry carry{floor, relay, book};
    Send send{floor, book, relay};
    Route route{floor, send, relay, book};
    Admit admit{floor, route, book};
    TakeIn take_in{floor, admit, book};

  private:
    // Calls tell(stage) with the stage that has a tunnel in its present state; not where it is no more.
    template <class Tell>
    void at_stage(Id id, Tell&& tell) {
        const Tunnel* t = floor.find(id);
        if (t == nullptr) return;
        switch (t->state) {
            case State::free:
            case State::handing:  // nothing is asked of its sockets meanwhile
                return;
            case State::taking_in:
                return tell(take_in);
            case State::deciding:
            case State::connecting:
            case State::sending_line:
            case State::awaiting_answer:
                return tell(send);
            case State::relaying:
            case State::moving:
                return tell(relay);
            case State::departing:
                return tell(book);
        }
    }
};

}  // namespace lemonstair::tunnel
