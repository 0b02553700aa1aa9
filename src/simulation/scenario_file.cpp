#include <toml++/toml.h>

#include <algorithm>
#include <cmath>
#include <fstream>
#include <sstream>

#include "simulation/scenario.h"

namespace lemonstair::simulation {

namespace {

using Who = FaultRow::Who;

constexpr Ticks ms = 10, second = 10000;
constexpr Ticks longest_day = 3600 * second;

}  // namespace

namespace {

// One table of the file: each key is asked for once, and one that nobody asked for is a fault.
class Table {
  public:
    Table(const std::string& file, const toml::table& of, std::string name)
        : file_(file), of_(of), name_(std::move(name)) {}

    [[noreturn]] void fail(std::string_view key, const std::string& what) const {
        const toml::node* at = of_.get(key);
        const auto line = at != nullptr ? at->source().begin.line : of_.source().begin.line;
        throw InvalidScenario(file_ + ":" + std::to_string(line) + ": '" + full(key) + "' " + what);
    }
    void number(std::string_view key, double& into, double least, double most) {
        const toml::node* at = find(key);
        if (at == nullptr) return;
        const auto value = at->value<double>();
        if (!at->is_number() || !value || !std::isfinite(*value)) fail(key, "is not a number");
        if (*value < 0 && least >= 0) fail(key, "is negative");
        if (*value < least || *value > most) fail(key, "is not from " + shown(least) + " to " + shown(most));
        into = *value;
    }
    template <class Whole>
    void whole(std::string_view key, Whole& into, double least, double most) {
        double value = static_cast<double>(into);
        number(key, value, least, most);
        if (value != std::floor(value)) fail(key, "is not a whole number");
        if (of_.get(key) != nullptr) into = static_cast<Whole>(value);
    }
    // Given in seconds or ms, kept in tenths of a ms.
    void span(std::string_view key, Ticks& into, Ticks unit, Ticks least, Ticks most) {
        double value = static_cast<double>(into) / static_cast<double>(unit);
        number(key, value, static_cast<double>(least) / static_cast<double>(unit),
               static_cast<double>(most) / static_cast<double>(unit));
        if (of_.get(key) != nullptr) into = std::llround(value * static_cast<double>(unit));
    }
    void flag(std::string_view key, bool& into) {
        const toml::node* at = find(key);
        if (at == nullptr) return;
        const auto value = at->value_exact<bool>();
        if (!value) fail(key, "is not true or false");
        into = *value;
    }
    std::string text(std::string_view key) {
        const toml::node* at = find(key);
        const auto value = at == nullptr ? std::nullopt : at->value<std::string>();
        if (!value) fail(key, "is missing or not a text");
        return *value;
    }
    const toml::node* find(std::string_view key) {
        asked_.emplace_back(key);
        return of_.get(key);
    }
    bool has(std::string_view key) const { return of_.get(key) != nullptr; }
    void no_more() const {
        for (const auto& [key, value] : of_)
            if (std::find(asked_.begin(), asked_.end(), key.str()) == asked_.end())
                fail(key.str(), "is a key that no day has");
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
    const toml::table& of_;
    std::string name_;
    std::vector<std::string> asked_;
};

template <class Read>
void read_table(const std::string& file, Table& from, const char* name, Read&& read) {
    const toml::node* at = from.find(name);
    if (at == nullptr) return;
    if (!at->is_table()) from.fail(name, "is not a table");
    Table inner(file, *at->as_table(), name);
    read(inner);
    inner.no_more();
}

Fault read_fault(Table& t, const Scenario& d) {
    Fault f;
    const std::string name = t.text("kind");
    const auto& rows = fault_rows();
    const auto row =
        std::find_if(rows.begin(), rows.end(), [&](const FaultRow& r) { return r.name == name; });
    if (row == rows.end()) t.fail("kind", "is '" + name + "', a fault that the lab does not have");
    f.kind = row->kind;
    if (!t.has("at_s")) t.fail("at_s", "is missing");
    t.span("at_s", f.at, second, 0, d.span);
    if (row->spans) {
        if (!t.has("for_s")) t.fail("for_s", "is missing");
        t.span("for_s", f.span, second, 0, longest_day);
    }
    if (row->measured) t.number("much", f.much, 0, 1000);
    if (row->counted) t.whole("count", f.count, 1, 10000);
    const auto number = [&](const char* key, std::uint32_t& into, std::uint32_t of, const char* what) {
        if (!t.has(key)) t.fail(key, "is missing");
        t.whole(key, into, 0, 1e9);
        if (into >= of)
            t.fail(key, "is " + std::to_string(into) + ", a " + what + " that does not exist: there are " +
                            std::to_string(of));
    };
    if (row->who == Who::node) number("node", f.who, d.nodes, "node");
    if (row->who == Who::host) number("host", f.who, d.hosts, "host");
    if (f.kind == FaultKind::path_cut) {
        number("host", f.other, d.hosts, "host");
        t.whole("count", f.count, 0, 10000);
    }
    if (f.kind == FaultKind::rude) number("which", f.other, fakes::Rude::kinds, "kind of bad client");
    return f;
}

toml::table parse_toml(std::string_view text, const std::string& name) {
    try {
        return toml::parse(text, name);
    } catch (const toml::parse_error& e) {
        throw InvalidScenario(name + ":" + std::to_string(e.source().begin.line) +
                              ": is not TOML: " + std::string(e.description()));
    }
}

void read_fleet(Table& f, Scenario& d) {
    f.whole("nodes", d.nodes, 1, most_nodes);
    f.whole("hosts", d.hosts, 1, most_hosts);
    f.whole("members", d.members, 0, 100000);
    f.whole("cold_hosts", d.cold_hosts, 0, most_hosts);
    f.flag("alike", d.alike);
    f.flag("must_ask", d.must_poll);
    f.number("probe_price", d.probe_price, 0, 1000);
    f.number("peer_price", d.peer_price, 0, 1000);
    f.flag("packets_pass", d.packet_passthrough);
    f.flag("peers", d.peers);
    f.flag("probing", d.probing);
    f.flag("groups", d.groups);
    f.flag("operated", d.operated);
    f.whole("sockets", d.sockets, 32, 60000);
    f.whole("max_setups", d.max_attempts, 1, 10);
    f.number("known", d.known, 0, 1);
    f.span("clocks_apart_s", d.clocks_apart, second, 0, 60 * second);
    f.span("notices_after_s", d.notices_after, second, 0, 60 * second);
    f.span("told_after_s", d.told_after, second, 0, 60 * second);
    f.span("pass_takes_ms", d.pass_takes, ms, 1, second);
}

void read_traffic(Table& f, Scenario& d) {
    f.number("load", d.load, 0, 10);
    f.span("arrive_within_s", d.arrive_within, second, 0, longest_day);
    f.span("least_life_s", d.least_life, second, 0, longest_day);
    f.span("more_life_s", d.more_life, second, 0, longest_day);
    f.number("tunnel_load", d.tunnel_load, 0, 1000);
    f.number("impatient", d.manners.impatient, 0, 1);
    f.number("slow_readers", d.manners.slow_readers, 0, 1);
    f.whole("most_tries", d.manners.most_tries, 1, 1000);
}

void read_network(Table& f, simnet::NetworkConditions& weather) {
    f.span("least_delay_ms", weather.least_delay, ms, 1, 10 * second);
    f.span("most_delay_ms", weather.most_delay, ms, 1, 10 * second);
    if (weather.most_delay < weather.least_delay) f.fail("most_delay_ms", "is below 'least_delay_ms'");
    f.number("cut_reads", weather.cut_reads, 0, 1);
    f.number("cut_writes", weather.cut_writes, 0, 1);
    f.whole("window", weather.window, 4096, 1 << 24);
    f.number("lost", weather.lost, 0, 1);
    f.number("doubled", weather.doubled, 0, 1);
    f.span("datagram_jitter_ms", weather.datagram_jitter, ms, 0, 60 * second);
}

void read_host(Table& f, fakes::ServerTraits& host) {
    f.number("cores", host.cores, 0.01, 1000);
    f.whole("most_connections", host.most_connections, 1, 100000);
    f.number("setup_work_ms", host.setup_work_ms, 0, 10000);
    f.number("line_work_ms", host.line_work_ms, 0, 10000);
    f.whole("push_bytes", host.push_bytes, 1, 4000);
    f.span("cold_s", host.cold, second, 0, longest_day);
    f.number("cold_from", host.slow_start_initial_factor, 0.01, 1);
    f.number("tip_multiple", host.overload_multiple, 1, 100);
    f.span("report_every_s", host.report_every, second, 1, longest_day);
    f.number("report_noise", host.report_noise, 0, 1);
    f.number("reports_always", host.reports_always, 0, 100);
}

void read_faults(const std::string& file, Table& t, Scenario& d) {
    const toml::node* list = t.find("fault");
    if (list == nullptr) return;
    if (!list->is_array_of_tables()) t.fail("fault", "is not a list of tables: write [[fault]]");
    for (const toml::node& one : *list->as_array()) {
        Table f(file, *one.as_table(), "fault");
        d.faults.push_back(read_fault(f, d));
        f.no_more();
    }
}

}  // namespace

Scenario parse_day(std::string_view text, const std::string& name) {
    Scenario d;
    const toml::table root = parse_toml(text, name);
    Table t(name, root, "");
    t.whole("seed", d.seed, 0, 9e15);
    t.span("span_s", d.span, second, second, longest_day);
    read_table(name, t, "fleet", [&](Table& f) { read_fleet(f, d); });
    read_table(name, t, "bounds", [&](Table& f) { f.number("of_budget", d.most_of_budget, 0, 1000); });
    read_table(name, t, "traffic", [&](Table& f) { read_traffic(f, d); });
    read_table(name, t, "network", [&](Table& f) { read_network(f, d.weather); });
    read_table(name, t, "host", [&](Table& f) { read_host(f, d.host); });
    read_faults(name, t, d);
    t.no_more();
    return d;
}

Scenario read_day(const std::string& path) {
    std::ifstream in(path, std::ios::binary);
    if (!in) throw InvalidScenario(path + ": cannot be read");
    std::ostringstream text;
    text << in.rdbuf();
    return parse_day(text.str(), path);
}

std::string write_day(const Scenario& d) {
    const auto s = [](Ticks t) { return static_cast<double>(t) / second; };
    const auto in_ms = [](Ticks t) { return static_cast<double>(t) / ms; };
    std::ostringstream out;
    out.precision(17);
    const auto flag = [](bool b) { return b ? "true" : "false"; };
    out << "seed = " << d.seed << "\nspan_s = " << s(d.span) << "\n\n[fleet]\nnodes = " << d.nodes
        << "\nhosts = " << d.hosts << "\nmembers = " << d.members << "\ncold_hosts = " << d.cold_hosts
        << "\nalike = " << flag(d.alike) << "\nmust_ask = " << flag(d.must_poll)
        << "\nprobe_price = " << d.probe_price << "\npeer_price = " << d.peer_price
        << "\npackets_pass = " << flag(d.packet_passthrough) << "\npeers = " << flag(d.peers)
        << "\nprobing = " << flag(d.probing) << "\ngroups = " << flag(d.groups)
        << "\noperated = " << flag(d.operated) << "\nsockets = " << d.sockets
        << "\nmax_setups = " << d.max_attempts << "\nknown = " << d.known
        << "\nclocks_apart_s = " << s(d.clocks_apart) << "\nnotices_after_s = " << s(d.notices_after)
        << "\ntold_after_s = " << s(d.told_after) << "\npass_takes_ms = " << in_ms(d.pass_takes)
        << "\n\n[bounds]\nof_budget = " << d.most_of_budget << "\n\n[traffic]\nload = " << d.load
        << "\narrive_within_s = " << s(d.arrive_within) << "\nleast_life_s = " << s(d.least_life)
        << "\nmore_life_s = " << s(d.more_life) << "\ntunnel_load = " << d.tunnel_load
        << "\nimpatient = " << d.manners.impatient << "\nslow_readers = " << d.manners.slow_readers
        << "\nmost_tries = " << d.manners.most_tries
        << "\n\n[network]\nleast_delay_ms = " << in_ms(d.weather.least_delay)
        << "\nmost_delay_ms = " << in_ms(d.weather.most_delay) << "\ncut_reads = " << d.weather.cut_reads
        << "\ncut_writes = " << d.weather.cut_writes << "\nwindow = " << d.weather.window
        << "\nlost = " << d.weather.lost << "\ndoubled = " << d.weather.doubled
        << "\ndatagram_jitter_ms = " << in_ms(d.weather.datagram_jitter)
        << "\n\n[host]\ncores = " << d.host.cores << "\nmost_connections = " << d.host.most_connections
        << "\nsetup_work_ms = " << d.host.setup_work_ms << "\nline_work_ms = " << d.host.line_work_ms
        << "\npush_bytes = " << d.host.push_bytes << "\ncold_s = " << s(d.host.cold)
        << "\ncold_from = " << d.host.slow_start_initial_factor
        << "\ntip_multiple = " << d.host.overload_multiple << "\nreport_every_s = " << s(d.host.report_every)
        << "\nreport_noise = " << d.host.report_noise << "\nreports_always = " << d.host.reports_always
        << '\n';
    for (const Fault& f : d.faults) {
        const FaultRow& row = row_of(f.kind);
        out << "\n[[fault]]\nkind = \"" << row.name << "\"\nat_s = " << s(f.at) << '\n';
        if (row.who == Who::node) out << "node = " << f.who << '\n';
        if (row.who == Who::host) out << "host = " << f.who << '\n';
        if (f.kind == FaultKind::path_cut) out << "host = " << f.other << '\n';
        if (f.kind == FaultKind::path_cut && f.count > 1) out << "count = " << f.count << '\n';
        if (f.kind == FaultKind::rude) out << "which = " << f.other << '\n';
        if (row.spans) out << "for_s = " << s(f.span) << '\n';
        if (row.measured) out << "much = " << f.much << '\n';
        if (row.counted) out << "count = " << f.count << '\n';
    }
    return out.str();
}

}  // namespace lemonstair::simulation
