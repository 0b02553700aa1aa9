/// The node: owns its components, connects them, and leads them through the phases from start to exit.
#pragma once

#include <cstdint>
#include <string_view>

#include "admin/admin_server.h"
#include "balance/balance.h"
#include "config/node_config.h"
#include "discovery/endpoint_directory.h"
#include "health_check/health_checker.h"
#include "hot_restart/session.h"
#include "log/log.h"
#include "metrics/resource_counters.h"
#include "net/loop.h"
#include "node/balancer_runner.h"
#include "node/config_reloader.h"
#include "node/drain_controller.h"
#include "node/endpoint_list_client.h"
#include "node/peer_link.h"
#include "node/status_log.h"
#include "tunnel/stages.h"

namespace lemonstair::node {

/// drained: operators have sent the clients to other nodes; the node serves again when they request it.
enum class Phase : std::uint8_t { starting, serving, drained, shutting_down, stopped };

/// The name shown to operators and in log lines; differs from the enum value's name for the last two.
std::string_view name_of(Phase phase);

class Node final : health_check::Listener, admin::AdminHandler, hot_restart::Delegate, net::EventHandler {
  public:
    /// `initial_endpoints`: the configuration's endpoint list; ignored unless it is a JSON object. Throws
    /// json::Malformed, whose text names the key, if the node cannot listen on an address.
    Node(net::System& system, config::NodeConfig config, const json::Value& initial_endpoints, log::Log& log,
         ConfigReloader::Read read_config, BalancerRunner::Factory make_balancer = Balancer::start);
    /// Runs until the node has stopped.
    void run();
    /// Runs one pass of the event loop. Returns false once the node has stopped.
    bool run_once();

    /// What the node uses now. A node without connections uses only its periodic timers and a few
    /// descriptors.
    struct ResourceUsage {
        std::size_t tunnels, buffers, timers, admin_connections, descriptors;
    };
    const metrics::ResourceCounters& resource_counters() const { return counters_; }
    ResourceUsage resource_usage() const {
        return {stages_.registry.tunnel_count(), stages_.registry.pool.in_use(), loop_.timers(),
                admin_server_.open_connections(), loop_.descriptors()};
    }

  private:
    void open_listeners();
    void transition_to(Phase to);
    void shut_down();
    void start_serving();
    void stop_serving();
    void accept_clients();
    void serve_again();
    void open_peer_link();
    // Whether this process acts as the node: during a hot restart only one of the two processes does.
    bool owns_node() const { return hot_restart::is_active(hot_restart_.role()); }
    bool accepts_clients() const { return hot_restart::accepts_clients(hot_restart_.role()); }
    bool is_handed_over() const { return hot_restart::is_replaced(hot_restart_.role()); }
    bool follows_endpoint_list() const;
    void execute(const DeferredActions::Action& action);
    void check_health(std::uint32_t endpoint);
    void on_config_reloaded(const std::string& restart_keys);

    void on_health_check(std::uint32_t endpoint, Outcome outcome, Ticks took,
                         const LoadReport& report) override;
    bool ready() const override { return phase_ == Phase::serving && accepts_clients(); }
    std::string_view phase() const override;
    std::string metrics_page() const override;
    bool drain() override;
    bool resume() override;
    void export_state(std::string& endpoint_list, std::string& balancer_state) override;
    void begin(std::string_view endpoint_list, std::string_view balancer_state) override;
    void on_role_changed(hot_restart::Role from, hot_restart::Role to) override;
    net::Ticks clock_base() override { return loop_.system().clock_base(); }
    void on_peer_clock_base(net::Ticks base) override {
        stages_.transfer.set_clock_shift(clock_base() - base);
    }
    bool next_tunnel(hot_restart::TransferredTunnel& next) override;
    void on_transfer_result(std::uint64_t number, bool accepted) override;
    bool receive_tunnel(std::string_view bytes, net::Fd client, net::Fd endpoint) override;
    bool has_tunnels() const override { return stages_.registry.tunnel_count() > 0; }
    std::size_t descriptors_held() const override {
        return loop_.in_use() + tunnel::DescriptorBudget::outside_loop;
    }
    std::size_t descriptor_limit() const override { return config_.max_descriptors; }
    void on_id_result(const request_ids::IdResult& result) override { stages_.id_claims.on_result(result); }
    void on_peer_descriptors(std::size_t descriptors) override {
        stages_.registry.descriptors.set_sibling_held(descriptors);
    }
    void on_ready(std::uint64_t token, short events) override;
    void on_timer(std::uint64_t token) override;

    config::NodeConfig config_;
    log::Log& log_;
    net::EventLoop loop_;
    metrics::ResourceCounters counters_;
    discovery::EndpointDirectory endpoints_;
    tunnel::TunnelStages stages_;
    PeerLink peers_;
    BalancerRunner balancer_;
    EndpointListClient endpoint_list_;
    health_check::HealthChecker health_checker_;
    StatusLog status_log_;
    admin::AdminServer admin_server_;
    hot_restart::Session hot_restart_;
    DrainController drain_;
    ConfigReloader config_reloader_;
    net::Socket signals_;
    Phase phase_ = Phase::starting;
};

}  // namespace lemonstair::node
