#include "simulation/shrink.h"

#include <algorithm>
#include <vector>

namespace lemonstair::simulation {

namespace {

constexpr Ticks second = 10000;

// Replaces the smallest scenario so far by smaller ones that still break the rule.
class Shrinker {
  public:
    Shrinker(ShrinkResult& best, const Player& player, int most,
             const std::function<void(const ShrinkResult&)>& on_progress)
        : best_(best), player_(player), most_(most), on_progress_(on_progress) {}

    // Plays a smaller scenario, and keeps it if the rule is still broken. Returns whether it was kept.
    bool try_scenario(const Scenario& smaller) {
        if (best_.plays >= most_) return false;
        ++best_.plays;
        const Verdict v = player_(smaller);
        const bool breaks = std::any_of(v.broken.begin(), v.broken.end(),
                                        [&](const Violation& b) { return b.rule == best_.rule; });
        if (breaks) best_.scenario = smaller;
        if (on_progress_) on_progress_(best_);
        return breaks;
    }
    template <class Change>
    bool try_change(Change&& change) {
        Scenario smaller = best_.scenario;
        change(smaller);
        return try_scenario(smaller);
    }
    bool drop_faults() {
        bool any = false;
        for (std::size_t i = 0; i < best_.scenario.faults.size();)
            if (try_change([&](Scenario& smaller) {
                    smaller.faults.erase(smaller.faults.begin() + static_cast<std::ptrdiff_t>(i));
                }))
                any = true;
            else
                ++i;
        return any;
    }

  private:
    ShrinkResult& best_;
    const Player& player_;
    int most_;
    const std::function<void(const ShrinkResult&)>& on_progress_;
};

}  // namespace

ShrinkResult shrink(const Scenario& scenario, const std::string& rule, const Player& player, int most_plays,
                    const std::function<void(const ShrinkResult&)>& on_progress) {
    ShrinkResult best{scenario, rule, 0};
    Shrinker shrinker(best, player, most_plays, on_progress);
    while (shrinker.drop_faults()) continue;
    // Conditions that may not be needed; each is tried by itself.
    const std::vector<std::function<void(Scenario&)>> simplifications{
        [](Scenario& smaller) { smaller.network.cut_reads = 0; },
        [](Scenario& smaller) { smaller.network.cut_writes = 0; },
        [](Scenario& smaller) { smaller.network.lost = smaller.network.doubled = 0; },
        [](Scenario& smaller) { smaller.network.datagram_jitter = 0; },
        [](Scenario& smaller) { smaller.network.window = 65536; },
        [](Scenario& smaller) {
            smaller.client_behavior.abandon_share = smaller.client_behavior.slow_reader_share = 0;
        },
        [](Scenario& smaller) { smaller.client_behavior.flood_share = 0; },
        [](Scenario& smaller) { smaller.max_clock_skew = 0; },
        [](Scenario& smaller) { smaller.known_share = 1; },
        [](Scenario& smaller) { smaller.groups = false; },
    };
    for (const auto& change : simplifications) shrinker.try_change(change);
    while (best.scenario.clients > 1 && shrinker.try_change([](Scenario& smaller) {
        // The load of each client stays the same.
        const std::uint32_t fewer = smaller.clients / 2;
        smaller.load *= static_cast<double>(fewer) / smaller.clients;
        smaller.clients = fewer;
    }))
        continue;
    for (std::size_t i = 0; i < best.scenario.faults.size(); ++i) {
        const auto& f = [&]() -> const Fault& { return best.scenario.faults[i]; };
        while (f().duration > second / 10 &&
               shrinker.try_change([&](Scenario& smaller) { smaller.faults[i].duration /= 2; }))
            continue;
        while (f().count > 1 && shrinker.try_change([&](Scenario& smaller) { smaller.faults[i].count /= 2; }))
            continue;
    }
    while (best.scenario.duration > second) {
        const bool fits =
            std::all_of(best.scenario.faults.begin(), best.scenario.faults.end(),
                        [&](const Fault& f) { return f.start + 2 * second < best.scenario.duration; });
        if (!fits || !shrinker.try_change([](Scenario& smaller) {
                smaller.duration -= std::min(smaller.duration - second, 2 * second);
            }))
            break;
    }
    while (shrinker.drop_faults()) continue;
    return best;
}

}  // namespace lemonstair::simulation
