#include "node/node.h"

#include <poll.h>

#include <array>
#include <csignal>
#include <string>
#include <system_error>

#include "admin/metrics_page.h"

namespace lemonstair::node {

namespace {

constexpr Ticks check_endpoints_interval = 2500;
enum Timer : std::uint64_t { check_endpoints_timer, peer_link_timer };

// Retries for the listening sockets, since descriptors or memory may be exhausted for a moment.
constexpr int max_listen_attempts = 20;
constexpr Ticks listen_retry_interval = 1000;

// Descriptors left free for another process of this node: what a new process needs to start, and what a
// running one may take before it has reported that. Without them both together could exceed the limit.
constexpr std::size_t reserve_for_new_process = 16, reserve_for_sibling = 8;

// Calls open() and retries local failures. Throws json::Malformed with the name of the key if it keeps
// failing.
template <class Open>
void open_with_retry(net::System& system, const char* key, Open&& open) {
    for (int attempt = 1;; ++attempt) {
        try {
            return open();
        } catch (const std::system_error& error) {
            if (!net::is_local_failure(error.code().value()) || attempt == max_listen_attempts)
                throw json::Malformed(
                    std::string("configuration: field '").append(key).append("': ").append(error.what()));
        }
        static_cast<void>(system.poll({}, listen_retry_interval));
    }
}

DrainMode drain_mode(Phase phase) {
    if (phase == Phase::drained) return DrainMode::drained;
    return phase == Phase::shutting_down ? DrainMode::shutdown : DrainMode::none;
}

}  // namespace

std::string_view name_of(Phase phase) {
    constexpr std::array<std::string_view, 5> names{"starting", "serving", "drained", "leaving", "left"};
    return names[static_cast<std::size_t>(phase)];
}

Node::Node(net::System& system, config::NodeConfig config, const json::Value& initial_endpoints,
           log::Log& log, ConfigReloader::Read read_config, BalancerRunner::Factory make_balancer)
    : config_(std::move(config)),
      log_(log),
      loop_(system),
      endpoints_(config_.zone_names, log_),
      stages_(loop_, config_, endpoints_, log_, counters_),
      peers_(loop_, config_, counters_,
             [this](std::uint32_t node, std::span<const std::uint8_t> bytes) {
                 stages_.registry.balancer_now().on_gossip(node, bytes);
             }),
      balancer_(stages_, peers_, initial_endpoints, std::move(make_balancer)),
      endpoint_list_(stages_.registry, [this] { return follows_endpoint_list(); }),
      health_checker_(loop_, stages_.registry.pool, endpoints_, *this, config_, counters_),
      status_log_(stages_.registry, health_checker_),
      admin_server_(loop_, *this, log_),
      hot_restart_(loop_, *this, log_, stages_.registry.ids, config_.name, config_.hot_restart_path),
      drain_(
          stages_, [this] { return is_handed_over(); }, [this] { transition_to(Phase::stopped); }),
      config_reloader_(loop_, config_, log_, std::move(read_config),
                       [this](const std::string& restart_keys) { on_config_reloaded(restart_keys); }),
      signals_(loop_, system.signals(), POLLIN, *this, 0) {
    open_listeners();
    loop_.schedule(loop_.now() + check_endpoints_interval, *this, check_endpoints_timer);
    status_log_.start();
    hot_restart_.start();
}

void Node::open_listeners() {
    net::System& system = loop_.system();
    if (config_.inherited_listener)
        open_with_retry(system, "NODE_INHERITED_FD",
                        [&] { stages_.acceptor.listen_on(*config_.inherited_listener); });
    else
        open_with_retry(system, "listen", [&] { stages_.acceptor.listen_on(config_.listen); });
    if (config_.admin)
        open_with_retry(system, "admin_addr",
                        [&] { admin_server_.open(*config_.admin, config_.max_admin_connections); });
}

void Node::run() {
    while (run_once()) continue;
}

bool Node::run_once() {
    loop_.run_once([this] {
        balancer_.run_actions([this](const DeferredActions::Action& action) { execute(action); });
        // An attempt that has been started now is written in a later pass.
        hot_restart_.send_ids();
    });
    log_.flush();
    return phase_ != Phase::stopped;
}

void Node::transition_to(Phase to) {
    tunnel::TunnelRegistry& registry = stages_.registry;
    const std::size_t unfinished = registry.admitted_count() + registry.closing_count();
    if (to == Phase::stopped && phase_ != Phase::starting && unfinished > 0 && !is_handed_over())
        registry.report_violation(
            metrics::Invariant::exited_with_pending_answers, 0,
            std::to_string(unfinished) + " tunnels without a final answer or a completed close");
    log_.info() << config_.name << ": " << name_of(phase_) << " -> " << name_of(to) << ", "
                << endpoints_.size() << " endpoints known, " << registry.tunnel_count()
                << " tunnels, capacity " << stages_.admission.capacity();
    phase_ = to;
    registry.ready = ready();
    drain_.set_mode(drain_mode(to));
}

// Called for the descriptor that delivers signals.
void Node::on_ready(std::uint64_t, short) {
    while (const int signal = loop_.system().next_signal(signals_.fd())) {
        if (signal != SIGHUP)
            shut_down();
        else if (phase_ == Phase::starting)
            config_reloader_.defer();
        else
            config_reloader_.reload();
    }
}

void Node::shut_down() {
    if (phase_ == Phase::starting) return transition_to(Phase::stopped);
    // A process that could not take over serves beside this one, and from now on all new clients are left to
    // it.
    if (hot_restart_.displaced()) stages_.acceptor.set_accepting(false);
    if (phase_ == Phase::serving || phase_ == Phase::drained) transition_to(Phase::shutting_down);
}

void Node::on_timer(std::uint64_t token) {
    if (token == peer_link_timer) {
        if (!peers_.is_open() && owns_node()) open_peer_link();
        return;
    }
    loop_.schedule(loop_.now() + check_endpoints_interval, *this, check_endpoints_timer);
    stages_.relay.check_endpoints();
}

void Node::execute(const DeferredActions::Action& action) {
    switch (action.kind) {
        case DeferredActions::Kind::start_attempt:
            return stages_.dispatcher.start_attempt(action.tunnel, action.endpoint, action.span);
        case DeferredActions::Kind::reject:
            return stages_.dispatcher.reject(action.tunnel, action.span);
        case DeferredActions::Kind::fail:
            return stages_.dispatcher.fail(action.tunnel);
        case DeferredActions::Kind::migrate:
            return stages_.dispatcher.migrate(action.tunnel);
        case DeferredActions::Kind::check_health:
            return check_health(action.endpoint);
        case DeferredActions::Kind::request_endpoint_list:
            return endpoint_list_.open_if_following();
    }
}

void Node::check_health(std::uint32_t endpoint) {
    if (owns_node()) return health_checker_.check(endpoint);
    stages_.registry.balancer_now().on_health_check(endpoint, Outcome::not_sent, 0, {});
}

void Node::on_health_check(std::uint32_t endpoint, Outcome outcome, Ticks took, const LoadReport& report) {
    stages_.registry.balancer_now().on_health_check(endpoint, outcome, took, report);
}

// config_ holds the new configuration already. Passes it to the balancer, and calls discovery at once if it
// has moved or no watch is open.
void Node::on_config_reloaded(const std::string& restart_keys) {
    if (!restart_keys.empty())
        log_.error() << "configuration reload: these keys take effect only after a restart: " << restart_keys;
    stages_.registry.balancer_now().update_config(config_.balancer);
    const bool moved = endpoint_list_.follow_config();
    log_.info() << "configuration reloaded" << (moved ? ", discovery has moved" : "") << ", capacity "
                << stages_.admission.capacity();
    endpoint_list_.reopen();
}

// This process becomes the node: alone, or in place of another process, whose endpoint list and state are
// given.
void Node::begin(std::string_view endpoint_list, std::string_view balancer_state) {
    balancer_.start(endpoint_list, balancer_state);
    const bool alone = hot_restart_.role() == hot_restart::Role::standalone;
    if (!config_.hot_restart_path.empty())
        stages_.registry.descriptors.set_sibling_reserve(alone ? reserve_for_new_process
                                                               : reserve_for_sibling);
    start_serving();
    // The list of the other process may be out of date, so discovery is called at once.
    if (!endpoint_list.empty() && !endpoint_list_.is_open()) endpoint_list_.open();
    if (accepts_clients()) accept_clients();
}

// The first time that this process accepts clients.
void Node::accept_clients() {
    stages_.acceptor.set_accepting(true);
    transition_to(Phase::serving);
    config_reloader_.reload_deferred();
}

void Node::on_role_changed(hot_restart::Role from, hot_restart::Role to) {
    const bool alone = to == hot_restart::Role::standalone;
    stages_.registry.ready = ready();
    stages_.registry.descriptors.set_sibling_reserve(alone ? reserve_for_new_process : reserve_for_sibling);
    const bool was_active = hot_restart::is_active(from), active = hot_restart::is_active(to);
    if (from == hot_restart::Role::taking_over) accept_clients();
    if (active && !was_active) serve_again();
    if (!active && was_active) stop_serving();
    if (alone) stages_.id_claims.on_peer_gone();
}

// The new process has died just after taking over: this one acts as the node again.
void Node::serve_again() {
    stages_.registry.balancer_now().resume_ownership();
    start_serving();
    stages_.acceptor.set_accepting(true);
    endpoint_list_.notify_balancer(EndpointListKind::moved);
}

// Everything that the node does but accepting clients.
void Node::start_serving() {
    open_peer_link();
    endpoint_list_.open_if_notified();
}

bool Node::follows_endpoint_list() const {
    return owns_node() || (is_handed_over() && !config_.balancer.must_poll);
}

void Node::stop_serving() {
    stages_.acceptor.set_accepting(false);
    peers_.close();
    endpoint_list_.on_replaced();
    health_checker_.stop();
}

// A process with open tunnels that becomes the node again must not exit for a momentary lack of descriptors:
// it retries, and receives no gossip meanwhile. At the start, an address that cannot be used is a
// configuration error.
void Node::open_peer_link() {
    try {
        peers_.open();
    } catch (const std::system_error& error) {
        const bool transient = net::is_local_failure(error.code().value());
        if (!transient && phase_ == Phase::starting)
            throw json::Malformed(std::string("configuration: field 'peer_listen': ").append(error.what()));
        log_.error() << "cannot open the socket for gossip, will retry: " << error.what();
        loop_.schedule(loop_.now() + listen_retry_interval, *this, peer_link_timer);
    }
}

void Node::export_state(std::string& endpoint_list, std::string& balancer_state) {
    endpoint_list = endpoints_.to_json();
    stages_.registry.balancer_now().serialize_state(balancer_state);
}

bool Node::next_tunnel(hot_restart::TransferredTunnel& next) {
    if (!stages_.transfer.next_transferable(next.number, next.bytes)) return false;
    const tunnel::Tunnel& tunnel = *stages_.registry.find(next.number);
    next.client = tunnel.client.fd();
    next.endpoint = tunnel.endpoint.fd();
    return true;
}

void Node::on_transfer_result(std::uint64_t number, bool accepted) {
    if (accepted) return stages_.transfer.complete(number);
    stages_.transfer.cancel(number, !is_handed_over());
}

bool Node::receive_tunnel(std::string_view bytes, net::Fd client, net::Fd endpoint) {
    return stages_.transfer.adopt(bytes, std::move(client), std::move(endpoint));
}

std::string_view Node::phase() const { return is_handed_over() ? "handed over" : name_of(phase_); }

std::string Node::metrics_page() const {
    const EndpointCounts endpoints = balancer_.endpoint_counts();
    return admin::write_metrics_page({.traffic_class_names = config_.traffic_class_names,
                                      .tunnels = stages_.registry.tunnel_counters,
                                      .open_tunnels = stages_.registry.admitted_count(),
                                      .endpoints_listed = endpoints.listed,
                                      .endpoints_excluded = endpoints.excluded});
}

// Succeeds also for a node that is shutting down, since it is migrating its clients already.
bool Node::drain() {
    if (phase_ == Phase::serving) transition_to(Phase::drained);
    return true;
}

bool Node::resume() {
    if (phase_ == Phase::drained) transition_to(Phase::serving);
    return ready();
}

}  // namespace lemonstair::node
