#include "node/drain_controller.h"

#include <algorithm>

#include "balance/attempt_policy.h"

namespace lemonstair::node {

void DrainController::set_mode(DrainMode mode) {
    tunnel::TunnelRegistry& registry = stages_.registry;
    mode_ = mode;
    registry.answer_deadline = registry.close_deadline = tunnel::TunnelRegistry::no_deadline;
    if (mode == DrainMode::none) return;
    const bool shutdown = mode == DrainMode::shutdown;
    schedule_ = shutdown ? DrainSchedule::on_shutdown(registry.config.balancer) : DrainSchedule::on_drain();
    started_ = registry.loop.now();
    schedule_check(started_ + DrainSchedule::migrate_from);
    // A drained node keeps serving new clients for an unlimited time, so it has no deadlines.
    if (!shutdown) return;
    registry.close_deadline = started_ + schedule_.close_deadline;
    stages_.attempts.set_answer_deadline(started_ + schedule_.answer_deadline);
}

void DrainController::schedule_check(Ticks when) {
    next_check_ = when;
    stages_.registry.loop.schedule(when, *this, 0);
}

// Checks often, because tunnels that open late must be migrated in the little time that is left.
void DrainController::on_timer(std::uint64_t) {
    const Ticks now = stages_.registry.loop.now();
    if (mode_ == DrainMode::none || now < next_check_) return;
    schedule_check(now + DrainSchedule::check_interval);
    const bool handed_over = is_handed_over_();
    if (mode_ == DrainMode::shutdown && is_empty(handed_over) && may_exit()) return on_finished_();
    // The other process takes the tunnels over without their clients noticing.
    if (handed_over) return;
    // With packet passthrough the tunnels continue through another node, and a migration would only interrupt
    // them.
    if (!stages_.registry.config.balancer.packet_passthrough) migrate_some();
}

// If another process has replaced this one, every connection counts, including those that have not sent a
// request.
bool DrainController::is_empty(bool handed_over) const {
    const tunnel::TunnelRegistry& registry = stages_.registry;
    if (handed_over) return registry.tunnel_count() == 0;
    return registry.admitted_count() + registry.closing_count() == 0;
}

// A client that cannot be accepted must not keep the process alive beyond its deadline.
bool DrainController::may_exit() {
    const tunnel::TunnelRegistry& registry = stages_.registry;
    const Reason reason = attempt_policy::may_exit(stages_.acceptor.outstanding_work());
    if (reason != Reason::allowed)
        registry.log.debug() << registry.config.name << ": cannot exit yet: " << name_of(reason);
    const bool too_late = registry.loop.now() >= registry.close_deadline;
    return reason == Reason::allowed || (reason == Reason::queue_unread && too_late);
}

// Migrates just enough tunnels per round to finish in time, so that the clients do not all reconnect at once.
void DrainController::migrate_some() {
    tunnel::TunnelRegistry& registry = stages_.registry;
    const Ticks left = std::max<Ticks>(started_ + schedule_.migrate_until - registry.loop.now(), 0);
    const auto rounds = static_cast<std::size_t>(1 + left / DrainSchedule::check_interval);
    std::size_t quota = registry.tunnel_count() / rounds + 1;
    registry.for_each([&](std::uint32_t index, const tunnel::Tunnel& tunnel) {
        if (quota == 0 || tunnel.state != tunnel::TunnelState::open) return;
        stages_.relay.migrate(registry.id_of(index));
        --quota;
    });
}

}  // namespace lemonstair::node
