// Exit statuses and option parsing that the simulation, the process harness and the soak test share.
#pragma once

#include <CLI/CLI.hpp>
#include <exception>
#include <iostream>

namespace lemonstair::simulation {

// Exit statuses. exit_machine_too_busy: rules were broken or the run was stopped, but the machine was too
// slow for the result to count against the program.
inline constexpr int exit_rules_kept = 0, exit_rule_broken = 1, exit_wrong_usage = 2,
                     exit_machine_too_busy = 3;

// Parses the options and calls `run`, which returns the exit status. An exception of `run` is printed after
// the program's name and gives exit_wrong_usage.
template <class Run>
int run_command_line(CLI::App& app, int argc, char** argv, const char* program, Run&& run) {
    try {
        app.parse(argc, argv);
        return run();
    } catch (const CLI::ParseError& error) {
        return app.exit(error) == 0 ? exit_rules_kept : exit_wrong_usage;
    } catch (const std::exception& error) {
        std::cerr << program << ": " << error.what() << '\n';
        return exit_wrong_usage;
    }
}

}  // namespace lemonstair::simulation
