// Fake of the front load balancer, which distributes clients among the nodes according to its own health
// checks.
#pragma once

#include <string>
#include <unordered_map>
#include <vector>

#include "fakes/environment.h"
#include "simnet/random_source.h"

namespace lemonstair::fakes {

// A node that answers PING is in rotation. One that answers BUSY leaves the rotation at once, one that does
// not answer leaves it after the detection delay.
class Front final : public simnet::StreamListener, public simnet::EventTarget {
  public:
    static constexpr std::uint32_t none = 0xffffffffU;
    Front(TestEnvironment& environment, Machine machine, const std::vector<net::Address>& nodes,
          Ticks detection_delay, simnet::RandomSource random);
    void start();
    // A random node in rotation, except `node`; `none` if there is no such node.
    std::uint32_t pick();
    std::uint32_t pick_except(std::uint32_t node);
    const net::Address& address(std::uint32_t node) const { return nodes_[node].address; }
    std::size_t size() const { return nodes_.size(); }
    // The node shuts down: it leaves the rotation `after` from now. It can return only after its port has
    // refused a connection, as then the next process there is a new one.
    void schedule_removal(std::uint32_t node, Ticks after);

    void on_stream_event(End end) override;
    void on_connection(const net::Address&) override {}
    void on_event(std::uint64_t token) override;

  private:
    struct HealthState {
        net::Address address;
        End end;
        bool checking = false, ping_sent = false, in_rotation = false, leaving = false;
        Ticks answered_at = 0;
        std::string received;
    };
    void check(std::uint32_t node);
    TestEnvironment& environment_;
    Machine machine_;
    std::vector<HealthState> nodes_;
    std::unordered_map<std::uint64_t, std::uint32_t> by_end_;
    Ticks detection_delay_;
    simnet::RandomSource random_;
};

}  // namespace lemonstair::fakes
