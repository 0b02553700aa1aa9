// Probes of hosts: one connection a host, kept while probes follow one another, asked for its load.
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

// Who hears what a probe found.
class Listener {
  public:
    Listener() = default;
    Listener(const Listener&) = delete;
    Listener& operator=(const Listener&) = delete;
    virtual ~Listener() = default;
    virtual void on_health_check(std::uint32_t ep, Outcome ending, Ticks took, const LoadReport& report) = 0;
};

class HealthChecker final : public net::EventHandler {
  public:
    HealthChecker(net::EventLoop& loop, net::BufferPool& pool, const discovery::EndpointDirectory& hosts,
                  Listener& hearer, const config::NodeConfig& launch, metrics::ResourceCounters& costs)
        : loop_(loop), pool_(pool), hosts_(hosts), hearer_(hearer), launch_(launch), costs_(costs) {}
    std::size_t lines() const { return open_; }
    void probe(std::uint32_t ep);
    // Another process of this node probes from now on: no line is kept for later.
    void stop();
    void on_ready(std::uint64_t token, short events) override;
    void on_timer(std::uint64_t token) override;

  private:
    enum class State : std::uint8_t { closed, waiting, idle, connecting, asking };
    struct Line {
        net::Socket socket;
        net::Buffer answer;
        std::string_view question;
        std::size_t said = 0;  // bytes of the question
        Ticks asked_at = 0, due = 0;
        bool timed = false;  // a timer of this connection is out
        std::uint32_t serial = 0;
        State state = State::closed;
        bool used_before = false;
    };
    std::uint64_t token_of(std::uint32_t place) const {
        return std::uint64_t{lines_[place].serial} << 32 | place;
    }
    void connect(std::uint32_t place);
    void ask(std::uint32_t place);
    bool say(std::uint32_t place);
    void close(std::uint32_t place);
    void read(std::uint32_t place);
    void lost(std::uint32_t place, Outcome ending);
    void found(std::uint32_t place, Outcome ending, const LoadReport& report);
    void set_due(std::uint32_t place, Ticks when);
    void look_by(std::uint32_t place);
    bool line_left();
    void next_waiting();

    net::EventLoop& loop_;
    net::BufferPool& pool_;
    const discovery::EndpointDirectory& hosts_;
    Listener& hearer_;
    const config::NodeConfig& launch_;
    metrics::ResourceCounters& costs_;
    std::vector<Line> lines_;  // by place of the host
    std::size_t open_ = 0;
    std::deque<std::uint32_t> waiting_;  // places, for want of a descriptor
};

// Of the descriptors granted, those that probes may hold at once: with many hosts the lines take turns.
constexpr std::size_t most_lines(std::size_t hosts, std::size_t sockets) {
    return std::min(hosts, std::max<std::size_t>(4, sockets / 8));
}

// "PONG inflight=7,queue=2": what the names mean goes into the report. False where it is no good answer.
bool read_pong(std::string_view line, LoadReport& report);

}  // namespace lemonstair::health_check
