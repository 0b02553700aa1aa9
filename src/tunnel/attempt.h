/// Attempts to open a tunnel at an endpoint: connects, writes the request line and reads the answer.
#pragma once

#include <string_view>

#include "tunnel/completion.h"
#include "tunnel/early_input.h"
#include "tunnel/relay.h"
#include "tunnel/request_line.h"
#include "tunnel/tunnel_registry.h"

namespace lemonstair::tunnel {

/// The stage for the states from awaiting_placement to awaiting_answer. An attempt either opens the tunnel or
/// fails; the balancer is told and decides what happens after a failure.
class AttemptRunner {
  public:
    AttemptRunner(TunnelRegistry& registry, Completion& completion, Relay& relay)
        : registry_(registry), completion_(completion), relay_(relay), early_input_(registry, completion) {}
    /// Starts an attempt. `endpoint_index`: index in the endpoint directory. `max_wait`: how long to wait for
    /// the endpoint's answer; 0: until the client's deadline.
    void start(TunnelId id, std::uint32_t endpoint_index, Ticks max_wait);
    /// For a tunnel that is already open at its endpoint: repeats the attempt there, without asking the
    /// balancer, until one succeeds or the deadline has passed.
    void resume(TunnelId id);
    /// Limits the deadline of all tunnels that wait for an answer, now or later, to `deadline`: the process
    /// may be killed after it.
    void set_answer_deadline(Ticks deadline);
    /// Handles events of a client that waits for its answer.
    void on_client_ready(TunnelId id, short events);
    void on_tunnel_ready(TunnelId id, Side side, short events);
    void on_tunnel_timer(TunnelId id);

  private:
    void connect(TunnelId id);
    bool on_connected(TunnelId id);
    bool may_write(TunnelId id);
    void write_request(TunnelId id);
    void check_write_allowed(TunnelId id);
    void read_answer(TunnelId id);
    void handle_answer(TunnelId id, std::string_view line);
    void on_opened(TunnelId id);
    void on_failed(TunnelId id, Outcome outcome);

    TunnelRegistry& registry_;
    Completion& completion_;
    Relay& relay_;
    EarlyInput early_input_;
};

}  // namespace lemonstair::tunnel
