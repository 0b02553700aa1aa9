// Guards against invariants that overlook a fault: each fault that is injected into nodes must break one of
// its rules within 500 seeds, and the scenario that shows it must shrink to a few faults.
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
        std::vector<std::string> rules;  // one of these must be broken first
        // First seed to try; later than 1 where the run with sanitizers would take too long.
        std::uint64_t from = 1;
        // Most faults that the shrunk scenario may contain. A stale record needs one more: it does harm only
        // if its client was placed twice and a node ended after that.
        std::size_t most_faults = 2;
        std::uint64_t last = 500;  // last seed to try
        bool operated = false;
    };
    const Row rows[] = {
        {fault_injection::Fault::answer_dropped, "an answer is dropped", {"answer"}},
        {fault_injection::Fault::second_attempt,
         "a second setup while one is pending",
         {"at_once", "effect"}},
        {fault_injection::Fault::draining_endpoint_used, "a draining server is used", {"drain"}},
        {fault_injection::Fault::slow_start_budget_exceeded,
         "a server in slow start gets too many tunnels",
         {"cold"},
         300},
        {fault_injection::Fault::answer_after_final, "an answer after the final one", {"twice"}},
        {fault_injection::Fault::connection_leaked,
         "a connection is leaked",
         {"left_over", "answer", "silent"}},
        {fault_injection::Fault::stale_record_used, "a stale record is used", {"astray"}, 5500, 3, 5600},
        {fault_injection::Fault::line_reordered, "a line is sent out of order", {"line"}},
        {fault_injection::Fault::move_omitted, "a client is cut off without MOVE", {"cut_off", "leave"}},
        {fault_injection::Fault::descriptors_leaked,
         "descriptors are leaked",
         {"left_over", "answer", "bad_client"}},
        {fault_injection::Fault::metrics_wrong, "metrics are wrong", {"figures"}, 1, 2, 500, true},
        {fault_injection::Fault::ready_while_draining,
         "a drained node reports that it is healthy",
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
         "two processes of a node serve at once",
         {"cut_off", "leave", "answer", "astray", "descriptors"},
         1,
         2,
         500,
         true},
        {fault_injection::Fault::admin_request_unanswered,
         "a request of operators is not answered",
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
        const auto player = [&](const Scenario& scenario) {
            fault_injection::FaultInjector injector(row.fault);
            return simulation::play(scenario, nullptr, &injector);
        };
        const auto breaks_expected_rule = [&](const Verdict& verdict) {
            return std::find(row.rules.begin(), row.rules.end(), verdict.rule()) != row.rules.end();
        };
        std::uint64_t seed = row.from;
        Verdict found;
        for (; seed <= row.last; ++seed)
            if (breaks_expected_rule(found = player(draw(seed)))) break;
        INFO(row.name);
        REQUIRE(seed <= row.last);
        const Scenario scenario = draw(seed);
        CHECK(simulation::play(scenario)
                  .broken.empty());  // without the injected fault, the same scenario keeps all rules
        const auto small = simulation::shrink(scenario, found.rule(), player, 120);
        MESSAGE(row.name << ": seed " << seed << " breaks '" << found.rule() << "', shrunk to "
                         << small.scenario.faults.size() << " of " << scenario.faults.size() << " faults, "
                         << small.scenario.clients << " clients");
        CHECK(small.scenario.faults.size() <= row.most_faults);
        CHECK(small.scenario.clients <= scenario.clients);
        const Verdict again = player(small.scenario);
        CHECK(std::any_of(
            again.broken.begin(), again.broken.end(),
            [&](const simulation::Violation& violation) { return violation.rule == found.rule(); }));
    }
}

// The scenario of copied ids must find what it was written for.
TEST_CASE("processes that report no ids to each other run a copied request twice") {
    Scenario scenario =
        simulation::read_scenario(std::string(LEMONSTAIR_SCENARIOS) + "/copied_ids_in_an_upgrade.toml");
    int broken = 0;
    for (scenario.seed = 1; scenario.seed <= 40; ++scenario.seed) {
        fault_injection::FaultInjector injector(fault_injection::Fault::id_reports_empty);
        const std::string rule = simulation::play(scenario, nullptr, &injector).rule();
        broken += rule == "at_once" || rule == "line" || rule == "effect" ? 1 : 0;
    }
    CHECK(broken > 0);
}
