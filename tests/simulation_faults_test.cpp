// The invariants of the simulation find each fault that is injected into nodes, and the scenario is shrunk.
#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "fault_injection.h"
#include "simulation/runner.h"
#include "simulation/shrink.h"

using namespace lemonstair;
using simulation::Scenario;
using simulation::Verdict;

TEST_CASE("each injected fault of a node is found within 500 seeds and shrunk to a short scenario") {
    struct Row {
        fault_injection::Fault fault;
        std::string name;
        std::vector<std::string> rules;  // any of them
        std::uint64_t from = 1;          // where the search begins, to spare the sanitized run
        // An old record misleads only where its member was placed twice and then a node ended.
        std::size_t most_faults = 2;
        std::uint64_t last = 500;  // seed looked at
        bool operated = false;
    };
    const Row rows[] = {
        {fault_injection::Fault::answer_dropped, "an answer is dropped", {"answer"}},
        {fault_injection::Fault::second_attempt, "a second setup while one is out", {"at_once", "effect"}},
        {fault_injection::Fault::draining_endpoint_used, "a drained host is used", {"drain"}},
        {fault_injection::Fault::slow_start_budget_exceeded, "a cold host is flooded", {"cold"}, 300},
        {fault_injection::Fault::answer_after_final, "an answer after the final one", {"twice"}},
        {fault_injection::Fault::connection_leaked,
         "a connection is leaked",
         {"left_over", "answer", "silent"}},
        {fault_injection::Fault::stale_record_used, "an old record is believed", {"astray"}, 5500, 3, 5600},
        {fault_injection::Fault::line_reordered, "a line is overtaken", {"line"}},
        {fault_injection::Fault::move_omitted, "a client is cut off without MOVE", {"cut_off", "leave"}},
        {fault_injection::Fault::descriptors_leaked,
         "descriptors are hoarded",
         {"left_over", "answer", "bad_client"}},
        {fault_injection::Fault::metrics_wrong, "figures are untrue", {"figures"}, 1, 2, 500, true},
        {fault_injection::Fault::ready_while_draining,
         "a drained node says yes",
         {"drained"},
         1,
         2,
         500,
         true},
        {fault_injection::Fault::transferred_tunnel_lost,
         "a tunnel is lost in a hot restart",
         {"silent", "cut_off", "line", "left_over"},
         1,
         2,
         500,
         true},
        {fault_injection::Fault::ready_packet_lost,
         "two processes are the node",
         {"cut_off", "leave", "answer", "astray", "descriptors"},
         1,
         2,
         500,
         true},
        {fault_injection::Fault::admin_request_unanswered,
         "a call is not answered",
         {"call"},
         1,
         2,
         500,
         true},
    };
    for (const Row& row : rows) {
        const auto draw = [&](std::uint64_t seed) {
            return row.operated ? simulation::draw_operated_scenario(seed) : simulation::draw_scenario(seed);
        };
        const auto player = [&](const Scenario& day) {
            fault_injection::FaultInjector injector(row.fault);
            return simulation::play(day, nullptr, &injector);
        };
        const auto is_meant = [&](const Verdict& v) {
            return std::find(row.rules.begin(), row.rules.end(), v.rule()) != row.rules.end();
        };
        std::uint64_t seed = row.from;
        Verdict found;
        for (; seed <= row.last; ++seed)
            if (is_meant(found = player(draw(seed)))) break;
        INFO(row.name);
        REQUIRE(seed <= row.last);
        const Scenario day = draw(seed);
        CHECK(simulation::play(day).broken.empty());  // the node as it is keeps the rule on this very day
        const auto small = simulation::shrink(day, found.rule(), player, 120);
        MESSAGE(row.name << ": seed " << seed << " breaks '" << found.rule() << "', shrunk to "
                         << small.scenario.faults.size() << " of " << day.faults.size() << " faults, "
                         << small.scenario.clients << " members");
        CHECK(small.scenario.faults.size() <= row.most_faults);
        CHECK(small.scenario.clients <= day.clients);
        const Verdict again = player(small.scenario);
        CHECK(std::any_of(again.broken.begin(), again.broken.end(),
                          [&](const simulation::Violation& b) { return b.rule == found.rule(); }));
    }
}
