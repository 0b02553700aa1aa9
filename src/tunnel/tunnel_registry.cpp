#include "tunnel/tunnel_registry.h"

#include <array>

#include "balance/attempt_policy.h"

namespace lemonstair::tunnel {

std::string_view name_of(TunnelState s) {
    switch (s) {
        case TunnelState::free:
            return "free";
        case TunnelState::taking_in:
            return "taking in";
        case TunnelState::deciding:
            return "deciding";
        case TunnelState::connecting:
            return "connecting";
        case TunnelState::sending_line:
            return "sending its line";
        case TunnelState::awaiting_answer:
            return "awaiting an answer";
        case TunnelState::relaying:
            return "relaying";
        case TunnelState::moving:
            return "moving";
        case TunnelState::handing:
            return "handing";
        case TunnelState::departing:
            return "departing";
    }
    return "";
}

// An id is new with every connection: one that was open lately is remembered, so that nobody opens it again.
void TunnelRegistry::let_go(Tunnel& t, std::uint32_t place) {
    if (names.find(t.name) != place) return;
    names.drop(t.name);
    if (t.state != TunnelState::relaying && t.state != TunnelState::moving && t.state != TunnelState::handing)
        return;
    std::uint64_t& oldest = spent_names_[next_spent_++ % spent_names_.size()];
    if (oldest != 0 && names.find(oldest) == spent) names.drop(oldest);
    oldest = t.name;
    names.put(t.name, spent);
}

// A tunnel counts once, as its client was answered; one whose line named no profile is nobody's.
void TunnelRegistry::count_outcome(Tunnel& t, TunnelState to) {
    if (!t.classed) return;
    if (to == TunnelState::relaying) t.outcome = metrics::FinalAnswer::opened;
    if (t.outcome == metrics::FinalAnswer::none) return;
    outcomes.count(t.profile, t.outcome);
    t.classed = false;
}

void TunnelRegistry::violated(metrics::Invariant rule, TunnelId id, std::string_view detail) {
    costs.count_violation(rule);
    log.error() << metrics::violation_prefix << name_of(rule) << ", tunnel " << static_cast<std::uint32_t>(id)
                << ": " << detail;
}

bool TunnelRegistry::client_is_gone(const Tunnel& t) const {
    return !t.client.open() || t.client.peer_closed();
}

// A connection that ends without last words: its client must have gone, or never have begun to speak.
void TunnelRegistry::check_ending(TunnelId id, const Tunnel& t, TunnelState to) {
    if (to != TunnelState::free || !t.client.open()) return;
    const bool waits = t.state == TunnelState::deciding || t.state == TunnelState::connecting ||
                       t.state == TunnelState::sending_line || t.state == TunnelState::awaiting_answer;
    if (waits && !client_is_gone(t))
        violated(metrics::Invariant::closed_without_answer, id, name_of(t.state));
    if (t.state != TunnelState::taking_in) return;
    std::array<char, 1> next{};
    const bool whole_line = t.opening.held() && t.opening.view().find('\n') != std::string_view::npos;
    const attempt_policy::PendingInput input{t.client.peek(next).bytes, whole_line};
    const Reason reason = attempt_policy::may_close_unanswered(input);
    if (reason != Reason::allowed && !client_is_gone(t))
        violated(metrics::Invariant::closed_without_answer, id, name_of(reason));
}

void TunnelRegistry::go(TunnelId id, TunnelState to) {
    Tunnel& t = *find(id);
    check_ending(id, t, to);
    const auto counts = [](TunnelState s) {
        return s != TunnelState::free && s != TunnelState::taking_in && s != TunnelState::departing;
    };
    if (!counts(t.state) && counts(to)) ++admitted;
    if (counts(t.state) && !counts(to)) {
        --admitted;
        let_go(t, static_cast<std::uint32_t>(id));
    }
    count_outcome(t, to);
    if (t.state == TunnelState::departing) --departing;
    if (to == TunnelState::departing) ++departing;
    log.debug() << "tunnel " << static_cast<std::uint32_t>(id) << ": " << name_of(t.state) << " -> "
                << name_of(to);
    t.state = to;
    t.since = loop.now();
    if (to != TunnelState::free) return;
    --in_hand;
    const bool was_at_door = t.at_door;
    at_door -= was_at_door ? 1 : 0;
    tunnels.give_back(static_cast<std::uint32_t>(id));
    if (was_at_door) keep_spares();
}

bool TunnelRegistry::comes_in(Tunnel& t) {
    keep_spares();
    for (const net::Fd& spare : spares_)
        if (!spare.open()) return false;
    if (down_to(fewest_left)) return false;
    t.at_door = false;
    --at_door;
    return true;
}

void TunnelRegistry::keep_spares() {
    for (net::Fd& spare : spares_)
        if (!spare.open()) spare = loop.system().spare();
}

bool TunnelRegistry::give_up_spare() {
    for (net::Fd& spare : spares_)
        if (spare.open()) return spare.close(), true;
    keep_spares();
    return spares_[0].open() && (spares_[0].close(), true);
}

}  // namespace lemonstair::tunnel
