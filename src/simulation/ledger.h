// Records the setups that each server received and its slow-start budget at each of them, as seen on the
// wire. The invariants judge from it how many setups all nodes together send a server. Times are in tenths of
// a ms since the scenario's start.
#pragma once

#include <cstdint>
#include <vector>

#include "simnet/event_queue.h"

namespace lemonstair::simulation {

// The setups of one run, by server, and the number of declined tunnels.
class Ledger {
  public:
    using Ticks = simnet::Ticks;
    explicit Ledger(std::uint32_t servers) : servers_(servers) {}
    void set_cold(std::uint32_t server, bool cold) { servers_[server].cold = cold; }
    // `budget`: how many setups all nodes together may send the server in a window at this moment; 0 if there
    // is no such bound. `notified`: the node that sent the setup knows of the server's last start. Mid-flow
    // setups are not counted.
    void record_setup(std::uint32_t server, Ticks at, bool mid_flow, double budget, bool notified);
    // Counts a declined tunnel. `beside_idle`: a server was idle at that time.
    void declined(bool beside_idle) { ++declined_, declined_idle_ += beside_idle ? 1 : 0; }

    std::uint32_t servers() const { return static_cast<std::uint32_t>(servers_.size()); }
    bool cold(std::uint32_t server) const { return servers_[server].cold; }
    std::size_t setups(std::uint32_t server) const { return servers_[server].setup_times.size(); }
    // Largest number of setups within any window of this length.
    std::size_t most_within(std::uint32_t server, Ticks window) const;
    // Largest share of its budget that a server received within any window of this length; 0 if it received
    // no setup while it had a budget.
    double most_of_budget(std::uint32_t server, Ticks window) const;
    // By how many setups, of nodes that were notified, any window of this length exceeded the budget and the
    // random deviation that is allowed on top of it. Not above 0 if none did.
    double most_over_allowance(std::uint32_t server, Ticks window) const;
    std::uint64_t declined() const { return declined_; }
    std::uint64_t declined_idle() const { return declined_idle_; }

  private:
    struct Server {
        bool cold = false;  // in slow start when the scenario began
        std::vector<Ticks> setup_times;
        std::vector<double> budget;  // at each setup
        std::vector<char> notified;  // 1 or 0, for each setup
    };
    std::vector<Server> servers_;
    std::uint64_t declined_ = 0, declined_idle_ = 0;
};

}  // namespace lemonstair::simulation
