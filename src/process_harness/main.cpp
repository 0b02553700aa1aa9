// lemonstair_process_harness: many real processes of the program on the loopback, with faults between them.
#include <fstream>
#include <iomanip>
#include <iostream>
#include <string>

#include "process_harness/interrupt.h"
#include "process_harness/process_harness.h"
#include "simulation/command_line.h"
#include "simulation/runner.h"

namespace {

namespace simulation = lemonstair::simulation;
namespace process_harness = lemonstair::process_harness;

using simulation::exit_machine_too_busy;
using simulation::exit_rule_broken;
using simulation::exit_rules_kept;
using simulation::exit_wrong_usage;

double seconds(lemonstair::net::Ticks t) { return static_cast<double>(t) / 10000; }

struct Options {
    std::string scenario, seeds, program, json, logs;
    std::uint32_t nodes = 0;
    std::size_t show = 10;
    bool servers = false;
};

void print_result(const Options& options, const process_harness::RunResult& o) {
    std::cout << std::fixed << std::setprecision(1) << "seed " << o.seed << ": " << o.nodes << " processes, "
              << o.took_s << " s; taken " << o.tally.taken << ", opened " << o.tally.opened << ", declined "
              << o.tally.declined << " (" << o.declined_idle << " beside an idle server), closed with error "
              << o.tally.failed << ", setups " << o.tally.setups << ", moved " << o.clients.moved << '\n'
              << "  a node and second: " << o.costs.datagrams << " datagrams, " << std::setprecision(0)
              << o.costs.bytes << " bytes, " << std::setprecision(2) << o.costs.processor_ms
              << " ms of a core; " << o.costs.memory_kb / 1024 << " MB at most\n";
    bool any_cold = false;
    for (const auto& h : o.servers) any_cold = any_cold || h.cold || h.most_of_budget > 0;
    for (std::size_t h = 0; h < o.servers.size() && (any_cold || options.servers); ++h)
        std::cout << "  server " << std::setw(3) << h << (o.servers[h].cold ? " cold" : " warm")
                  << "  setups " << std::setw(5) << o.servers[h].setups << "  at most at once "
                  << o.servers[h].most_at_once << ", " << o.servers[h].most_of_budget << " of its budget\n";
    for (std::size_t i = 0; i < std::min(options.show, o.broken.size()); ++i)
        std::cout << "  " << std::setprecision(4) << seconds(o.broken[i].at) << " s  " << o.broken[i].rule
                  << ": " << o.broken[i].what << '\n';
    if (o.broken.size() > options.show) std::cout << "  and " << o.broken.size() - options.show << " more\n";
    std::cout << std::setprecision(1) << "  the harness was " << static_cast<double>(o.max_lag) / 10
              << " ms behind at most, a node waited " << o.max_core_wait_s * 1000
              << " ms of a second for a core\n";
}

int run(const Options& options, const volatile bool& stop) {
    simulation::Scenario scenario = simulation::read_scenario(options.scenario);
    if (options.nodes != 0) scenario.nodes = options.nodes;
    simulation::SeedRange seeds{scenario.seed, scenario.seed};
    if (!options.seeds.empty()) seeds = simulation::parse_seeds(options.seeds);
    std::ofstream json;
    if (!options.json.empty()) json.open(options.json, std::ios::app);
    if (!options.json.empty() && !json) {
        std::cerr << "lemonstair_process_harness: '" << options.json << "' cannot be written\n";
        return exit_wrong_usage;
    }
    int worst = exit_rules_kept;
    for (std::uint64_t seed = seeds.first; seed <= seeds.last && !stop; ++seed) {
        scenario.seed = seed;
        const process_harness::RunResult o =
            process_harness::play(scenario, {options.program, options.logs, {}}, stop);
        if (o.interrupted) return exit_machine_too_busy;
        if (json.is_open()) json << process_harness::json_of(o) << std::flush;
        print_result(options, o);
        if (!o.broken.empty()) {
            std::cout << "  again: lemonstair_process_harness run --day " << options.scenario << " --seeds "
                      << seed << " --nodes " << scenario.nodes << " --program " << options.program << '\n';
            worst = std::max(worst, o.is_conclusive()           ? exit_rule_broken
                                    : worst == exit_rule_broken ? exit_rule_broken
                                                                : exit_machine_too_busy);
            if (o.is_conclusive()) worst = exit_rule_broken;
        }
    }
    std::cout << (worst == exit_rules_kept         ? "all rules kept\n"
                  : worst == exit_machine_too_busy ? "the machine was too busy to tell\n"
                                                   : "rules broken\n");
    return worst;
}

}  // namespace

int main(int argc, char** argv) {
    CLI::App app{"Plays scenarios on many real processes of the program, with faults between them."};
    app.footer(
        "Exit status: 0 all rules kept; 1 a rule broken; 2 wrong use; 3 the machine was too busy to tell.\n"
        "  lemonstair_process_harness run --day tests/scenarios/cold_hosts.toml --program build/lemonstair "
        "--nodes 60");
    app.require_subcommand(1);
    Options options;
    auto* command = app.add_subcommand("run", "Plays a scenario in real time");
    command->add_option("--day", options.scenario, "a scenario written as TOML")->required();
    command->add_option("--program", options.program, "the node's program")
        ->required()
        ->check(CLI::ExistingFile);
    command->add_option("--seeds", options.seeds, "one seed or a range, as 1..5; left out, that of the file");
    command->add_option("--nodes", options.nodes, "so many processes instead of the file's")
        ->check(CLI::Range(1U, simulation::max_nodes));
    command->add_option("--json", options.json, "a line of JSON for each scenario, added to this file");
    command->add_option("--logs", options.logs, "the nodes' logs into this folder")
        ->check(CLI::ExistingDirectory);
    command->add_option("--show", options.show, "how many broken rules to tell of each scenario");
    command->add_flag("--hosts", options.servers, "a row for each server, also where none starts cold");
    const volatile bool& stop = process_harness::stop_on_signals();
    return simulation::run_command_line(app, argc, argv, "lemonstair_process_harness",
                                        [&] { return run(options, stop); });
}
