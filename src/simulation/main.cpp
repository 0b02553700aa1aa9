// lemonstair_simulation: the node on simulated machines, against faults drawn from a seed or written as a
// scenario.
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <map>
#include <sstream>
#include <string>
#include <thread>

#include "simulation/command_line.h"
#include "simulation/runner.h"
#include "simulation/shrink.h"

namespace {

namespace simulation = lemonstair::simulation;
using simulation::Scenario;
using simulation::Verdict;

using simulation::exit_rule_broken;
using simulation::exit_rules_kept;
using simulation::exit_wrong_usage;

std::string hex(std::uint64_t n) {
    std::ostringstream out;
    out << std::hex << std::setw(16) << std::setfill('0') << n;
    return out.str();
}

double seconds(lemonstair::simulation::Ticks t) { return static_cast<double>(t) / 10000; }

// The scenario of the file with this seed, or the one that the seed draws.
Scenario scenario_for(const std::string& file, std::uint64_t seed, bool operated) {
    if (file.empty())
        return operated ? simulation::draw_operated_scenario(seed) : simulation::draw_scenario(seed);
    Scenario scenario = simulation::read_scenario(file);
    scenario.seed = seed;
    return scenario;
}

// Progress of a long run on standard error, where that is a terminal.
class Progress {
  public:
    void say(const std::string& text) {
        if (!shown_) return;
        const auto now = std::chrono::steady_clock::now();
        if (now - last_ < std::chrono::milliseconds(200)) return;
        last_ = now;
        std::cerr << '\r' << text << "\x1b[K" << std::flush;
    }
    ~Progress() {
        if (shown_) std::cerr << "\r\x1b[K" << std::flush;
    }
    Progress() = default;
    Progress(const Progress&) = delete;
    Progress& operator=(const Progress&) = delete;

