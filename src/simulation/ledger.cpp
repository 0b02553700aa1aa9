#include "simulation/ledger.h"

#include <algorithm>
#include <cmath>

namespace lemonstair::simulation {

// A mid-flow tunnel is already open at its server and adds no load to it.
void Ledger::record_setup(std::uint32_t server, Ticks at, bool mid_flow, double budget, bool notified) {
    if (mid_flow) return;
    servers_[server].setup_times.push_back(at);
    servers_[server].budget.push_back(budget);
    servers_[server].notified.push_back(notified ? 1 : 0);
}

std::size_t Ledger::most_within(std::uint32_t server, Ticks window) const {
    const auto& setup_times = servers_[server].setup_times;
    std::size_t most = 0;
    for (std::size_t first = 0, last = 0; last < setup_times.size(); ++last) {
        while (setup_times[last] - setup_times[first] > window) ++first;
        most = std::max(most, last - first + 1);
    }
    return most;
}

// The budget of a server in slow start grows within a window: the mean of its first and last value is taken.
double Ledger::most_of_budget(std::uint32_t server, Ticks window) const {
    const Server& h = servers_[server];
    double most = 0;
    for (std::size_t first = 0, last = 0; last < h.setup_times.size(); ++last) {
        while (h.setup_times[last] - h.setup_times[first] > window || (h.budget[first] <= 0 && first < last))
            ++first;
        const double overload_limit = (h.budget[first] + h.budget[last]) / 2;
        if (h.budget[last] > 0 && overload_limit > 0)
            most = std::max(most, static_cast<double>(last - first + 1) / overload_limit);
    }
    return most;
}

double Ledger::most_over_allowance(std::uint32_t server, Ticks window) const {
    const Server& h = servers_[server];
    // Budget and a deviation of 2 standard deviations of a random arrival count, or 3 where the budget is
    // small.
    const auto allowance = [](double n) {
        return n < 30 ? n + 3 * std::sqrt(n) + 3 : n + 2 * std::sqrt(n) + 2;
    };
    double most = 0;
    std::size_t received = 0;
    for (std::size_t first = 0, last = 0; last < h.setup_times.size(); ++last) {
        received += h.notified[last];
        while (h.setup_times[last] - h.setup_times[first] > window || (h.budget[first] <= 0 && first < last))
            received -= h.notified[first++];
        const double budget = std::max(h.budget[first], h.budget[last]);
        if (h.budget[last] > 0) most = std::max(most, static_cast<double>(received) - allowance(budget));
    }
    return most;
}

}  // namespace lemonstair::simulation
