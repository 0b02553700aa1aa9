/// Accepts clients, reads the request line of each, and answers readiness checks.
#pragma once

#include <string_view>

#include "balance/attempt_policy.h"
#include "tunnel/admission.h"
#include "tunnel/completion.h"
#include "tunnel/id_claims.h"
#include "tunnel/tunnel_registry.h"

namespace lemonstair::tunnel {

/// The stage for TunnelState::reading_request.
class Acceptor final : public net::EventHandler {
  public:
    Acceptor(TunnelRegistry& registry, Admission& admission, IdClaims& id_claims, Completion& completion)
        : registry_(registry), admission_(admission), id_claims_(id_claims), completion_(completion) {}
    /// Listens on a socket of its own, or on one that the platform passed to the process. Both throw
    /// std::system_error if that fails.
    void listen_on(const net::Address& address) { listen_on(registry_.loop.system().listen_on(address)); }
    void listen_on(int inherited) { listen_on(registry_.loop.system().inherited_listener(inherited)); }
    /// Clients that are not accepted stay in the listener's queue, for this process or another one of the
    /// node.
    void set_accepting(bool accepting);
    /// What would be left unanswered if the process exited now. Accepts the clients in the listener's queue
    /// first.
    attempt_policy::Obligations outstanding_work();

    void on_ready(std::uint64_t, short) override { static_cast<void>(accept_pending()); }
    void on_timer(std::uint64_t token) override;
    void on_tunnel_ready(TunnelId id, Side side, short events);
    void on_tunnel_timer(TunnelId id);

  private:
    // blocked: clients may be waiting, but none can be accepted before a pause.
    enum class AcceptResult : std::uint8_t { more, queue_empty, blocked };
    enum class LineResult : std::uint8_t { keep_reading, left_stage };

    void listen_on(net::Fd listener);
    bool accept_pending();
    AcceptResult accept_one();
    AcceptResult on_accept_error(int error);
    bool make_descriptors_available();
    bool make_rejection_possible();
    void add_client(net::Fd client, AcceptedFor purpose);
    void pause_accepting();
    void update_listener_events();
    bool any_request_begun();
    LineResult handle_line(TunnelId id, std::string_view line);
    LineResult handle_readiness_check(TunnelId id);
    LineResult handle_request(TunnelId id, std::string_view line);
    LineResult reject_request(TunnelId id, std::string_view cause);
    bool write_or_buffer(Tunnel& tunnel, std::string_view text);

    TunnelRegistry& registry_;
    Admission& admission_;
    IdClaims& id_claims_;
    Completion& completion_;
    net::Socket listener_;
    bool accepting_ = false, paused_ = false;
    Ticks paused_at_ = 0;
};

}  // namespace lemonstair::tunnel
