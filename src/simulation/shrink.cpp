#include "simulation/shrink.h"

#include <algorithm>
#include <vector>

namespace lemonstair::simulation {

namespace {

constexpr Ticks second = 10000;

class Shrinker {
  public:
    Shrinker(Shrunk& best, const Player& player, int most, const std::function<void(const Shrunk&)>& told)
        : best_(best), player_(player), most_(most), told_(told) {}

    // Takes the smaller day where the rule still breaks in it.
    bool takes(const Scenario& smaller) {
        if (best_.plays >= most_) return false;
        ++best_.plays;
        const Verdict v = player_(smaller);
        const bool breaks = std::any_of(v.broken.begin(), v.broken.end(),
                                        [&](const Broken& b) { return b.rule == best_.rule; });
        if (breaks) best_.day = smaller;
        if (told_) told_(best_);
        return breaks;
    }
    template <class Change>
    bool takes_with(Change&& change) {
        Scenario smaller = best_.day;
        change(smaller);
        return takes(smaller);
    }
    bool drop_faults() {
        bool any = false;
        for (std::size_t i = 0; i < best_.day.faults.size();)
            if (takes_with(
                    [&](Scenario& d) { d.faults.erase(d.faults.begin() + static_cast<std::ptrdiff_t>(i)); }))
                any = true;
            else
                ++i;
        return any;
    }

  private:
    Shrunk& best_;
    const Player& player_;
    int most_;
    const std::function<void(const Shrunk&)>& told_;
};

}  // namespace

Shrunk shrink(const Scenario& day, const std::string& rule, const Player& player, int most_plays,
              const std::function<void(const Shrunk&)>& told) {
    Shrunk best{day, rule, 0};
    Shrinker s(best, player, most_plays, told);
    while (s.drop_faults()) continue;
    // What makes a day rich, one thing at a time.
    const std::vector<std::function<void(Scenario&)>> plainer{
        [](Scenario& d) { d.weather.cut_reads = 0; },
        [](Scenario& d) { d.weather.cut_writes = 0; },
        [](Scenario& d) { d.weather.lost = d.weather.doubled = 0; },
        [](Scenario& d) { d.weather.datagram_jitter = 0; },
        [](Scenario& d) { d.weather.window = 65536; },
        [](Scenario& d) { d.manners.impatient = d.manners.slow_readers = 0; },
        [](Scenario& d) { d.clocks_apart = 0; },
        [](Scenario& d) { d.known = 1; },
        [](Scenario& d) { d.groups = false; },
    };
    for (const auto& change : plainer) s.takes_with(change);
    while (best.day.members > 1 && s.takes_with([](Scenario& d) {
        // Each member keeps its weight.
        d.load *= static_cast<double>(d.members / 2) / d.members;
        d.members /= 2;
    }))
        continue;
    for (std::size_t i = 0; i < best.day.faults.size(); ++i) {
        const auto& f = [&]() -> const Fault& { return best.day.faults[i]; };
        while (f().span > second / 10 && s.takes_with([&](Scenario& d) { d.faults[i].span /= 2; })) continue;
        while (f().count > 1 && s.takes_with([&](Scenario& d) { d.faults[i].count /= 2; })) continue;
    }
    while (best.day.span > second) {
        const bool fits = std::all_of(best.day.faults.begin(), best.day.faults.end(),
                                      [&](const Fault& f) { return f.at + 2 * second < best.day.span; });
        if (!fits || !s.takes_with([](Scenario& d) { d.span -= std::min(d.span - second, 2 * second); }))
            break;
    }
    while (s.drop_faults()) continue;
    return best;
}

}  // namespace lemonstair::simulation
