#include <toml++/toml.h>

#include <algorithm>
#include <cmath>
#include <fstream>
#include <sstream>

#include "simulation/scenario.h"

namespace lemonstair::simulation {

namespace {

using Target = FaultInfo::Target;

constexpr Ticks ms = 10, second = 10000;
constexpr Ticks longest_scenario = 3600 * second;

}  // namespace

namespace {

// One table of a scenario file. The functions that read a key leave the value as it is if the key is missing,
// and throw InvalidScenario if it is invalid. Keys that were never read are rejected at the end.
class Table {
  public:
    Table(const std::string& file, const toml::table& of, std::string name)
        : file_(file), table_(of), name_(std::move(name)) {}

    [[noreturn]] void fail(std::string_view key, const std::string& what) const {
        const toml::node* at = table_.get(key);
        const auto line = at != nullptr ? at->source().begin.line : table_.source().begin.line;
        throw InvalidScenario(file_ + ":" + std::to_string(line) + ": '" + full(key) + "' " + what);
    }
    void number(std::string_view key, double& into, double least, double most) {
        const toml::node* at = find(key);
        if (at == nullptr) return;
        const auto value = at->value<double>();
        if (!at->is_number() || !value || !std::isfinite(*value)) fail(key, "is not a finite number");
        if (*value < 0 && least >= 0) fail(key, "is " + shown(*value) + ", expected no negative number");
        if (*value < least || *value > most)
            fail(key, "is " + shown(*value) + ", expected " + shown(least) + " to " + shown(most));
        into = *value;
    }
    template <class Integer>
    void integer(std::string_view key, Integer& into, double least, double most) {
        double value = static_cast<double>(into);
        number(key, value, least, most);
        if (value != std::floor(value)) fail(key, "is " + shown(value) + ", expected a whole number");
        if (table_.get(key) != nullptr) into = static_cast<Integer>(value);
    }
    // The file has the value in seconds or ms (`unit`); it is stored in tenths of a ms.
    void duration(std::string_view key, Ticks& into, Ticks unit, Ticks least, Ticks most) {
        double value = static_cast<double>(into) / static_cast<double>(unit);
        number(key, value, static_cast<double>(least) / static_cast<double>(unit),
               static_cast<double>(most) / static_cast<double>(unit));
        if (table_.get(key) != nullptr) into = std::llround(value * static_cast<double>(unit));
    }
    void flag(std::string_view key, bool& into) {
        const toml::node* at = find(key);
        if (at == nullptr) return;
        const auto value = at->value_exact<bool>();
        if (!value) fail(key, "is not a boolean, expected true or false");
        into = *value;
    }
    std::string text(std::string_view key) {
        const toml::node* at = find(key);
        const auto value = at == nullptr ? std::nullopt : at->value<std::string>();
        if (!value) fail(key, "is missing or not a string");
        return *value;
    }
    const toml::node* find(std::string_view key) {
        known_keys_.emplace_back(key);
        return table_.get(key);
    }
    bool has(std::string_view key) const { return table_.get(key) != nullptr; }
    void reject_unknown_keys() const {
        for (const auto& [key, value] : table_)
            if (std::find(known_keys_.begin(), known_keys_.end(), key.str()) == known_keys_.end())
                fail(key.str(), "is an unknown key");
    }