  private:
    bool shown_ = ::isatty(2) == 1;
    std::chrono::steady_clock::time_point last_{};
};

void print_violations(const Verdict& v, std::size_t most) {
    for (std::size_t i = 0; i < std::min(most, v.broken.size()); ++i)
        std::cout << "  " << std::fixed << std::setprecision(4) << seconds(v.broken[i].at) << " s  "
                  << v.broken[i].rule << ": " << v.broken[i].what << '\n';
    if (v.broken.size() > most) std::cout << "  and " << v.broken.size() - most << " more\n";
}

struct RunOptions {
    std::string seeds = "1..1000", scenario, json;
    unsigned jobs = std::max(1U, std::thread::hardware_concurrency());
    bool hashes = false, operated = false;
    std::size_t show = 3;
};

int run(const RunOptions& options) {
    const simulation::SeedRange seeds = simulation::parse_seeds(options.seeds);
    if (!options.scenario.empty())
        simulation::read_scenario(
            options.scenario);  // an invalid file ends the run before anything is played
    std::ofstream json;
    if (!options.json.empty()) json.open(options.json);
    if (!options.json.empty() && !json) {
        std::cerr << "lemonstair_simulation: '" << options.json << "' cannot be written\n";
        return exit_wrong_usage;
    }
    const auto begin = std::chrono::steady_clock::now();
    const std::uint64_t all = seeds.last - seeds.first + 1;
    std::uint64_t played = 0, bad = 0;
    double simulated = 0;
    std::map<std::string, std::pair<std::uint64_t, std::string>>
        rules;  // count of scenarios, and their first seeds
    {
        Progress progress;
        simulation::play_all(
            seeds, options.jobs,
            [&](std::uint64_t seed) { return scenario_for(options.scenario, seed, options.operated); },
            [&](const Verdict& v) {
                ++played;
                simulated += seconds(v.simulated);
                if (json.is_open()) json << simulation::json_of(v);
                if (options.hashes) std::cout << "seed " << v.seed << " trace " << hex(v.hash) << '\n';
                if (!v.broken.empty()) {
                    ++bad;
                    auto& [scenarios, names] = rules[v.rule()];
                    if (++scenarios <= 8) names += " " + std::to_string(v.seed);
                    std::cout << "seed " << v.seed << " breaks a rule:\n";
                    print_violations(v, options.show);
                }
                progress.say(std::to_string(played) + " of " + std::to_string(all) + " scenarios, " +
                             std::to_string(bad) + " with a broken rule");
            });
    }
    const double took = std::chrono::duration<double>(std::chrono::steady_clock::now() - begin).count();
    std::cout << std::fixed << std::setprecision(1) << played << " scenarios, " << simulated
              << " simulated seconds in " << took << " s on " << options.jobs
              << " threads: " << std::setprecision(0) << simulated / took / options.jobs
              << " simulated seconds a second of one\n";
    if (bad == 0) {
        std::cout << "all rules kept\n";
        return exit_rules_kept;
    }
    for (const auto& [rule, row] : rules)
        std::cout << rule << ": broken first in " << row.first << " scenarios, seeds" << row.second
                  << (row.first > 8 ? " ..." : "") << '\n';
    std::cout
        << "next: lemonstair_simulation shrink SEED, or lemonstair_simulation replay SEED --trace FILE\n";
    return exit_rule_broken;
}

struct ReplayOptions {
    std::uint64_t seed = 0;
    std::string scenario, trace;
    bool operated = false;
};

int replay(const ReplayOptions& options) {
    Scenario scenario = options.seed == 0 && !options.scenario.empty()
                            ? simulation::read_scenario(options.scenario)
                            : scenario_for(options.scenario, options.seed, options.operated);
    std::ofstream trace;
    if (!options.trace.empty()) trace.open(options.trace);
    if (!options.trace.empty() && !trace) {
        std::cerr << "lemonstair_simulation: '" << options.trace << "' cannot be written\n";
        return exit_wrong_usage;
    }
    const Verdict v = simulation::play(scenario, options.trace.empty() ? nullptr : &trace);
    std::cout << "seed " << v.seed << " trace " << hex(v.hash) << ", " << seconds(v.simulated)
              << " simulated seconds, " << v.steps << " steps\n  tunnels taken " << v.tally.taken
              << ", opened " << v.tally.opened << ", declined " << v.tally.declined << ", closed with error "
              << v.tally.failed << "; setups " << v.tally.setups << "; mid-flow " << v.tally.resumed
              << ", of which " << v.tally.not_held << " setups went to a server that does not hold it; moved "
              << v.clients.moved << "\n";
    if (v.broken.empty()) std::cout << "all rules kept\n";
    print_violations(v, 50);
    return v.broken.empty() ? exit_rules_kept : exit_rule_broken;
}

int shrink(const ReplayOptions& options, const std::string& out) {
    const Scenario scenario = options.seed == 0 && !options.scenario.empty()
                                  ? simulation::read_scenario(options.scenario)
                                  : scenario_for(options.scenario, options.seed, options.operated);
    const auto player = [](const Scenario& d) { return simulation::play(d); };
    const Verdict v = player(scenario);
    if (v.broken.empty()) {
        std::cout << "all rules are kept: there is nothing to shrink\n";
        return exit_rules_kept;
    }
    simulation::ShrinkResult small;
    {
        Progress progress;
        small = simulation::shrink(scenario, v.rule(), player, 400, [&](const simulation::ShrinkResult& s) {
            progress.say("played " + std::to_string(s.plays) + ", " +
                         std::to_string(s.scenario.faults.size()) + " faults left");
        });
    }
    const std::string text =
        "# breaks the rule '" + v.rule() + "'\n" + simulation::write_scenario(small.scenario);
    if (out.empty()) {
        std::cout << text;
    } else {
        std::ofstream file(out);
        file << text;
        if (!file.flush()) {
            std::cerr << "lemonstair_simulation: '" << out << "' cannot be written\n";
            return exit_wrong_usage;
        }
        std::cout << "'" << v.rule() << "' still breaks with " << small.scenario.faults.size() << " of "
                  << scenario.faults.size() << " faults and " << small.scenario.clients
                  << " clients; the scenario is in " << out << "\nnext: lemonstair_simulation replay --day "
                  << out << " --trace FILE\n";
    }
    return exit_rule_broken;
}

void list() {
    std::cout << "Faults, as [[fault]] of a scenario with at_s:\n";
    for (const auto& r : simulation::fault_catalogue()) {
        std::string wants;
        if (r.target == simulation::FaultInfo::Target::node) wants += " node";
        if (r.target == simulation::FaultInfo::Target::server || r.kind == simulation::FaultKind::path_cut)
            wants += " host";
        if (r.kind == simulation::FaultKind::misbehaving_clients) wants += " which";
        if (r.has_duration) wants += " for_s";
        if (r.has_magnitude) wants += " much";
        if (r.has_count) wants += " count";
        std::cout << "  " << std::left << std::setw(20) << r.name << std::setw(22) << wants << r.description
                  << '\n';
    }
    std::cout << "\nRules:\n";
    for (const auto& r : simulation::rule_catalogue())
        std::cout << "  " << std::left << std::setw(14) << r.name << r.description << '\n';
    std::cout
        << "\nA scenario with all its keys (lemonstair_simulation list --day prints the one of a seed):\n";
}

constexpr const char* operated_help = "scenarios with operators who call, drain and upgrade nodes";

// The subcommands with their options.
class CommandLine {
  public:
    CommandLine() {
        app.footer(
            "Exit status: 0 all rules kept; 1 a rule broken, named with its seeds; 2 wrong use.\n"
            "  lemonstair_simulation run --seeds 1..10000\n"
            "  lemonstair_simulation replay 42 --trace day42.txt\n"
            "  lemonstair_simulation shrink 42 --out small.toml && lemonstair_simulation replay --day "
            "small.toml");
        app.require_subcommand(1);
        add_run();
        replay_ = app.add_subcommand("replay", "Plays one scenario and tells what became of it");
        add_one(replay_);
        replay_->add_option("--trace", one_.trace, "all that happened, a line each, into this file");
        shrink_ = app.add_subcommand("shrink", "Makes a scenario that breaks a rule as small as it will go");
        add_one(shrink_);
        shrink_->add_option("--out", out_, "the smaller scenario into this file, else to standard output");
        auto* list_command =
            app.add_subcommand("list", "What is simulated: faults, rules, keys of a scenario");
        list_command->add_option("--day", shown_, "print the scenario that this seed draws, as TOML");
    }
    int run_chosen() {
        if (*run_) return run(run_options_);
        if ((*replay_ || *shrink_) && one_.seed == 0 && one_.scenario.empty())
            throw CLI::ValidationError("seed", "is missing, and no --day is given");
        if (*replay_) return replay(one_);
        if (*shrink_) return shrink(one_, out_);
        if (shown_ != 0) {
            std::cout << simulation::write_scenario(simulation::draw_scenario(shown_));
            return exit_rules_kept;
        }
        list();
        std::cout << simulation::write_scenario(Scenario{});
        return exit_rules_kept;
    }
    CLI::App app{
        "Plays scenarios of simulated faults on the product's own node, and judges its rules on the wire."};

