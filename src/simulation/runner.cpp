#include "simulation/runner.h"

#include <atomic>
#include <charconv>
#include <exception>
#include <map>
#include <mutex>
#include <sstream>
#include <stdexcept>
#include <thread>

namespace lemonstair::simulation {

SeedRange parse_seeds(const std::string& text) {
    const auto number = [&](std::string_view part) {
        std::uint64_t n = 0;
        const auto [stop, error] = std::from_chars(part.data(), part.data() + part.size(), n);
        if (part.empty() || error != std::errc{} || stop != part.data() + part.size())
            throw std::invalid_argument("'" + text + "' is not a seed or a range such as 1..10000");
        return n;
    };
    const auto dots = text.find("..");
    SeedRange seeds;
    seeds.first = number(std::string_view(text).substr(0, dots));
    seeds.last = dots == std::string::npos ? seeds.first : number(std::string_view(text).substr(dots + 2));
    if (seeds.last < seeds.first)
        throw std::invalid_argument("'" + text + "' is a range whose last seed is below its first");
    return seeds;
}

void play_all(const SeedRange& seeds, unsigned jobs, const ScenarioSource& scenario_of,
              const std::function<void(const Verdict&)>& each) {
    std::atomic<std::uint64_t> next{seeds.first};
    std::mutex output_lock;
    std::map<std::uint64_t, Verdict>
        finished_early;  // finished, but an earlier seed has to be reported first
    std::uint64_t next_reported = seeds.first;
    std::exception_ptr failure;
    const auto work = [&] {
        for (;;) {
            const std::uint64_t seed = next++;
            if (seed > seeds.last) return;
            try {
                Verdict v = play(scenario_of(seed));
                const std::lock_guard lock(output_lock);
                finished_early.emplace(seed, std::move(v));
                for (auto it = finished_early.find(next_reported); it != finished_early.end();
                     it = finished_early.find(++next_reported)) {
                    each(it->second);
                    finished_early.erase(it);
                }
            } catch (...) {
                const std::lock_guard lock(output_lock);
                failure = std::current_exception();
                next = seeds.last + 1;
            }
        }
    };
    std::vector<std::thread> threads;
    for (unsigned i = 1; i < jobs; ++i) threads.emplace_back(work);
    work();
    for (auto& t : threads) t.join();
    if (failure) std::rethrow_exception(failure);
}

std::string json_of(const Verdict& v) {
    std::ostringstream out;
    out << R"({"seed":)" << v.seed << R"(,"hash":")" << std::hex << v.hash << std::dec
        << R"(","simulated_s":)" << static_cast<double>(v.simulated) / 10000 << R"(,"taken":)"
        << v.tally.taken << R"(,"opened":)" << v.tally.opened << R"(,"declined":)" << v.tally.declined
        << R"(,"closed_with_error":)" << v.tally.failed << R"(,"setups":)" << v.tally.setups
        << R"(,"resumed":)" << v.tally.resumed << R"(,"not_held":)" << v.tally.not_held << R"(,"broken":[)";
    for (std::size_t i = 0; i < v.broken.size(); ++i)
        out << (i > 0 ? "," : "") << R"({"at_s":)" << static_cast<double>(v.broken[i].at) / 10000
            << R"(,"rule":")" << v.broken[i].rule << "\"}";
    out << "]}\n";
    return out.str();
}

}  // namespace lemonstair::simulation
