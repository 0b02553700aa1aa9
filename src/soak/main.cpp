// lemonstair_soak: real processes on the loopback, two or three overlapping faults, and a shim in each
// process that makes calls, files and clocks fail; judged by the invariants on the wire and by the processes'
// own checks. The same seed draws the same scenario.
#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <map>
#include <string>

#include "metrics/violations.h"
#include "process_harness/interrupt.h"
#include "process_harness/process_harness.h"
#include "simulation/command_line.h"
#include "simulation/runner.h"
#include "soak/soak_scenario.h"

namespace {

namespace simulation = lemonstair::simulation;
namespace process_harness = lemonstair::process_harness;
namespace soak = lemonstair::soak;

using simulation::exit_machine_too_busy;
using simulation::exit_rule_broken;
using simulation::exit_rules_kept;

struct Options {
    std::string seeds, program, shim, json, keep;
    std::uint32_t nodes = 0;
    std::size_t show = 6;
    bool plain = false;
};

// Temporary folder for the logs of one run; removed at its end.
class LogFolder {
  public:
    LogFolder() {
        std::string pattern = (std::filesystem::temp_directory_path() / "lemonstair-soak-XXXXXX").string();
        if (::mkdtemp(pattern.data()) == nullptr) throw std::runtime_error("no folder for the logs");
        path_ = pattern;
    }
    LogFolder(const LogFolder&) = delete;
    LogFolder& operator=(const LogFolder&) = delete;
    ~LogFolder() {
        std::error_code ignored;
        std::filesystem::remove_all(path_, ignored);
    }
    const std::filesystem::path& path() const { return path_; }
    // Log lines of violations that a process found itself.
    std::vector<std::string> violations() const {
        std::vector<std::string> found;
        for (const auto& entry : std::filesystem::directory_iterator(path_)) {
            std::ifstream log(entry.path());
            for (std::string line; std::getline(log, line);)
                if (line.find(lemonstair::metrics::violation_prefix) != std::string::npos)
                    found.push_back(entry.path().stem().string() + " " + line);
        }
        return found;
    }
    void keep_in(const std::string& folder, std::uint64_t seed) const {
        const auto to = std::filesystem::path(folder) / ("seed-" + std::to_string(seed));
        std::filesystem::create_directories(to);
        using std::filesystem::copy_options;
        std::filesystem::copy(path_, to, copy_options::overwrite_existing | copy_options::recursive);
    }

  private:
    std::filesystem::path path_;
};

process_harness::RunResult play(const Options& options, std::uint64_t seed, const volatile bool& stop) {
    const simulation::Scenario scenario = soak::draw_soak_scenario(seed, options.nodes);
    const LogFolder logs;
    process_harness::HarnessOptions harness_options{options.program, logs.path().string(), {}};
    harness_options.environment = [&](std::uint32_t node, std::uint32_t incarnation) {
        std::vector<std::string> more{"LEMONSTAIR_LOG=debug"};
        if (options.plain) return more;
        more.push_back("LD_PRELOAD=" + options.shim);
        more.push_back(std::string(soak::plan_variable) + "=" +
                       soak::write_plan(soak::draw_plan(seed, node, incarnation)));
        more.push_back("ASAN_OPTIONS=verify_asan_link_order=0");
        return more;
    };
    process_harness::RunResult outcome = process_harness::play(scenario, harness_options, stop);
    for (const std::string& line : logs.violations()) outcome.broken.push_back({0, "self_check", line});
    if (!outcome.broken.empty() && !options.keep.empty()) logs.keep_in(options.keep, seed);
    return outcome;
}

void print_result(const Options& options, std::uint64_t seed, const process_harness::RunResult& outcome) {
    const simulation::Scenario scenario = soak::draw_soak_scenario(seed, options.nodes);
    std::cout << "seed " << seed << ": " << outcome.nodes << " processes, taken " << outcome.tally.taken
              << ", opened " << outcome.tally.opened << ", declined " << outcome.tally.declined
              << ", closed with error " << outcome.tally.failed << "; " << outcome.broken.size() << " broken"
              << (outcome.is_conclusive() ? "" : " (machine too busy)") << '\n';
    if (outcome.broken.empty()) return;
    std::cout << "  faults:";
    for (const simulation::Fault& fault : scenario.faults)
        std::cout << ' ' << simulation::fault_info(fault.kind).name << '@'
                  << static_cast<double>(fault.start) / 10000;
    std::cout << "\n  first process: " << soak::write_plan(soak::draw_plan(seed, 0, 1)) << '\n';
    for (std::size_t i = 0; i < std::min(options.show, outcome.broken.size()); ++i)
        std::cout << "  " << static_cast<double>(outcome.broken[i].at) / 10000 << " s  "
                  << outcome.broken[i].rule << ": " << outcome.broken[i].what << '\n';
}

int run(const Options& options, const volatile bool& stop) {
    const simulation::SeedRange seeds = simulation::parse_seeds(options.seeds);
    std::ofstream json;
    if (!options.json.empty()) json.open(options.json, std::ios::app);
    std::map<std::string, int> seeds_of_rule;
    int scenarios = 0, scenarios_broken = 0, scenarios_undecided = 0;
    for (std::uint64_t seed = seeds.first; seed <= seeds.last && !stop; ++seed) {
        const process_harness::RunResult outcome = play(options, seed, stop);
        if (outcome.interrupted) break;
        ++scenarios;
        if (json.is_open()) json << process_harness::json_of(outcome) << std::flush;
        print_result(options, seed, outcome);
        std::cout << std::flush;
        if (outcome.broken.empty()) continue;
        ++(outcome.is_conclusive() ? scenarios_broken : scenarios_undecided);
        std::map<std::string, int> rules;
        for (const simulation::Violation& one : outcome.broken) rules[one.rule] = 1;
        for (const auto& [rule, one] : rules) seeds_of_rule[rule] += one;
    }
    std::cout << scenarios << " scenarios, " << scenarios_broken << " with a broken rule, "
              << scenarios_undecided << " more on which the machine was too busy to tell\n";
    for (const auto& [rule, count] : seeds_of_rule) std::cout << "  " << rule << " on " << count << '\n';
    return scenarios_broken > 0      ? exit_rule_broken
           : scenarios_undecided > 0 ? exit_machine_too_busy
                                     : exit_rules_kept;
}

}  // namespace

int main(int argc, char** argv) {
    CLI::App app{"Plays randomized scenarios of overlapping faults on many real processes."};
    app.footer(
        "Exit status: 0 all rules kept; 1 a rule broken; 2 wrong use; 3 the machine was too busy to tell.");
    Options options;
    app.add_option("--seeds", options.seeds, "one seed or a range, as 1..20")->required();
    app.add_option("--program", options.program, "the node's program")->required()->check(CLI::ExistingFile);
    app.add_option("--shim", options.shim, "the fault shim")->required()->check(CLI::ExistingFile);
    app.add_option("--nodes", options.nodes, "so many processes instead of 10 to 40 by the seed")
        ->check(CLI::Range(1U, 200U));
    app.add_option("--json", options.json, "a line of JSON for each scenario, added to this file");
    app.add_option("--keep", options.keep, "the logs of scenarios with a broken rule into this folder");
    app.add_option("--show", options.show, "how many broken rules to tell of each scenario");
    app.add_flag("--plain", options.plain, "without the shim: the faults alone");
    const volatile bool& stop = process_harness::stop_on_signals();
    return simulation::run_command_line(app, argc, argv, "lemonstair_soak",
                                        [&] { return run(options, stop); });
}
