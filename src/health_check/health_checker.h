/// Health checks: asks endpoints whether they answer, and for their load. Each endpoint has one connection,
/// which is reused from check to check; all connections together share a limited number of descriptors.
#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <string_view>
#include <vector>

#include "balance/balance.h"
#include "config/node_config.h"
#include "discovery/endpoint_directory.h"
#include "metrics/resource_counters.h"
#include "net/buffer_pool.h"
#include "net/loop.h"

namespace lemonstair::health_check {

/// Receives the results of health checks.
class Listener {
  public:
    Listener() = default;
    Listener(const Listener&) = delete;
    Listener& operator=(const Listener&) = delete;
    virtual ~Listener() = default;
    /// Called once for each check, with the endpoint's number, and the duration in tenths of a millisecond.
    /// Fields of `report` that the endpoint did not report are NaN.
    virtual void on_health_check(std::uint32_t number, Outcome outcome, Ticks duration,
                                 const LoadReport& report) = 0;
};

/// Runs at most one check of each endpoint at a time.
class HealthChecker final : public net::EventHandler {
  public:
    HealthChecker(net::EventLoop& loop, net::BufferPool& pool, const discovery::EndpointDirectory& endpoints,
                  Listener& listener, const config::NodeConfig& config, metrics::ResourceCounters& counters)
        : loop_(loop),
          pool_(pool),
          endpoints_(endpoints),
          listener_(listener),
          config_(config),
          counters_(counters) {}
    std::size_t open_connections() const { return open_connections_; }
    /// Starts a check of the endpoint with this number. Does nothing where the endpoint is unknown or a check
    /// of it is under way.
    void check(std::uint32_t number);
    /// Called when another process of this node takes over the checks. Closes idle connections, and reports
    /// the checks that wait for a descriptor as Outcome::not_sent.
    void stop();
    void on_ready(std::uint64_t token, short events) override;
    void on_timer(std::uint64_t token) override;

  private:
    // waiting: for a free descriptor; idle: connected, with no check under way.
    enum class State : std::uint8_t { closed, waiting, idle, connecting, requesting };
    struct Connection {
        net::Socket socket;
        net::Buffer response;
        std::string_view request;
        std::size_t sent_bytes = 0;  // of the request
        Ticks started_at = 0, deadline = 0;
        bool timer_set = false;
        std::uint32_t generation = 0;  // counts closes, so that late events of closed connections are ignored
        State state = State::closed;
        bool reused = false;  // the connection has served an earlier check
    };
    std::uint64_t token_of(std::uint32_t index) const {
        return std::uint64_t{connections_[index].generation} << 32 | index;
    }
    void connect(std::uint32_t index);
    void send_request(std::uint32_t index);
    bool send_rest(std::uint32_t index);
    void close(std::uint32_t index);
    void read(std::uint32_t index);
    void fail(std::uint32_t index, Outcome outcome);
    void report(std::uint32_t index, Outcome outcome, const LoadReport& load);
    void set_deadline(std::uint32_t index, Ticks deadline);
    void schedule_timer(std::uint32_t index);
    bool reserve_connection();
    void start_waiting();

    net::EventLoop& loop_;
    net::BufferPool& pool_;
    const discovery::EndpointDirectory& endpoints_;
    Listener& listener_;
    const config::NodeConfig& config_;
    metrics::ResourceCounters& counters_;
    std::vector<Connection> connections_;  // by the index of the endpoint in the directory
    std::size_t open_connections_ = 0;
    std::deque<std::uint32_t> waiting_;  // indices of endpoints in state waiting
};

/// How many of the node's descriptors health checks may hold at once: an eighth of them, but at least four.
constexpr std::size_t max_connections(std::size_t endpoints, std::size_t descriptors) {
    return std::min(endpoints, std::max<std::size_t>(4, descriptors / 8));
}

/// Decodes an endpoint's answer, such as "PONG inflight=7,queue=2". Known names are stored in the report;
/// other names and invalid values are ignored. Returns false where the line is no such answer.
bool decode_pong(std::string_view line, LoadReport& report);

}  // namespace lemonstair::health_check
