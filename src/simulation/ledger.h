// Setups that each server was sent, and its slow-start budget at each of them, as seen on the wire: the
// bounds on what the nodes send together are judged from it. Times are tenths of a ms since the scenario's
// start.
#pragma once

#include <cstdint>
#include <vector>

#include "simnet/event_queue.h"

namespace lemonstair::simulation {

class Ledger {
  public:
    using Ticks = simnet::Ticks;
    explicit Ledger(std::uint32_t servers) : servers_(servers) {}
    void set_cold(std::uint32_t server, bool cold) { servers_[server].cold = cold; }
    // budget: what all nodes together may send it in a window, at this moment; 0: no such bound.
    // notified: its node knows of the server's last start.
    void record_setup(std::uint32_t server, Ticks at, bool mid_flow, double budget, bool notified);
    // A tunnel was declined; beside_idle: while a server was idle.
    void declined(bool beside_idle) { ++declined_, declined_idle_ += beside_idle ? 1 : 0; }

    std::uint32_t servers() const { return static_cast<std::uint32_t>(servers_.size()); }
    bool cold(std::uint32_t server) const { return servers_[server].cold; }
    std::size_t setups(std::uint32_t server) const { return servers_[server].setup_times.size(); }
    // The most that came within one window of such a length.
    std::size_t most_within(std::uint32_t server, Ticks window) const;
    // The most of its budget that came within one window of such a length; 0: none came while it had one.
    double most_of_budget(std::uint32_t server, Ticks window) const;
    // How many more came within one window, from nodes that were notified, than chance allows beyond the
    // budget then; at most 0: never more.
    double most_over_allowance(std::uint32_t server, Ticks window) const;
    std::uint64_t declined() const { return declined_; }
    std::uint64_t declined_idle() const { return declined_idle_; }

  private:
    struct Server {
        bool cold = false;  // in slow start when the scenario began
        std::vector<Ticks> setup_times;
        std::vector<double> budget;  // at each of them
        std::vector<char> notified;
    };
    std::vector<Server> servers_;
    std::uint64_t declined_ = 0, declined_idle_ = 0;
};

}  // namespace lemonstair::simulation