  private:
    static std::string shown(double x) {
        std::ostringstream out;
        out << x;
        return out.str();
    }
    std::string full(std::string_view key) const {
        return name_.empty() ? std::string(key) : name_ + "." + std::string(key);
    }
    const std::string& file_;
    const toml::table& table_;
    std::string name_;
    std::vector<std::string> known_keys_;
};

template <class Read>
void read_table(const std::string& file, Table& from, const char* name, Read&& read) {
    const toml::node* at = from.find(name);
    if (at == nullptr) return;
    if (!at->is_table()) from.fail(name, "is not a table, expected [" + std::string(name) + "]");
    Table inner(file, *at->as_table(), name);
    read(inner);
    inner.reject_unknown_keys();
}

Fault read_fault(Table& table, const Scenario& scenario) {
    Fault fault;
    const std::string name = table.text("kind");
    const auto& rows = fault_catalogue();
    const auto row =
        std::find_if(rows.begin(), rows.end(), [&](const FaultInfo& info) { return info.name == name; });
    if (row == rows.end())
        table.fail("kind",
                   "is '" + name + "', expected a kind of fault that 'lemonstair_simulation list' shows");
    fault.kind = row->kind;
    if (!table.has("at_s")) table.fail("at_s", "is missing");
    table.duration("at_s", fault.start, second, 0, scenario.duration);
    if (row->has_duration) {
        if (!table.has("for_s")) table.fail("for_s", "is missing");
        table.duration("for_s", fault.duration, second, 0, longest_scenario);
    }
    if (row->has_magnitude) table.number("much", fault.magnitude, 0, 1000);
    if (row->has_count) table.integer("count", fault.count, 1, 10000);
    const auto number = [&](const char* key, std::uint32_t& into, std::uint32_t count, const char* what) {
        if (!table.has(key)) table.fail(key, "is missing");
        table.integer(key, into, 0, 1e9);
        if (into >= count)
            table.fail(key, "is " + std::to_string(into) + ", expected a " + what + " from 0 to " +
                                std::to_string(count - 1));
    };
    if (row->target == Target::node) number("node", fault.target, scenario.nodes, "node");
    if (row->target == Target::server) number("host", fault.target, scenario.servers, "server");
    if (fault.kind == FaultKind::path_cut) {
        number("host", fault.second_target, scenario.servers, "server");
        table.integer("count", fault.count, 0, 10000);
    }
    if (fault.kind == FaultKind::misbehaving_clients)
        number("which", fault.second_target, fakes::MisbehavingClients::kinds, "kind of misbehaving client");
    return fault;
}

toml::table parse_toml(std::string_view text, const std::string& name) {
    try {
        return toml::parse(text, name);
    } catch (const toml::parse_error& error) {
        throw InvalidScenario(name + ":" + std::to_string(error.source().begin.line) +
                              ": invalid TOML: " + std::string(error.description()));
    }
}

void read_fleet(Table& table, Scenario& scenario) {
    table.integer("nodes", scenario.nodes, 1, max_nodes);
    table.integer("hosts", scenario.servers, 1, max_servers);
    table.integer("members", scenario.clients, 0, 100000);
    table.integer("cold_hosts", scenario.cold_servers, 0, max_servers);
    table.flag("alike", scenario.uniform);
    table.flag("must_ask", scenario.must_poll);
    table.number("probe_price", scenario.probe_price, 0, 1000);
    table.number("peer_price", scenario.peer_price, 0, 1000);
    table.flag("packets_pass", scenario.packet_passthrough);
    table.flag("peers", scenario.peers);
    table.flag("probing", scenario.probing);
    table.flag("groups", scenario.groups);
    table.flag("operated", scenario.operated);
    table.integer("sockets", scenario.sockets, 32, 60000);
    table.integer("max_setups", scenario.max_attempts, 1, 10);
    table.number("known", scenario.known_share, 0, 1);
    table.duration("clocks_apart_s", scenario.max_clock_skew, second, 0, 60 * second);
    table.duration("notices_after_s", scenario.detection_delay, second, 0, 60 * second);
    table.duration("told_after_s", scenario.discovery_delay, second, 0, 60 * second);
    table.duration("drain_grace_s", scenario.drain_grace, second, 0, 60 * second);
    table.duration("pass_takes_ms", scenario.loop_pass_time, ms, 1, second);
}

void read_traffic(Table& table, Scenario& scenario) {
    table.number("load", scenario.load, 0, 10);
    table.duration("arrive_within_s", scenario.arrival_window, second, 0, longest_scenario);
    table.duration("least_life_s", scenario.min_lifetime, second, 0, longest_scenario);
    table.duration("more_life_s", scenario.mean_extra_lifetime, second, 0, longest_scenario);
    table.number("tunnel_load", scenario.tunnel_load, 0, 1000);
    table.number("impatient", scenario.client_behavior.abandon_share, 0, 1);
    table.number("leave_behind_flood", scenario.client_behavior.flood_share, 0, 1);
    table.number("slow_readers", scenario.client_behavior.slow_reader_share, 0, 1);
    table.integer("most_tries", scenario.client_behavior.max_attempts, 1, 1000);
}

void read_network(Table& table, simnet::NetworkConditions& network) {
    table.duration("least_delay_ms", network.min_delay, ms, 1, 10 * second);
    table.duration("most_delay_ms", network.max_delay, ms, 1, 10 * second);
    if (network.max_delay < network.min_delay)
        table.fail("most_delay_ms", "is less than 'least_delay_ms', expected at least the same");
    table.number("cut_reads", network.cut_reads, 0, 1);
    table.number("cut_writes", network.cut_writes, 0, 1);
    table.integer("window", network.window, 4096, 1 << 24);
    table.number("lost", network.lost, 0, 1);
    table.number("doubled", network.doubled, 0, 1);
    table.duration("datagram_jitter_ms", network.datagram_jitter, ms, 0, 60 * second);
}

void read_server(Table& table, fakes::ServerTraits& traits) {
    table.number("cores", traits.cores, 0.01, 1000);
    table.integer("most_connections", traits.max_connections, 1, 100000);
    table.number("setup_work_ms", traits.setup_work_ms, 0, 10000);
    table.number("line_work_ms", traits.line_work_ms, 0, 10000);
    table.integer("push_bytes", traits.push_bytes, 1, 4000);
    table.duration("cold_s", traits.slow_start_duration, second, 0, longest_scenario);
    table.number("cold_from", traits.slow_start_initial_factor, 0.01, 1);
    table.number("tip_multiple", traits.overload_multiple, 1, 100);
    table.duration("report_every_s", traits.report_interval, second, 1, longest_scenario);
    table.number("report_noise", traits.report_noise, 0, 1);
    table.number("reports_always", traits.fixed_reported_load, 0, 100);
}

void read_faults(const std::string& file, Table& table, Scenario& scenario) {
    const toml::node* list = table.find("fault");
    if (list == nullptr) return;
    if (!list->is_array_of_tables()) table.fail("fault", "is not a list of tables, expected [[fault]]");
    for (const toml::node& one : *list->as_array()) {
        Table inner(file, *one.as_table(), "fault");
        scenario.faults.push_back(read_fault(inner, scenario));
        inner.reject_unknown_keys();
    }
}

}  // namespace

Scenario parse_scenario(std::string_view text, const std::string& name) {
    Scenario scenario;
    const toml::table root = parse_toml(text, name);
    Table table(name, root, "");
    table.integer("seed", scenario.seed, 0, 9e15);
    table.duration("span_s", scenario.duration, second, second, longest_scenario);
    read_table(name, table, "fleet", [&](Table& inner) { read_fleet(inner, scenario); });
    read_table(name, table, "bounds",
               [&](Table& inner) { inner.number("of_budget", scenario.max_budget_share, 0, 1000); });
    read_table(name, table, "traffic", [&](Table& inner) { read_traffic(inner, scenario); });
    read_table(name, table, "network", [&](Table& inner) { read_network(inner, scenario.network); });
    read_table(name, table, "host", [&](Table& inner) { read_server(inner, scenario.server); });
    read_faults(name, table, scenario);
    table.reject_unknown_keys();
    return scenario;
}

Scenario read_scenario(const std::string& path) {
    std::ifstream in(path, std::ios::binary);
    if (!in) throw InvalidScenario(path + ": cannot read the scenario file");
    std::ostringstream text;
    text << in.rdbuf();
    return parse_scenario(text.str(), path);
}

std::string write_scenario(const Scenario& scenario) {
    const auto in_s = [](Ticks time) { return static_cast<double>(time) / second; };
    const auto in_ms = [](Ticks time) { return static_cast<double>(time) / ms; };
    std::ostringstream out;
    out.precision(17);
    const auto flag = [](bool b) { return b ? "true" : "false"; };
    out << "seed = " << scenario.seed << "\nspan_s = " << in_s(scenario.duration)
        << "\n\n[fleet]\nnodes = " << scenario.nodes << "\nhosts = " << scenario.servers
        << "\nmembers = " << scenario.clients << "\ncold_hosts = " << scenario.cold_servers
        << "\nalike = " << flag(scenario.uniform) << "\nmust_ask = " << flag(scenario.must_poll)
        << "\nprobe_price = " << scenario.probe_price << "\npeer_price = " << scenario.peer_price
        << "\npackets_pass = " << flag(scenario.packet_passthrough) << "\npeers = " << flag(scenario.peers)
        << "\nprobing = " << flag(scenario.probing) << "\ngroups = " << flag(scenario.groups)
        << "\noperated = " << flag(scenario.operated) << "\nsockets = " << scenario.sockets
        << "\nmax_setups = " << scenario.max_attempts << "\nknown = " << scenario.known_share
        << "\nclocks_apart_s = " << in_s(scenario.max_clock_skew)
        << "\nnotices_after_s = " << in_s(scenario.detection_delay)
        << "\ntold_after_s = " << in_s(scenario.discovery_delay)
        << "\ndrain_grace_s = " << in_s(scenario.drain_grace)
        << "\npass_takes_ms = " << in_ms(scenario.loop_pass_time)
        << "\n\n[bounds]\nof_budget = " << scenario.max_budget_share
        << "\n\n[traffic]\nload = " << scenario.load
        << "\narrive_within_s = " << in_s(scenario.arrival_window)
        << "\nleast_life_s = " << in_s(scenario.min_lifetime)
        << "\nmore_life_s = " << in_s(scenario.mean_extra_lifetime)
        << "\ntunnel_load = " << scenario.tunnel_load
        << "\nimpatient = " << scenario.client_behavior.abandon_share
        << "\nleave_behind_flood = " << scenario.client_behavior.flood_share
        << "\nslow_readers = " << scenario.client_behavior.slow_reader_share
        << "\nmost_tries = " << scenario.client_behavior.max_attempts
        << "\n\n[network]\nleast_delay_ms = " << in_ms(scenario.network.min_delay)
        << "\nmost_delay_ms = " << in_ms(scenario.network.max_delay)
        << "\ncut_reads = " << scenario.network.cut_reads << "\ncut_writes = " << scenario.network.cut_writes
        << "\nwindow = " << scenario.network.window << "\nlost = " << scenario.network.lost
        << "\ndoubled = " << scenario.network.doubled
        << "\ndatagram_jitter_ms = " << in_ms(scenario.network.datagram_jitter)
        << "\n\n[host]\ncores = " << scenario.server.cores
        << "\nmost_connections = " << scenario.server.max_connections
        << "\nsetup_work_ms = " << scenario.server.setup_work_ms
        << "\nline_work_ms = " << scenario.server.line_work_ms
        << "\npush_bytes = " << scenario.server.push_bytes
        << "\ncold_s = " << in_s(scenario.server.slow_start_duration)
        << "\ncold_from = " << scenario.server.slow_start_initial_factor
        << "\ntip_multiple = " << scenario.server.overload_multiple
        << "\nreport_every_s = " << in_s(scenario.server.report_interval)
        << "\nreport_noise = " << scenario.server.report_noise
        << "\nreports_always = " << scenario.server.fixed_reported_load << '\n';
    for (const Fault& fault : scenario.faults) {
        const FaultInfo& info = fault_info(fault.kind);
        out << "\n[[fault]]\nkind = \"" << info.name << "\"\nat_s = " << in_s(fault.start) << '\n';
        if (info.target == Target::node) out << "node = " << fault.target << '\n';
        if (info.target == Target::server) out << "host = " << fault.target << '\n';
        if (fault.kind == FaultKind::path_cut) out << "host = " << fault.second_target << '\n';
        if (fault.kind == FaultKind::path_cut && fault.count > 1) out << "count = " << fault.count << '\n';
        if (fault.kind == FaultKind::misbehaving_clients) out << "which = " << fault.second_target << '\n';
        if (info.has_duration) out << "for_s = " << in_s(fault.duration) << '\n';
        if (info.has_magnitude) out << "much = " << fault.magnitude << '\n';
        if (info.has_count) out << "count = " << fault.count << '\n';
    }
    return out.str();
}

}  // namespace lemonstair::simulation
