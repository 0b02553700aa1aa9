#include "simulation/ledger.h"

#include <algorithm>
#include <cmath>

namespace lemonstair::simulation {

// A mid-flow tunnel is open at its host already, wherever it goes.
void Ledger::setup_came(std::uint32_t host, Ticks at, bool mid_flow, double budget, bool told) {
    if (mid_flow) return;
    hosts_[host].came.push_back(at);
    hosts_[host].budget.push_back(budget);
    hosts_[host].told.push_back(told ? 1 : 0);
}

std::size_t Ledger::most_within(std::uint32_t host, Ticks window) const {
    const auto& came = hosts_[host].came;
    std::size_t most = 0;
    for (std::size_t first = 0, last = 0; last < came.size(); ++last) {
        while (came[last] - came[first] > window) ++first;
        most = std::max(most, last - first + 1);
    }
    return most;
}

// A host that warms bears more at the end of a window than at its begin: the mean of both is taken.
double Ledger::most_of_budget(std::uint32_t host, Ticks window) const {
    const Host& h = hosts_[host];
    double most = 0;
    for (std::size_t first = 0, last = 0; last < h.came.size(); ++last) {
        while (h.came[last] - h.came[first] > window || (h.budget[first] <= 0 && first < last)) ++first;
        const double overload_limit = (h.budget[first] + h.budget[last]) / 2;
        if (h.budget[last] > 0 && overload_limit > 0)
            most = std::max(most, static_cast<double>(last - first + 1) / overload_limit);
    }
    return most;
}

double Ledger::most_over_allowance(std::uint32_t host, Ticks window) const {
    const Host& h = hosts_[host];
    const auto allowance = [](double n) {
        return n < 30 ? n + 3 * std::sqrt(n) + 3 : n + 2 * std::sqrt(n) + 2;
    };
    double most = 0;
    std::size_t came = 0;
    for (std::size_t first = 0, last = 0; last < h.came.size(); ++last) {
        came += h.told[last];
        while (h.came[last] - h.came[first] > window || (h.budget[first] <= 0 && first < last))
            came -= h.told[first++];
        const double budget = std::max(h.budget[first], h.budget[last]);
        if (h.budget[last] > 0) most = std::max(most, static_cast<double>(came) - allowance(budget));
    }
    return most;
}

}  // namespace lemonstair::simulation
