// Fake of the front load balancer that deals clients out among the nodes, by its own health checks.
#pragma once

#include <string>
#include <unordered_map>
#include <vector>

#include "fakes/environment.h"
#include "simnet/random_source.h"

namespace lemonstair::fakes {

// The front takes in a node that answers PING, and notices after a while that one has died.
class Front final : public simnet::StreamListener, public simnet::EventTarget {
  public:
    static constexpr std::uint32_t none = 0xffffffffU;
    Front(TestEnvironment& town, Machine machine, std::vector<net::Address> nodes, Ticks notices_after,
          simnet::RandomSource chance);
    void start();
    // A node that is dealt clients; none where no node is.
    std::uint32_t deal();
    std::uint32_t deal_but(std::uint32_t node);
    const net::Address& address(std::uint32_t node) const { return nodes_[node].at; }
    std::size_t size() const { return nodes_.size(); }
    // Told that a node leaves on purpose: it is dealt no one from a moment later on.
    void leaves(std::uint32_t node, Ticks after);

    void on_stream_event(End end) override;
    void on_connection(const net::Address&) override {}
    void on_event(std::uint64_t token) override;

  private:
    struct Checked {
        net::Address at;
        End end;
        bool asking = false, asked = false, in = false, leaving = false;
        Ticks answered_at = 0;
        std::string got;
    };
    void check(std::uint32_t node);
    TestEnvironment& town_;
    Machine machine_;
    std::vector<Checked> nodes_;
    std::unordered_map<std::uint64_t, std::uint32_t> by_end_;
    Ticks notices_after_;
    simnet::RandomSource chance_;
};

}  // namespace lemonstair::fakes