  private:
    void add_run() {
        run_ = app.add_subcommand("run", "Plays a range of seeds; says which rules broke where");
        run_->add_option("--seeds", run_options_.seeds, "one seed or a range, as 1..10000")
            ->capture_default_str();
        run_->add_option("--jobs", run_options_.jobs, "threads")->check(CLI::Range(1U, 1024U));
        run_->add_option("--day", run_options_.scenario, "this scenario with the chances of each seed");
        run_->add_option("--json", run_options_.json, "a line of JSON for each seed into this file");
        run_->add_option("--show", run_options_.show, "how many broken rules to tell of each scenario");
        run_->add_flag("--operated", run_options_.operated, operated_help);
        run_->add_flag("--hashes", run_options_.hashes, "print the hash of each trace");
    }
    void add_one(CLI::App* command) {
        command->add_option("seed", one_.seed, "the seed; left out, that of the scenario's file");
        command->add_option("--day", one_.scenario, "a scenario written as TOML");
        command->add_flag("--operated", one_.operated, operated_help);
    }
    RunOptions run_options_;
    ReplayOptions one_;
    std::string out_;
    std::uint64_t shown_ = 0;
    CLI::App *run_ = nullptr, *replay_ = nullptr, *shrink_ = nullptr;
};

}  // namespace

int main(int argc, char** argv) {
    CommandLine line;
    return simulation::run_command_line(line.app, argc, argv, "lemonstair_simulation",
                                        [&] { return line.run_chosen(); });
}
