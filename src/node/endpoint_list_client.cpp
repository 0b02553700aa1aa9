#include "node/endpoint_list_client.h"

#include <algorithm>
#include <utility>

#include "balance/attempt_policy.h"

namespace lemonstair::node {

namespace {

// The share of a delay between two calls that is random.
constexpr double retry_jitter = 0.25;

// A deployment without a drain grace has none to keep.
backoff::PushedListWaits waits_for(const BalancerConfig& config) {
    const Ticks grace = config.rules.drain_grace;
    if (grace <= 0) return {};
    return backoff::pushed_list_waits(grace, attempt_policy::max_write_delay, config.node_count);
}

}  // namespace

EndpointListClient::EndpointListClient(tunnel::TunnelRegistry& registry, std::function<bool()> follows_list)
    : registry_(registry),
      follows_list_(std::move(follows_list)),
      watch_(registry.loop, registry.pool, registry.config.discovery, *this, registry.log,
             registry.resource_counters),
      random_(registry.config.balancer.seed) {
    set_waits();
}

void EndpointListClient::set_waits() {
    constexpr Ticks first_retry = 2500;
    waits_ = waits_for(registry_.config.balancer);
    backoff_ = backoff::Backoff(first_retry, retry_jitter);
}

void EndpointListClient::open() {
    if (watch_.is_open()) return;
    last_call_at_ = registry_.loop.now();
    watch_.open(registry_.endpoints.revision());
    if (!must_poll()) schedule_call(next_hedge_at());
}

void EndpointListClient::on_replaced() {
    if (must_poll()) watch_.stop();
}

void EndpointListClient::schedule_call(Ticks at) {
    next_call_at_ = at;
    registry_.loop.schedule(at, *this, 0);
}

Ticks EndpointListClient::wait_after(discovery::CallPhase phase) const {
    return phase == discovery::CallPhase::connecting ? waits_.after_unaccepted : waits_.after_accepted;
}

Ticks EndpointListClient::next_hedge_at() const {
    return last_call_at_ + wait_after(watch_.newest_call()->phase());
}

// A timer that was scheduled for an earlier call is outdated.
void EndpointListClient::on_timer(std::uint64_t) {
    if (next_call_at_ == 0 || registry_.loop.now() < next_call_at_) return;
    next_call_at_ = 0;
    if (follows_list_() && !watch_.is_live()) call_again();
}

void EndpointListClient::call_again() {
    if (!watch_.is_open()) return open();
    if (registry_.loop.now() >= next_hedge_at()) {
        last_call_at_ = registry_.loop.now();
        watch_.hedge(registry_.endpoints.revision());
    }
    schedule_call(next_hedge_at());
}

void EndpointListClient::open_if_notified() {
    if (!must_poll()) open();
}

void EndpointListClient::open_if_following() {
    if (follows_list_()) open();
}

bool EndpointListClient::follow_config() {
    const bool moved = watch_.redirect(registry_.config.discovery);
    set_waits();
    // Each discovery service has its own revision numbers.
    if (moved) registry_.endpoints.reset_revision();
    return moved;
}

// The last list stays in use until the new watch delivers one. The next call beside one that hangs is due by
// the new configuration.
void EndpointListClient::reopen() {
    if (next_call_at_ != 0 && watch_.is_open()) schedule_call(std::min(next_call_at_, next_hedge_at()));
    if (watch_.is_open()) return;
    backoff_.on_success();
    notify_balancer(EndpointListKind::moved);
    open_if_notified();
}

void EndpointListClient::notify_balancer(EndpointListKind kind) {
    Balancer& balancer = registry_.balancer_now();
    balancer.begin_endpoint_list(kind);
    balancer.end_endpoint_list();
}

bool EndpointListClient::on_list(const json::Value& list) {
    const bool taken = registry_.endpoints.apply(list, registry_.balancer_now(),
                                                 discovery::ListSource::discovery, registry_.loop.now());
    if (taken) backoff_.on_success();
    return taken;
}

void EndpointListClient::on_unchanged() {
    notify_balancer(EndpointListKind::changes);
    backoff_.on_success();
}

// If discovery must be polled, the balancer requests the next call. Otherwise it is told of the loss once,
// and the watch is reopened after a pause with jitter, so that not all nodes call discovery at the same
// moment when it recovers.
void EndpointListClient::on_watch_lost(discovery::CallPhase phase) {
    if (must_poll()) return notify_balancer(EndpointListKind::failed);
    if (backoff_.failures() == 0) notify_balancer(EndpointListKind::failed);
    const Ticks now = registry_.loop.now();
    const double random_value = static_cast<double>(random_() - std::minstd_rand::min());
    const double fraction = random_value / static_cast<double>(std::minstd_rand::max());
    const Ticks retry_at = now + backoff_.on_failure(fraction, wait_after(phase));
    // A call that hung before it failed does not put off the next one.
    const bool was_answered = phase == discovery::CallPhase::streaming;
    const Ticks due = was_answered ? retry_at : std::max(now, last_call_at_ + wait_after(phase));
    schedule_call(std::min(retry_at, due));
}

}  // namespace lemonstair::node
