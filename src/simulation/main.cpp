// lemonstair_simulation: runs the node's code on simulated machines, under faults that a seed draws or a
// scenario file lists, and reports the rules that were broken.
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

// Which scenarios the seeds draw: at most one of them.
struct DrawOptions {
    bool operated = false, outages = false;
};

// The scenario of the file, with its seed replaced by this one; without a file, the one that the seed draws.
Scenario scenario_for(const std::string& file, std::uint64_t seed, const DrawOptions& draw) {
    if (file.empty()) {
        if (draw.outages) return simulation::draw_outage_scenario(seed);
        return draw.operated ? simulation::draw_operated_scenario(seed) : simulation::draw_scenario(seed);
    }
    Scenario scenario = simulation::read_scenario(file);
    scenario.seed = seed;
    return scenario;
}

// Shows the progress of a long run on standard error if that is a terminal, at most every 200 ms.
class Progress {
  public:
    void update(const std::string& text) {
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
    bool hashes = false;
    DrawOptions draw;
    std::size_t show = 3;
};

int run(const RunOptions& options) {
    const simulation::SeedRange seeds = simulation::parse_seeds(options.seeds);
    if (!options.scenario.empty())
        simulation::read_scenario(options.scenario);  // refuses an invalid file before any thread starts
    std::ofstream json;
    if (!options.json.empty()) json.open(options.json);
    if (!options.json.empty() && !json) {
        std::cerr << "lemonstair_simulation: '" << options.json << "' cannot be opened for writing\n";
        return exit_wrong_usage;
    }
    const auto begin = std::chrono::steady_clock::now();
    const std::uint64_t all = seeds.last - seeds.first + 1;
    std::uint64_t played = 0, bad = 0;
    double simulated = 0;
    std::map<std::string, std::pair<std::uint64_t, std::string>>
        rules;  // number of scenarios, and the first seeds
    {
        Progress progress;
        simulation::play_all(
            seeds, options.jobs,
            [&](std::uint64_t seed) { return scenario_for(options.scenario, seed, options.draw); },
            [&](const Verdict& v) {
                ++played;
                simulated += seconds(v.simulated);
                if (json.is_open()) json << simulation::json_of(v);
                if (options.hashes) std::cout << "seed " << v.seed << " trace " << hex(v.hash) << '\n';
                if (!v.broken.empty()) {
                    ++bad;
                    auto& [scenarios, names] = rules[v.rule()];
                    if (++scenarios <= 8) names += " " + std::to_string(v.seed);
                    std::cout << "seed " << v.seed << " broke rules:\n";
                    print_violations(v, options.show);
                }
                progress.update(std::to_string(played) + " of " + std::to_string(all) + " scenarios, " +
                                std::to_string(bad) + " with broken rules");
            });
    }
    const double took = std::chrono::duration<double>(std::chrono::steady_clock::now() - begin).count();
    std::cout << std::fixed << std::setprecision(1) << played << " scenarios, " << simulated
              << " simulated seconds in " << took << " s on " << options.jobs
              << " threads: " << std::setprecision(0) << simulated / took / options.jobs
              << " simulated seconds per second and thread\n";
    if (bad == 0) {
        std::cout << "all rules kept\n";
        return exit_rules_kept;
    }
    for (const auto& [rule, row] : rules)
        std::cout << rule << ": first rule broken in " << row.first << " scenarios, seeds" << row.second
                  << (row.first > 8 ? " ..." : "") << '\n';
    std::cout << "Try lemonstair_simulation shrink SEED, or lemonstair_simulation replay SEED --trace FILE\n";
    return exit_rule_broken;
}

struct ReplayOptions {
    std::uint64_t seed = 0;
    std::string scenario, trace;
    DrawOptions draw;
};

int replay(const ReplayOptions& options) {
    Scenario scenario = options.seed == 0 && !options.scenario.empty()
                            ? simulation::read_scenario(options.scenario)
                            : scenario_for(options.scenario, options.seed, options.draw);
    std::ofstream trace;
    if (!options.trace.empty()) trace.open(options.trace);
    if (!options.trace.empty() && !trace) {
        std::cerr << "lemonstair_simulation: '" << options.trace << "' cannot be opened for writing\n";
        return exit_wrong_usage;
    }
    const Verdict v = simulation::play(scenario, options.trace.empty() ? nullptr : &trace);
    std::cout << "seed " << v.seed << " trace " << hex(v.hash) << ", " << seconds(v.simulated)
              << " simulated seconds, " << v.steps << " steps\n  tunnels: accepted " << v.tally.taken
              << ", opened " << v.tally.opened << ", declined " << v.tally.declined << ", closed with error "
              << v.tally.failed << "; setups " << v.tally.setups << "; mid-flow requests " << v.tally.resumed
              << ", mid-flow setups at a server that does not hold the tunnel " << v.tally.not_held
              << "; clients moved " << v.clients.moved << "\n";
    if (v.broken.empty()) std::cout << "all rules kept\n";
    print_violations(v, 50);
    return v.broken.empty() ? exit_rules_kept : exit_rule_broken;
}

int shrink(const ReplayOptions& options, const std::string& out) {
    const Scenario scenario = options.seed == 0 && !options.scenario.empty()
                                  ? simulation::read_scenario(options.scenario)
                                  : scenario_for(options.scenario, options.seed, options.draw);
    const auto player = [](const Scenario& d) { return simulation::play(d); };
    const Verdict v = player(scenario);
    if (v.broken.empty()) {
        std::cout << "all rules kept: there is nothing to shrink\n";
        return exit_rules_kept;
    }
    simulation::ShrinkResult small;
    {
        Progress progress;
        small = simulation::shrink(scenario, v.rule(), player, 400, [&](const simulation::ShrinkResult& s) {
            progress.update("played " + std::to_string(s.plays) + " scenarios, " +
                            std::to_string(s.scenario.faults.size()) + " faults left");
        });
    }
    const std::string text =
        "# Breaks the rule '" + v.rule() + "'.\n" + simulation::write_scenario(small.scenario);
    if (out.empty()) {
        std::cout << text;
    } else {
        std::ofstream file(out);
        file << text;
        if (!file.flush()) {
            std::cerr << "lemonstair_simulation: '" << out << "' cannot be written\n";
            return exit_wrong_usage;
        }
        std::cout << "'" << v.rule() << "' is still broken with " << small.scenario.faults.size() << " of "
                  << scenario.faults.size() << " faults and " << small.scenario.clients
                  << " clients; the scenario was written to " << out
                  << "\nTry lemonstair_simulation replay --day " << out << " --trace FILE\n";
    }
    return exit_rule_broken;
}

void list() {
    std::cout << "Faults: [[fault]] tables of a scenario. Each takes at_s and the keys listed here:\n";
    for (const auto& r : simulation::fault_catalogue()) {
        std::string keys;
        if (r.target == simulation::FaultInfo::Target::node) keys += " node";
        if (r.target == simulation::FaultInfo::Target::server || r.kind == simulation::FaultKind::path_cut)
            keys += " host";
        if (r.kind == simulation::FaultKind::misbehaving_clients) keys += " which";
        if (r.has_duration) keys += " for_s";
        if (r.has_magnitude) keys += " much";
        if (r.has_count) keys += " count";
        std::cout << "  " << std::left << std::setw(20) << r.name << std::setw(22) << keys << r.description
                  << '\n';
    }
    std::cout << "\nRules:\n";
    for (const auto& r : simulation::rule_catalogue())
        std::cout << "  " << std::left << std::setw(14) << r.name << r.description << '\n';
    std::cout
        << "\nA scenario with all keys and their defaults (list --day SEED prints the scenario of a seed):\n";
}

constexpr const char* operated_help = "scenarios with operators who read metrics, drain and upgrade nodes";
constexpr const char* outages_help =
    "scenarios of outages of discovery, around whose ends servers drain and nodes are restarted";

// The subcommands with their options.
class CommandLine {
  public:
    CommandLine() {
        app.footer(
            "Exit status: 0 all rules kept; 1 rules broken, listed with their seeds; 2 wrong usage.\n"
            "  lemonstair_simulation run --seeds 1..10000\n"
            "  lemonstair_simulation replay 42 --trace trace42.txt\n"
            "  lemonstair_simulation shrink 42 --out small.toml && lemonstair_simulation replay --day "
            "small.toml");
        app.require_subcommand(1);
        add_run();
        replay_ = app.add_subcommand("replay", "Plays one scenario and prints its result");
        add_one(replay_);
        replay_->add_option("--trace", one_.trace, "write all events to this file, one a line");
        shrink_ =
            app.add_subcommand("shrink", "Reduces a scenario that breaks a rule while the rule still breaks");
        add_one(shrink_);
        shrink_->add_option("--out", out_,
                            "write the reduced scenario to this file instead of standard output");
        auto* list_command = app.add_subcommand("list", "Lists faults, rules and the keys of a scenario");
        list_command->add_option("--day", shown_, "print the scenario that this seed draws, as TOML");
    }
    int run_chosen() {
        if (*run_) return run(run_options_);
        if ((*replay_ || *shrink_) && one_.seed == 0 && one_.scenario.empty())
            throw CLI::ValidationError("seed", "expected a seed or --day FILE, got neither");
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
        "Runs the node's code on simulated machines under faults, and checks the rules on the wire."};

  private:
    void add_run() {
        run_ = app.add_subcommand("run", "Plays a range of seeds and reports broken rules with their seeds");
        run_->add_option("--seeds", run_options_.seeds, "a seed or a range such as 1..10000")
            ->capture_default_str();
        run_->add_option("--jobs", run_options_.jobs, "number of threads")->check(CLI::Range(1U, 1024U));
        run_->add_option("--day", run_options_.scenario,
                         "play this scenario file, with the random draws of each seed");
        run_->add_option("--json", run_options_.json, "write a line of JSON for each seed to this file");
        run_->add_option("--show", run_options_.show, "number of violations to print for each scenario");
        add_draws(run_, run_options_.draw);
        run_->add_flag("--hashes", run_options_.hashes, "print the hash of each trace");
    }
    void add_one(CLI::App* command) {
        command->add_option("seed", one_.seed, "the seed; default: the one in the scenario file");
        command->add_option("--day", one_.scenario, "a scenario file (TOML)");
        add_draws(command, one_.draw);
    }
    static void add_draws(CLI::App* command, DrawOptions& draw) {
        auto* operated = command->add_flag("--operated", draw.operated, operated_help);
        command->add_flag("--outages", draw.outages, outages_help)->excludes(operated);
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
