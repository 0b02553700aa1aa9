// What the command lines of the simulation, the process harness and the soak share: exit statuses and the way
// from parsed options to one of them.
#pragma once

#include <CLI/CLI.hpp>
#include <exception>
#include <iostream>

namespace lemonstair::simulation {

// Exit statuses; too_busy: rules broke, or the run stopped, on a machine too slow to blame the program.
inline constexpr int exit_rules_kept = 0, exit_rule_broken = 1, exit_wrong_usage = 2,
                     exit_machine_too_busy = 3;

// Parses the options and runs `run`, whose result is the exit status. What it throws is printed after the
// program's name, and is wrong use.
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
