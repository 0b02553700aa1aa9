#include "simulation/shrink.h"

#include <algorithm>
#include <vector>

namespace lemonstair::simulation {

namespace {

constexpr Ticks second = 10000;

class Shrinker {
  public:
    Shrinker(ShrinkResult& best, const Player& player, int most,
             const std::function<void(const ShrinkResult&)>& on_progress)
        : best_(best), player_(player), most_(most), on_progress_(on_progress) {}

    // Takes the smaller scenario where the rule still breaks in it.
    bool takes(const Scenario& smaller) {
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
    bool takes_with(Change&& change) {
        Scenario smaller = best_.scenario;
        change(smaller);
        return takes(smaller);
    }
    bool drop_faults() {
        bool any = false;
        for (std::size_t i = 0; i < best_.scenario.faults.size();)
            if (takes_with(
                    [&](Scenario& d) { d.faults.erase(d.faults.begin() + static_cast<std::ptrdiff_t>(i)); }))
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
    Shrinker s(best, player, most_plays, on_progress);
    while (s.drop_faults()) continue;
    // Conditions that a scenario may do without, one at a time.
    const std::vector<std::function<void(Scenario&)>> plainer{
        [](Scenario& d) { d.network.cut_reads = 0; },
        [](Scenario& d) { d.network.cut_writes = 0; },
        [](Scenario& d) { d.network.lost = d.network.doubled = 0; },
        [](Scenario& d) { d.network.datagram_jitter = 0; },
        [](Scenario& d) { d.network.window = 65536; },
        [](Scenario& d) { d.client_behavior.abandon_share = d.client_behavior.slow_reader_share = 0; },
        [](Scenario& d) { d.max_clock_skew = 0; },
        [](Scenario& d) { d.known_share = 1; },
        [](Scenario& d) { d.groups = false; },
    };
    for (const auto& change : plainer) s.takes_with(change);
    while (best.scenario.clients > 1 && s.takes_with([](Scenario& d) {
        // Each client keeps its load.
        const std::uint32_t fewer = d.clients / 2;
        d.load *= static_cast<double>(fewer) / d.clients;
        d.clients = fewer;
    }))
        continue;
    for (std::size_t i = 0; i < best.scenario.faults.size(); ++i) {
        const auto& f = [&]() -> const Fault& { return best.scenario.faults[i]; };
        while (f().duration > second / 10 && s.takes_with([&](Scenario& d) { d.faults[i].duration /= 2; }))
            continue;
        while (f().count > 1 && s.takes_with([&](Scenario& d) { d.faults[i].count /= 2; })) continue;
    }
    while (best.scenario.duration > second) {
        const bool fits =
            std::all_of(best.scenario.faults.begin(), best.scenario.faults.end(),
                        [&](const Fault& f) { return f.start + 2 * second < best.scenario.duration; });
        if (!fits ||
            !s.takes_with([](Scenario& d) { d.duration -= std::min(d.duration - second, 2 * second); }))
            break;
    }
    while (s.drop_faults()) continue;
    return best;
}

}  // namespace lemonstair::simulation
